package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

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
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Guards against started entries that send to a cold endpoint before they know their neighbours.
 */
class StartedEntriesColdEndpointTest {
  private static final String SERVICE = "cold";
  private static final double COLD_REQUESTS_PER_SECOND = 3.5;
  private static final Duration WARMUP = Duration.ofSeconds(20);
  private static final Duration RUN_DURATION = Duration.ofSeconds(6);
  private static final long CALL_INTERVAL_MILLIS = 50;

  private final HttpClient client = HttpClient.newHttpClient();

  private static RouteTable routeTable() {
    Route route =
        FleetHarness.routeTo(SERVICE, RouteKind.IDEMPOTENT, false, 1, Duration.ofSeconds(2));
    ServiceSpec service =
        new ServiceSpec(
            SERVICE, 100, WARMUP, COLD_REQUESTS_PER_SECOND, Optional.empty(), Optional.empty());
    return new RouteTable(1, List.of(route), List.of(service), RequestLimits.DEFAULT);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 16})
  void coldEndpointReceivesNoMoreThanItsRate(int entryCount, @TempDir Path dataDir)
      throws Exception {
    try (FleetHarness fleet = new FleetHarness(dataDir, Map.of(1L, routeTable()));
        AdvertisingEndpoints endpoints = new AdvertisingEndpoints(fleet.vertx(), 1, "200 OK")) {
      AdvertisingEndpoints.Endpoint endpoint = endpoints.all().get(0);
      fleet.activateRouteTable(1);
      fleet.keepAnnouncing("e1", SERVICE, "north", endpoint.port(), WARMUP);
      List<FleetHarness.Entry> entries = new ArrayList<>();
      for (int i = 0; i < entryCount; i++) {
        entries.add(fleet.startEntry("north-" + i, "north"));
      }
      callAll(entries);
      double allowed =
          COLD_REQUESTS_PER_SECOND * FleetHarness.BOUNDS.warmupOvershoot()
              + FleetHarness.BOUNDS.warmupSlack();
      assertThat(
          "requests in one second",
          (double) endpoint.maxArrivalsWithin(1_000, 0),
          both(greaterThan(0.0)).and(lessThanOrEqualTo(allowed)));
    }
  }

  /** Sends requests to all entries from the moment when each is ready. */
  private void callAll(List<FleetHarness.Entry> entries) throws InterruptedException {
    long endNanos = System.nanoTime() + RUN_DURATION.toNanos();
    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    while (System.nanoTime() < endNanos) {
      for (FleetHarness.Entry entry : entries) {
        if (entry.node().ready()) {
          calls.add(call(entry, calls.size()));
        }
      }
      TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
    }
    calls.forEach(CompletableFuture::join);
  }

  private CompletableFuture<HttpResponse<String>> call(FleetHarness.Entry entry, int number) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body " + number))
            .header("X-Request-Id", "r" + number)
            .header("X-Deadline", "2000")
            .timeout(Duration.ofSeconds(4))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }
}
