import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The head of an HTTP/1.1 message that was read from a connection, and its body. */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
  /** Reads a message; empty if the connection ended before it. */
  static Optional<HttpMessage> read(InputStream in) throws IOException {
    Optional<String> first = readLine(in);
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Map<String, String> headers = new TreeMap<>();
    String line = readLine(in).orElseThrow(EOFException::new);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      line = readLine(in).orElseThrow(EOFException::new);
    }
    return Optional.of(new HttpMessage(first.get(), headers, readBody(in, headers)));
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size = readChunkSize(in);
      while (size > 0) {
        body.writeBytes(readFully(in, size));
        readLine(in);
        size = readChunkSize(in);
      }
      readLine(in);
      return body.toByteArray();
    }
    return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static int readChunkSize(InputStream in) throws IOException {
    return Integer.parseInt(readLine(in).orElseThrow(EOFException::new).trim(), 16);
  }

  private static byte[] readFully(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  private static Optional<String> readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return Optional.empty();
    }
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("the connection ended within a head");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return Optional.of(line.toString(StandardCharsets.ISO_8859_1));
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String path() {
    return startLine.split(" ")[1];
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }
}
