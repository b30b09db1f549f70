package org.lacewingcroft.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that responds once it has received the head of a request, reads nothing of the body,
 * and ends the connection while the body is still being written to it.
 */
public final class EarlyEndpoint implements AutoCloseable {
  /** Small, so that a body cannot be written completely to a connection that is not read. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  /** Time for which an ended connection is kept open in the other direction. */
  private static final long HALF_CLOSED_MILLIS = 300;

  private static final int BACKLOG = 50;

  /** How the endpoint ends the connection. */
  public enum End {
    /** With a RST segment. */
    RESET,
    /** With a FIN segment, as it does after a complete response. */
    FINISH
  }

  private final String response;
  private final End end;
  private final long delayMillis;
  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger requests = new AtomicInteger();

  /**
   * Starts the endpoint.
   *
   * @param response the bytes that it sends, {@code ID} for the id of the request
   * @param end how it ends the connection
   * @param delayMillis the time between the response and the end
   */
  public EarlyEndpoint(String response, End end, long delayMillis) throws IOException {
    this.response = response;
    this.end = end;
    this.delayMillis = delayMillis;
    this.server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    threads.execute(this::accept);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        threads.execute(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String head = readHead(socket.getInputStream());
      if (head.isEmpty()) {
        return;
      }
      requests.incrementAndGet();
      String id = RawRequests.header(head, "x-request-id");
      socket
          .getOutputStream()
          .write(response.replace("ID", id).getBytes(StandardCharsets.ISO_8859_1));
      TimeUnit.MILLISECONDS.sleep(delayMillis);
      if (end == End.RESET) {
        socket.setSoLinger(true, 0);
      } else {
        socket.shutdownOutput();
        TimeUnit.MILLISECONDS.sleep(HALF_CLOSED_MILLIS);
      }
    } catch (IOException brokenOff) {
      // The entry has closed the connection.
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads a request head, in lower case; empty if the connection is closed before its end. */
  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString().toLowerCase(Locale.ROOT);
  }

  /** Returns the port on which it listens. */
  public int port() {
    return server.getLocalPort();
  }

  /** Returns the number of requests whose head was received. */
  public int requests() {
    return requests.get();
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
