package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.http.RequestAccount;
import org.lacewingcroft.http.RequestMemory;

/** Tests the limits of the bodies of calls. Calls to "/hold" get no response. */
class CallBodyReaderTest {
  private static final int MAX_BODY_BYTES = 100_000;
  private static final int MAX_TOTAL_BYTES = 150_000;

  private static final long AMPLE_HEAP_BYTES = 1L << 30;

  private final Vertx vertx = Vertx.vertx();
  private final List<Socket> sockets = new ArrayList<>();
  private int port;

  private void startServer(long maxHeapBytes) throws Exception {
    RequestMemory memory = new RequestMemory(maxHeapBytes, heldBytes -> {});
    CallBodyReader reader =
        new CallBodyReader(
            vertx,
            MAX_BODY_BYTES,
            MAX_TOTAL_BYTES,
            Duration.ofMillis(500),
            (request, status, reason) -> request.response().setStatusCode(status).end(reason));
    HttpServer server =
        vertx
            .createHttpServer()
            .connectionHandler(c -> RequestAccount.install(c, memory, /* chargesHeads= */ true))
            .requestHandler(
                request ->
                    reader.read(
                        request,
                        body -> {
                          if (!request.path().equals("/hold")) {
                            request.response().end();
                          }
                        }));
    port =
        server
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
  }

  private Socket send(String path, String header, String body) throws Exception {
    Socket socket = new Socket("127.0.0.1", port);
    sockets.add(socket);
    socket.setSoTimeout(10_000);
    String head = "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n";
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /**
   * Sends a body in one chunk without its end, or with a stated length, of which a part arrives.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 100000, 100000, 200",
    "0, 100001, 0, 413",
    "0, -1, 100001, 413",
    "0, 100000, 10, 408",
    "0, -1, 10, 408",
    "1, 90000, 90000, 503",
    "1, 9000, 9000, 200"
  })
  void respondsAtOnceBeyondLimits(int heldBodies, int statedBytes, int sentBytes, String status)
      throws Exception {
    startServer(AMPLE_HEAP_BYTES);
    for (int i = 0; i < heldBodies; i++) {
      send("/hold", "Content-Length: " + 90_000, "x".repeat(90_000));
      TimeUnit.MILLISECONDS.sleep(200);
    }
    String body = "x".repeat(sentBytes);
    Socket socket =
        statedBytes < 0
            ? send(
                "/", "Transfer-Encoding: chunked", Integer.toHexString(sentBytes) + "\r\n" + body)
            : send("/", "Content-Length: " + statedBytes, body);
    byte[] start = socket.getInputStream().readNBytes(12);
    assertThat(new String(start, StandardCharsets.US_ASCII), startsWith("HTTP/1.1 " + status));
  }

  /** Sends 37,000 bytes of a body, then a part beyond which it may exceed the memory. */
  @ParameterizedTest
  @CsvSource({"100, 408, false", "1000, 503, true"})
  void refusesBodyBeyondMemoryOfRequests(int lastBytes, String status, boolean retryAfter)
      throws Exception {
    startServer(300_000);
    Socket socket = send("/", "Content-Length: 40000", "x".repeat(37_000));
    TimeUnit.MILLISECONDS.sleep(200);
    socket.getOutputStream().write("x".repeat(lastBytes).getBytes(StandardCharsets.US_ASCII));
    String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    assertThat(response, startsWith("HTTP/1.1 " + status));
    assertThat(response.contains("Retry-After: 1\r\n"), is(retryAfter));
  }

  @AfterEach
  void close() throws Exception {
    for (Socket socket : sockets) {
      socket.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
