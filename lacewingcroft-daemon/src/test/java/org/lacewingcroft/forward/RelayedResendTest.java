package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingcroft.fleet.FleetBounds;

/**
 * Checks that sends by other entries count against the budget of extra sends. Guards against counting
 * the next relay as a first send after an entry that had already sent the request to an endpoint
 * refused it: while all endpoints refused requests, one relayed request reached five endpoints.
 */
class RelayedResendTest {
  private static final String SERVICE = "full";
  private static final Duration RUN = Duration.ofSeconds(8);
  private static final double RATIO = 0.2;
  private static final double SLACK = 20;

  /** Longer than the run, so that the whole run falls into one window. */
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private static FleetBounds bounds() {
    FleetBounds usual = FleetHarness.BOUNDS;
    return new FleetBounds(
        usual.shutdownGrace(),
        usual.directoryTtlMax(),
        RATIO,
        SLACK,
        WINDOW,
        usual.warmupOvershoot(),
        usual.warmupSlack(),
        Optional.empty());
  }

  @Test
  void allEntriesTogetherKeepTheBudgetOfExtraSends(@TempDir Path folder) throws Exception {
    try (StatingFleet fleet = new StatingFleet(folder, Map.of(SERVICE, "200 OK"), bounds())) {
      List<StatingEndpoints.Stating> endpoints = fleet.endpoints(SERVICE, 2);
      endpoints.forEach(e -> e.state("X-Not-Run: 1\r\n", "503 Full"));
      fleet.callDuring(RUN, Duration.ZERO, () -> {});
      List<String> arrivals = endpoints.stream().flatMap(RelayedResendTest::ids).toList();
      long first = arrivals.stream().distinct().count();
      double allowed = RATIO * fleet.requests() + SLACK;
      assertThat("requests that reached an endpoint", first, greaterThan(0L));
      assertThat("extra sends", (double) arrivals.size() - first, lessThanOrEqualTo(allowed));
    }
  }

  private static Stream<String> ids(StatingEndpoints.Stating endpoint) {
    return endpoint.arrivals().stream().map(StatingEndpoints.Arrival::id);
  }
}
