import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a client with one kept connection, on which it sends one request after another. It
 * opens another connection after a failure.
 */
final class Caller implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffL);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final String host;
  private final int deadlineMillis;
  private Optional<Socket> connection = Optional.empty();
  private BufferedInputStream in;

  Caller(String host, int deadlineMillis) {
    this.host = host;
    this.deadlineMillis = deadlineMillis;
  }

  static String newId() {
    return String.format(Locale.ROOT, "%016x", IDS.incrementAndGet());
  }

  /** Sends a request and returns its status, or 0 without a complete response. */
  int send(String entryIp, String path, String id, List<String> headers, String body) {
    try {
      if (connection.isEmpty()) {
        connect(entryIp);
      }
      StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\n");
      head.append("Host: ").append(host).append("\r\n");
      head.append("X-Request-Id: ").append(id).append("\r\n");
      head.append("X-Deadline-Ms: ").append(deadlineMillis).append("\r\n");
      headers.forEach(h -> head.append(h).append("\r\n"));
      head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
      Socket socket = connection.get();
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      Optional<HttpMessage> response = HttpMessage.read(in);
      if (response.isEmpty()) {
        close();
        return 0;
      }
      if (response.get().header("Connection").filter("close"::equalsIgnoreCase).isPresent()) {
        close();
      }
      return response.get().status();
    } catch (IOException | RuntimeException failed) {
      close();
      return 0;
    }
  }

  private void connect(String entryIp) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(deadlineMillis);
    socket.connect(
        new InetSocketAddress(entryIp, Deployment.FRONT_PORT), CONNECT_TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
    connection = Optional.of(socket);
  }

  @Override
  public void close() {
    connection.ifPresent(
        socket -> {
          try {
            socket.close();
          } catch (IOException closedAlready) {
            // The socket is closed either way.
          }
        });
    connection = Optional.empty();
  }
}
