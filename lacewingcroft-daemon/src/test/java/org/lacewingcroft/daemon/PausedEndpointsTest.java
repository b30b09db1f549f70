package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests sent to endpoints during a pause that they requested. When all endpoints
 * of a model requested pauses of three seconds, one entry sent them 41 to 68 requests in each
 * pause, because it fell back to endpoints in backoff as soon as no others were left.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PausedEndpointsTest {
  private static final String REGION = "uusimaa";
  private static final int ENDPOINTS = 2;
  private static final Duration TEST_DURATION = Duration.ofSeconds(7);
  private static final long CALL_INTERVAL_MILLIS = 40;

  /** Maximum number of requests that an endpoint may receive in a pause, except at its start. */
  private static final int MAX_REQUESTS_IN_PAUSE = 2;

  /** Time at the start of a pause in which requests are not counted. */
  private static final long PAUSE_START_MILLIS = 500;

  private final Vertx vertx = Vertx.vertx();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private TestCluster cluster;
  private Daemon entry;

  /** Which of a model's endpoints request pauses. */
  enum PauseScope {
    ONE,
    ALL
  }

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: []");
    entry = cluster.startEntry("entry-1", REGION, Duration.ofMillis(300));
  }

  @AfterEach
  void closeEndpoints() {
    endpoints.forEach(FakeEndpoint::close);
    endpoints.clear();
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    vertx.close();
  }

  @ParameterizedTest
  @EnumSource(PauseScope.class)
  void endpointsReceiveNoRequestsInTheirPause(PauseScope scope) throws Exception {
    String model = "model-" + scope;
    int paused = scope == PauseScope.ALL ? ENDPOINTS : 1;
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(
          new FakeEndpoint(
              vertx,
              i < paused
                  ? FakeEndpoint.Behaviour.REQUESTS_PAUSE
                  : FakeEndpoint.Behaviour.RESPONDS));
    }
    long endNanos = System.nanoTime() + TEST_DURATION.toNanos();
    List<String> refusedWithoutPause = new ArrayList<>();
    while (System.nanoTime() < endNanos) {
      TestCluster.Reply reply = announceAndChat(model);
      if (reply.status() == 503 && reply.header("Retry-After").isEmpty()) {
        refusedWithoutPause.add(reply.code());
      }
      TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
    }
    for (FakeEndpoint endpoint : endpoints.subList(0, paused)) {
      assertThat(endpoint.arrivalNanos(), is(not(empty())));
      assertThat(
          maxRequestsInPause(endpoint.arrivalNanos()), lessThanOrEqualTo(MAX_REQUESTS_IN_PAUSE));
    }
    assertThat(refusedWithoutPause, is(empty()));
    endpoints.forEach(FakeEndpoint::release);
    TestCluster.await(() -> announceAndChat(model).status() == 200);
  }

  private static int maxRequestsInPause(List<Long> arrivalNanos) {
    long fromNanos = TimeUnit.MILLISECONDS.toNanos(PAUSE_START_MILLIS);
    long untilNanos = TimeUnit.SECONDS.toNanos(FakeEndpoint.PAUSE_SECONDS);
    return arrivalNanos.stream()
        .mapToInt(
            at ->
                (int)
                    arrivalNanos.stream()
                        .filter(t -> t - at > fromNanos && t - at < untilNanos)
                        .count())
        .max()
        .orElse(0);
  }

  private TestCluster.Reply announceAndChat(String model) throws Exception {
    for (int i = 0; i < ENDPOINTS; i++) {
      String id = model + "-" + i;
      cluster.announce(entry, id, REGION, model, endpoints.get(i).port(), false);
    }
    String body =
        "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
    return cluster.send(
        entry, "POST", "/v1/chat/completions", Map.of("X-Organisation", "desk"), body);
  }
}
