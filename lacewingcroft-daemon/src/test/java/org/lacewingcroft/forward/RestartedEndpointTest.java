package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Guards against entries that overload an endpoint which has started again under its id: its
 * announcements still say that it is warm, only its health responses say that it is cold.
 */
class RestartedEndpointTest {
  private static final String SERVICE = "cold";
  private static final String ENDPOINT = "e1";
  private static final double COLD_REQUESTS_PER_SECOND = 3.5;
  private static final double ALLOWED_PER_SECOND =
      COLD_REQUESTS_PER_SECOND * FleetHarness.BOUNDS.warmupOvershoot()
          + FleetHarness.BOUNDS.warmupSlack();
  private static final Duration WARMUP = Duration.ofSeconds(3);
  private static final long CALL_INTERVAL_MILLIS = 10;

  /** Longer than a request takes, so that all connections are idle. */
  private static final long PAUSE_MILLIS = 300;

  @TempDir private Path dataDir;
  private final HttpClient client = HttpClient.newHttpClient();
  private final Vertx endpointVertx = Vertx.vertx();
  private final List<FleetHarness.Entry> entries = new ArrayList<>();
  private FleetHarness fleet;
  private int calls;

  private static RouteTable routeTable() {
    Route route =
        FleetHarness.routeTo(SERVICE, RouteKind.IDEMPOTENT, false, 1, Duration.ofSeconds(2));
    ServiceSpec service =
        new ServiceSpec(
            SERVICE,
            100,
            WARMUP,
            COLD_REQUESTS_PER_SECOND,
            Optional.of(RestartableEndpoint.HEALTH_PATH),
            Optional.empty());
    return new RouteTable(1, List.of(route), List.of(service), RequestLimits.DEFAULT);
  }

  @BeforeEach
  void start() throws Exception {
    fleet = new FleetHarness(dataDir, Map.of(1L, routeTable()));
    fleet.activateRouteTable(1);
    for (int i = 0; i < 2; i++) {
      entries.add(fleet.startEntry("north-" + i, "north"));
    }
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    endpointVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private RestartableEndpoint startEndpoint(boolean resets) throws Exception {
    RestartableEndpoint endpoint = new RestartableEndpoint(endpointVertx, ENDPOINT, resets);
    fleet.keepAnnouncing(ENDPOINT, SERVICE, "north", endpoint.port());
    for (FleetHarness.Entry entry : entries) {
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, 1);
    }
    return endpoint;
  }

  /** Sends requests to some entries for some time. */
  private void callFor(List<FleetHarness.Entry> callees, Duration duration) throws Exception {
    long endNanos = System.nanoTime() + duration.toNanos();
    List<CompletableFuture<HttpResponse<Void>>> responses = new ArrayList<>();
    while (System.nanoTime() < endNanos) {
      for (FleetHarness.Entry entry : callees) {
        responses.add(call(entry));
      }
      TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
    }
    responses.forEach(CompletableFuture::join);
  }

  private CompletableFuture<HttpResponse<Void>> call(FleetHarness.Entry entry) {
    calls++;
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .header("X-Request-Id", "r" + calls)
            .header("X-Deadline", "500")
            .timeout(Duration.ofSeconds(4))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
  }

  static Stream<Arguments> restarts() {
    return Stream.of(
        Arguments.of("idle connections reset, back at once", true, false, 0),
        Arguments.of("idle connections closed, back at once", false, false, 0),
        Arguments.of("idle connections reset, away for 0.3 s", true, false, 300),
        Arguments.of("reset under load, back at once", true, true, 0),
        Arguments.of("closed under load, away for 0.3 s", false, true, 300));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("restarts")
  void restartedEndpointReceivesNoMoreThanItsColdRate(
      String name, boolean resets, boolean underLoad, long downMillis) throws Exception {
    try (RestartableEndpoint endpoint = startEndpoint(resets)) {
      callFor(entries, Duration.ofSeconds(1));
      if (underLoad) {
        CompletableFuture<Void> load =
            CompletableFuture.runAsync(() -> callForUnchecked(WARMUP.minusMillis(200)));
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        endpoint.restart(Duration.ofMillis(downMillis), WARMUP);
        load.join();
      } else {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        endpoint.restart(Duration.ofMillis(downMillis), WARMUP);
        callFor(entries, WARMUP.minusMillis(200));
      }
      assertReceivedWhileCold(endpoint);
    }
  }

  private void callForUnchecked(Duration duration) {
    try {
      callFor(entries, duration);
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  private static void assertReceivedWhileCold(RestartableEndpoint endpoint) {
    assertThat(
        "requests in one second",
        (double) endpoint.maxRequestsPerSecond(),
        both(greaterThan(0.0)).and(lessThanOrEqualTo(ALLOWED_PER_SECOND)));
  }

  /** Guards against entries that had no connection to the endpoint when it ended. */
  @Test
  void entryWithoutConnectionsLearnsFromTheOthers() throws Exception {
    try (RestartableEndpoint endpoint = startEndpoint(/* resets= */ true)) {
      callFor(entries.subList(0, 1), Duration.ofSeconds(1));
      endpoint.restart(Duration.ZERO, WARMUP);
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      callFor(entries.subList(1, 2), WARMUP.minusMillis(500));
      assertReceivedWhileCold(endpoint);
    }
  }

  /** Guards against endpoints that count as cold because they close connections. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void warmEndpointThatOnlyClosesConnectionsIsUsedInFull(boolean resets) throws Exception {
    try (RestartableEndpoint endpoint = startEndpoint(resets)) {
      callFor(entries, Duration.ofMillis(50));
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      endpoint.closeConnections();
      callFor(entries, Duration.ofSeconds(2));
      assertThat((double) endpoint.maxRequestsPerSecond(), greaterThan(4 * ALLOWED_PER_SECOND));
    }
  }
}
