package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers whose connection is closed without an answer when the daemon stops. */
class EntryDaemonShutdownTest {
  /** The status is 0 if the connection is closed within the response. */
  @ParameterizedTest
  @CsvSource({
    "HANGS, 502, outcome_unknown",
    "HANGS_IN_STREAM, 200, 'data: one\n\nevent: error\n'",
    "HANGS_IN_BODY, 0, ''"
  })
  void requestsInFlightAreAnswered(
      FakeEndpoint.Behaviour behaviour, int expectedStatus, String expectedBody, @TempDir Path dir)
      throws Exception {
    Vertx vertx = Vertx.vertx();
    try (FakeEndpoint endpoint = new FakeEndpoint(vertx, behaviour)) {
      TestCluster cluster =
          new TestCluster(dir.resolve("data"), "organisations: [{name: puhdas-seina}]");
      Daemon entry = cluster.startEntry("entry-1", "uusimaa", Duration.ZERO);
      cluster.announce(entry, "a", "uusimaa", "model", endpoint.port(), false);
      CompletableFuture<TestCluster.Reply> reply =
          CompletableFuture.supplyAsync(() -> chat(cluster, entry)).exceptionally(e -> null);
      TestCluster.await(() -> endpoint.runs() == 1);
      cluster.close();
      TestCluster.Reply received = reply.get(2, TimeUnit.SECONDS);
      assertThat(received == null ? 0 : received.status(), is(expectedStatus));
      assertThat(received == null ? "" : received.response().body(), containsString(expectedBody));
    } finally {
      vertx.close();
    }
  }

  private static TestCluster.Reply chat(TestCluster cluster, Daemon entry) {
    try {
      return cluster.send(
          entry,
          "POST",
          "/v1/chat/completions",
          Map.of("X-Organisation", "puhdas-seina"),
          "{\"model\":\"model\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
