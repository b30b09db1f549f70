package org.lacewingcroft.forward;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingcroft.gateway.HopAuthenticator;
import org.lacewingcroft.route.RouteKind;

/**
 * A sender of requests, a caller or another entry, that keeps one connection and writes to it as
 * raw bytes, so that requests can be pipelined or incomplete.
 */
final class RawCaller implements AutoCloseable {
  private static final int SOCKET_TIMEOUT_MILLIS = 8_000;
  private static final HopAuthenticator AUTHENTICATOR = new HopAuthenticator(FleetHarness.SECRET);

  private final Socket socket;

  /**
   * A response as received.
   *
   * @param headers the headers by name, in any case
   */
  record Response(int status, Map<String, String> headers, String body) {
    Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }
  }

  RawCaller(int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
  }

  /** Returns the request line and the headers that every request to an endpoint has. */
  static String head(String method, String path, String id, Duration timeout) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
        + id
        + "\r\nX-Deadline: "
        + timeout.toMillis()
        + "\r\n";
  }

  /** Returns a body with its length and the end of the head before it. */
  static String lengthAndBody(String body) {
    return "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns the headers by which an entry of another region relays a request to a service. */
  static String relayHeaders(String service, RouteKind kind, String id, Duration timeout) {
    Handling handling =
        new Handling(
            service,
            service,
            kind,
            false,
            0,
            1,
            Duration.ofMillis(800),
            timeout,
            Set.of(),
            Optional.empty());
    List<String> lines = new ArrayList<>();
    lines.add(ForwardContext.HANDLING_HEADER + ": " + handling.encodeForRelay());
    lines.add(ForwardContext.DUE_MILLIS_HEADER + ": " + timeout.toMillis());
    AUTHENTICATOR.sign(
        HopAuthenticator.Hop.ACROSS_REGIONS,
        "elsewhere",
        id,
        (name, value) -> lines.add(name + ": " + value));
    return String.join("\r\n", lines) + "\r\n";
  }

  /** Writes bytes; bytes that can no longer be written are dropped. */
  void write(String bytes) throws IOException {
    try {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    } catch (SocketException closed) {
      // Reading reports the end of the connection.
    }
  }

  /** Returns the number of bytes that have arrived and were not read as part of a response. */
  int unreadBytes() throws IOException {
    return socket.getInputStream().available();
  }

  /**
   * Reads the next response; empty if the connection is closed or reset before its first byte.
   *
   * @param toHead whether it responds to a HEAD request, so that no body follows
   */
  Optional<Response> readResponse(boolean toHead) throws IOException {
    Optional<String> statusLine = readFirstLine();
    if (statusLine.isEmpty()) {
      return Optional.empty();
    }
    int status = Integer.parseInt(statusLine.get().replaceFirst("^HTTP/1\\.1 (\\d{3}).*$", "$1"));
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    boolean hasBody = !toHead && status != 204 && status != 304;
    return Optional.of(new Response(status, headers, hasBody ? readBody(headers) : ""));
  }

  private String readBody(Map<String, String> headers) throws IOException {
    if (!"chunked".equals(headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT))) {
      return readBytes(Integer.parseInt(headers.get("Content-Length")));
    }
    StringBuilder body = new StringBuilder();
    for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
      body.append(readBytes(size));
      readLine();
    }
    readLine();
    return body.toString();
  }

  private int readChunkSize() throws IOException {
    return Integer.parseInt(readLine(), 16);
  }

  private Optional<String> readFirstLine() throws IOException {
    int first;
    try {
      first = socket.getInputStream().read();
    } catch (SocketException reset) {
      return Optional.empty();
    }
    return first < 0 ? Optional.empty() : Optional.of((char) first + readLine());
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = readByte(); next != '\n'; next = readByte()) {
      line.append((char) next);
    }
    return line.toString().stripTrailing();
  }

  private int readByte() throws IOException {
    int next = socket.getInputStream().read();
    if (next < 0) {
      throw new EOFException("the connection was closed within a response");
    }
    return next;
  }

  private String readBytes(int length) throws IOException {
    InputStream in = socket.getInputStream();
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection was closed within a body");
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
