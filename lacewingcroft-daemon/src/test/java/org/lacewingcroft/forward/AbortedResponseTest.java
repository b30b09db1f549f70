package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RouteKind;

/** Guards against responses that an entry ends early without counting the cause. */
class AbortedResponseTest {
  @ParameterizedTest
  @CsvSource({
    "north, STREAM_BREAKS, 8000, false, endpoint_failed",
    "south, STREAM_BREAKS, 8000, false, relay_failed",
    "north, STREAM_HANGS, 600, false, due",
    "north, STREAM_HANGS, 8000, true, shutdown",
    "south, STREAM_HANGS, 8000, true, shutdown"
  })
  void countsTheCause(
      String region,
      Action action,
      long timeoutMillis,
      boolean shutsDown,
      String cause,
      @TempDir Path folder)
      throws Exception {
    try (OneServiceFleet fleet =
        new OneServiceFleet(
            folder,
            FleetHarness.BOUNDS,
            FleetHarness.routeTo(
                OneServiceFleet.SERVICE,
                RouteKind.STREAM,
                false,
                1,
                Duration.ofMillis(timeoutMillis)),
            region,
            1,
            List.of(action))) {
      var response = fleet.call("id");
      fleet.awaitRequest();
      if (shutsDown) {
        fleet
            .fleet()
            .run(
                () ->
                    fleet
                        .fleet()
                        .vertx()
                        .setTimer(200, t -> fleet.entry().server().abortInFlight()));
      }
      assertThrows(ExecutionException.class, response::get);
      double counted =
          fleet
              .fleet()
              .onContext(
                  () ->
                      Future.succeededFuture(
                          fleet.entry().metrics().abortedResponses.labelValues(cause).get()));
      assertThat(counted, equalTo(1.0));
    }
  }
}
