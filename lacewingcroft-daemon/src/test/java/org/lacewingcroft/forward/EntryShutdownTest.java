package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingcroft.fleet.EntryShutdown;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RouteKind;

/** Guards against callers who get no answer from an entry that shuts down. */
class EntryShutdownTest {
  /** Leaves 300 ms before the time reserved for the exit of the process. */
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
    try (OneServiceFleet fleet =
        new OneServiceFleet(
            folder,
            FleetHarness.BOUNDS,
            FleetHarness.routeTo(OneServiceFleet.SERVICE, kind, false, 1, Duration.ofSeconds(8)),
            "north",
            1,
            List.of(action))) {
      final CompletableFuture<Integer> status =
          fleet.call("id").handle((r, failure) -> failure == null ? r.statusCode() : 0);
      fleet.awaitRequest();
      FleetHarness.Entry entry = fleet.entry();
      fleet
          .fleet()
          .onContext(
              () ->
                  new EntryShutdown(fleet.fleet().vertx(), entry.node(), entry.server(), GRACE)
                      .run());
      assertThat(status.get(2, TimeUnit.SECONDS), equalTo(expectedStatus));
      assertThat(entry.server().inFlight(), equalTo(0));
    }
  }

  /** Guards against requests that are admitted late in a shutdown and cut at its end. */
  @ParameterizedTest
  @EnumSource(RouteKind.class)
  void requestsAreRefusedWhenLittleTimeIsLeft(RouteKind kind, @TempDir Path folder)
      throws Exception {
    try (OneServiceFleet fleet =
        new OneServiceFleet(
            folder,
            FleetHarness.BOUNDS,
            FleetHarness.routeTo(OneServiceFleet.SERVICE, kind, false, 1, Duration.ofSeconds(8)),
            "north",
            1,
            List.of(Action.STREAM_STALLS, Action.HANG))) {
      final CompletableFuture<HttpResponse<String>> admitted = fleet.call("first");
      fleet.awaitRequest();
      FleetHarness.Entry entry = fleet.entry();
      EntryShutdown shutdown =
          new EntryShutdown(
              fleet.fleet().vertx(), entry.node(), entry.server(), Duration.ofSeconds(4));
      fleet.fleet().run(shutdown::run);
      TimeUnit.MILLISECONDS.sleep(1_550);
      assertThat(fleet.callOnce("second").get().statusCode(), equalTo(503));
      assertThat(admitted.get().statusCode(), equalTo(200));
      assertThat(fleet.endpoints().heads(), hasSize(1));
    }
  }
}
