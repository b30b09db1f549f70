package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that responses with neither a length nor chunks, which end with their connection, are
 * relayed as a whole, and that a response that was broken off does not look complete.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class UnframedResponseTest {
  private static final String REGION = "uusimaa";
  private static final String EVENT = "data: one\n\n";
  private static final String STREAM = "Content-Type: text/event-stream\r\n";
  private static final long CLOSE_DELAY_MILLIS = 50;

  private final Vertx vertx = Vertx.vertx();
  private TestCluster cluster;
  private Daemon entry;

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]");
    entry = cluster.startEntry("entry-1", REGION, Duration.ZERO);
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    vertx.close();
  }

  /**
   * Each row: the headers and the body that the endpoint sends, whether it resets the connection,
   * and the body that the caller receives, empty if the response is broken off.
   */
  static Stream<Arguments> responses() {
    return Stream.of(
        Arguments.of("answer", "", "done", false, Optional.of("done")),
        Arguments.of("answer-reset", "", "do", true, Optional.empty()),
        Arguments.of("stream", STREAM, EVENT + EVENT, false, Optional.of(EVENT + EVENT)),
        Arguments.of("stream-in-event", STREAM, EVENT + "data: tw", false, Optional.empty()),
        Arguments.of("stream-reset", STREAM, EVENT, true, Optional.empty()));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("responses")
  void relaysWholeResponsesOnly(
      String model, String headers, String body, boolean reset, Optional<String> expected)
      throws Exception {
    NetServer endpoint =
        vertx
            .createNetServer(new NetServerOptions().setSoLinger(reset ? 0 : -1))
            .connectHandler(socket -> socket.handler(bytes -> respond(socket, headers, body)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
    cluster.announce(entry, model, REGION, model, endpoint.actualPort(), false);
    assertThat(call(model), is(expected));
    endpoint.close();
  }

  private void respond(NetSocket socket, String headers, String body) {
    socket
        .write("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body)
        .onComplete(sent -> vertx.setTimer(CLOSE_DELAY_MILLIS, t -> socket.close()));
  }

  /** Returns the body of a response with status 200, empty if it was broken off. */
  private Optional<String> call(String model) throws Exception {
    String request =
        "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    Map<String, String> headers =
        Map.of(
            "X-Organisation", "desk", "Idempotency-Key", "key-" + model, "X-Idempotent", "false");
    try {
      TestCluster.Reply reply =
          cluster.send(entry, "POST", "/v1/chat/completions", headers, request);
      // An event stream that was broken off ends with an error event.
      return Optional.of(reply)
          .filter(r -> r.status() == 200)
          .map(r -> r.response().body())
          .filter(body -> !body.startsWith("event: error") && !body.contains("\n\nevent: error"));
    } catch (IOException brokenOff) {
      return Optional.empty();
    }
  }
}
