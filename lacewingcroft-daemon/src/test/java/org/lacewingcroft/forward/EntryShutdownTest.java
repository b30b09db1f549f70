package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.fleet.EntryShutdown;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against callers who get no answer from an entry that shuts down. */
class EntryShutdownTest {
  private static final String SERVICE = "engine";

  /** Reserved for the exit of the process but 300 ms. */
  private static final Duration GRACE = Duration.ofMillis(1_200);

  /** The status is 0 if the connection is closed within the response. */
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, HANG, 502",
    "AT_MOST_ONCE, HANG, 502",
    "STREAM, HANG, 502",
    "STREAM, STREAM_HANGS, 0",
    "STREAM, STREAM, 200"
  })
  void requestsInFlightAreAnswered(
      RouteKind kind, Action action, int expectedStatus, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(FleetHarness.routeTo(SERVICE, kind, false, 1, Duration.ofSeconds(8))),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 1, List.of(action))) {
      FleetHarness.Entry entry = fleet.startEntry("entry", "north");
      fleet.activateRouteTable(1);
      int port = endpoints.ports().get(0);
      fleet.keepAnnouncing("e" + port, SERVICE, "north", port);
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, 1);
      final CompletableFuture<Integer> status = call(entry);
      while (endpoints.heads().isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      fleet.onContext(
          () -> new EntryShutdown(fleet.vertx(), entry.node(), entry.server(), GRACE).run());
      assertThat(status.get(2, TimeUnit.SECONDS), equalTo(expectedStatus));
      assertThat(entry.server().inFlight(), equalTo(0));
    }
  }

  private static CompletableFuture<Integer> call(FleetHarness.Entry entry) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .header("X-Request-Id", "id")
            .header("X-Deadline", "7000")
            .build();
    return HttpClient.newHttpClient()
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((response, failure) -> failure == null ? response.statusCode() : 0);
  }
}
