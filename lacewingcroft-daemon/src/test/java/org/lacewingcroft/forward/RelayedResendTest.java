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
 * While all endpoints turned requests away, a relayed request reached five of them: each entry that
 * it was relayed to had asked an endpoint before it refused, and the next relay was counted as the
 * request's first send.
 */
class RelayedResendTest {
  private static final String SERVICE = "full";
  private static final Duration RUN = Duration.ofSeconds(8);
  private static final double RATIO = 0.2;
  private static final double SLACK = 20;

  /** Longer than the run, so that all of it is one window. */
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
      assertThat("asked at all", first, greaterThan(0L));
      assertThat("beyond the first", (double) arrivals.size() - first, lessThanOrEqualTo(allowed));
    }
  }

  private static Stream<String> ids(StatingEndpoints.Stating endpoint) {
    return endpoint.arrivals().stream().map(StatingEndpoints.Arrival::id);
  }
}
