package org.lacewingcroft.lifecycle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.logging.LogContext;
import org.msgpack.core.MessageInsufficientBufferException;

/** Guards against errors that leave no line of the log, or flood it. */
class ErrorReporterTest {
  private final PrintStream standardError = System.err;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final Vertx vertx = Vertx.vertx();
  @TempDir private Path dataDir;
  private EndMarker marker;
  private ErrorReporter errors;

  @BeforeEach
  void start() {
    System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
    marker = new EndMarker(Optional.of(dataDir), InstantSource.system());
    marker.begin(true);
    errors = new ErrorReporter(marker, () -> Instant.EPOCH);
    errors.reportHandlersOf(vertx);
  }

  @AfterEach
  void stop() {
    System.setErr(standardError);
    vertx.close().await();
  }

  private interface Failing {
    void run(Vertx vertx, Error error);
  }

  private static Arguments place(String name, Failing failing) {
    return Arguments.of(name, failing);
  }

  static Stream<Arguments> places() {
    return Stream.of(
        place("timer", (vertx, e) -> vertx.setTimer(1, id -> fail(e))),
        place("task", (vertx, e) -> vertx.runOnContext(v -> fail(e))),
        place("callback", (vertx, e) -> vertx.timer(1).onSuccess(v -> fail(e))),
        place(
            "callback of a completed future",
            (vertx, e) ->
                vertx.runOnContext(v -> Future.succeededFuture().onSuccess(x -> fail(e)))),
        place(
            "request",
            (vertx, e) ->
                vertx
                    .createHttpServer()
                    .requestHandler(request -> fail(e))
                    .listen(0, "127.0.0.1")
                    .onSuccess(server -> sendRequest(vertx, server.actualPort()))));
  }

  private static void sendRequest(Vertx vertx, int port) {
    HttpClient client = vertx.createHttpClient();
    // The handlers reference the client, because one without references closes its connections.
    client
        .request(HttpMethod.GET, port, "127.0.0.1", "/")
        .compose(request -> request.send())
        .onComplete(response -> client.close());
  }

  private static void fail(Error error) {
    throw error;
  }

  private String awaitLogged(String text) throws InterruptedException {
    for (int i = 0; i < 500 && !log.toString(StandardCharsets.UTF_8).contains(text); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(log.toString(StandardCharsets.UTF_8), containsString(text));
    return log.toString(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @MethodSource("places")
  void logsExceptionsOfHandlers(String name, Failing failing) throws InterruptedException {
    failing.run(vertx, new AssertionError("broken handler"));
    String line = awaitLogged("\"event\":\"handler.failed\"");
    assertThat(line, containsString("\"error\":\"java.lang.AssertionError: broken handler\""));
    assertThat(line, containsString("\"at\":\"org.lacewingcroft.lifecycle.ErrorReporterTest"));
  }

  @ParameterizedTest
  @MethodSource("places")
  void logsAndRecordsAnExhaustedHeap(String name, Failing failing) throws InterruptedException {
    failing.run(vertx, new OutOfMemoryError("Java heap space"));
    String line = awaitLogged("\"event\":\"process.fatal\"");
    assertThat(line, containsString("\"error\":\"java.lang.OutOfMemoryError: Java heap space\""));
    String recorded = "";
    for (int i = 0; i < 500 && !recorded.startsWith("failed"); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
      recorded = new EndMarker(Optional.of(dataDir), InstantSource.system()).begin(false).cause();
    }
    assertThat(recorded, equalTo("failed: java.lang.OutOfMemoryError: Java heap space"));
  }

  static Stream<Arguments> failedStarts() {
    return Stream.of(
        Arguments.of(new MessageInsufficientBufferException(), "MessageInsufficientBufferExcep"),
        Arguments.of(
            new ExecutionException(new BindException("Address already in use")),
            "BindException: Address already"),
        Arguments.of(
            new UncheckedIOException(new IOException("No space left on device")),
            "IOException: No space left"),
        Arguments.of(new OutOfMemoryError("Java heap space"), "OutOfMemoryError: Java heap space"));
  }

  /** Guards against a line that no longer shows why a process ended once it is cut short. */
  @ParameterizedTest
  @MethodSource("failedStarts")
  void beginsWithTheReason(Throwable error, String reason) throws InterruptedException {
    String nodeId = LogContext.nodeId();
    LogContext.setNodeId("core-stgo-hall-a-12");
    try {
      errors.reportFatal(new Thread("main"), error);
    } finally {
      LogContext.setNodeId(nodeId);
    }
    String line = awaitLogged("\"event\":\"process.fatal\"");
    assertThat(line.substring(0, 200), containsString("\"reason\":\"" + reason));
  }

  static Stream<Throwable> repeatedErrors() {
    return Stream.of(new IllegalStateException("again"), new StackOverflowError());
  }

  @ParameterizedTest
  @MethodSource("repeatedErrors")
  void boundsTheLinesOfHandlersThatKeepFailing(Throwable error) {
    for (int i = 0; i < 1_000; i++) {
      errors.reportHandlerFailure(error);
    }
    assertThat(log.toString(StandardCharsets.UTF_8).lines().count(), lessThan(50L));
  }
}
