package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.forward.StutteringEndpoint;
import org.lacewingcroft.forward.StutteringEndpoint.Piece;

/** Guards against a request that runs twice because an engine sends a header of entries. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(30)
class EngineRefusalHeaderTest {
  private static final String REGION = "uusimaa";
  private static final String OTHER_REGION = "pirkanmaa";

  private final Vertx vertx = Vertx.vertx();
  private TestCluster cluster;
  private Daemon entry;
  private Daemon otherEntry;

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]");
    entry = cluster.startEntry("entry-1", REGION, Duration.ZERO);
    otherEntry = cluster.startEntry("entry-2", OTHER_REGION, Duration.ZERO);
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    vertx.close();
  }

  /** The body of the response is complete or does not end before the caller's deadline. */
  @ParameterizedTest
  @CsvSource({"uusimaa, 4, 503", "uusimaa, 9, 502", "pirkanmaa, 4, 503", "pirkanmaa, 9, 502"})
  void keyIsNotReleased(String region, int statedBytes, int expectedStatus) throws Exception {
    AtomicInteger runs = new AtomicInteger();
    String model = region + statedBytes;
    try (StutteringEndpoint engine =
        new StutteringEndpoint(
            vertx,
            request -> {
              runs.incrementAndGet();
              return List.of(
                  Piece.of(
                      "HTTP/1.1 503 Full\r\nX-Lacewingcroft-Run: no\r\nX-Request-Id: "
                          + request.id()
                          + "\r\nContent-Length: "
                          + statedBytes
                          + "\r\n\r\nfull"));
            })) {
      Daemon announced = region.equals(REGION) ? entry : otherEntry;
      cluster.announce(announced, model, region, model, engine.port(), /* draining= */ false);
      TestCluster.await(
          () -> {
            try {
              call(model);
            } catch (IOException brokenOff) {
              // The response is cut at the caller's deadline.
            }
            return runs.get() > 0;
          });
      TestCluster.Reply repeated = call(model);
      assertThat(runs.get(), is(1));
      assertThat(repeated.status(), equalTo(expectedStatus));
      assertThat(repeated.header("X-Lacewingcroft-Run").filter("no"::equals), is(Optional.empty()));
    }
  }

  private TestCluster.Reply call(String model) throws Exception {
    Map<String, String> headers =
        Map.of(
            "X-Organisation",
            "desk",
            "Idempotency-Key",
            "key-" + model,
            "X-Idempotent",
            "false",
            "X-Deadline-Millis",
            "1000");
    String request =
        String.format(
            "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", model);
    return cluster.send(entry, "POST", "/v1/chat/completions", headers, request);
  }
}
