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
 * Checks that sends by other entries count against the budget of extra sends. An entry may refuse a
 * relayed request after it has sent it to endpoints of its region. Guards against counting the next
 * relay of that request as a first send: while all endpoints refused requests, one request reached
 * five endpoints.
 */
class RelayedResendTest {
  private static final String SERVICE = "full";
  private static final Duration RUN_DURATION = Duration.ofSeconds(8);
  private static final double EXTRA_SEND_RATIO = 0.2;
  private static final double EXTRA_SEND_SLACK = 20;

  /** Longer than the run, so that the whole run falls into one window. */
  private static final Duration EXTRA_SEND_WINDOW = Duration.ofSeconds(10);

  private static FleetBounds bounds() {
    FleetBounds defaults = FleetHarness.BOUNDS;
    return new FleetBounds(
        defaults.shutdownGrace(),
        defaults.directoryTtlMax(),
        EXTRA_SEND_RATIO,
        EXTRA_SEND_SLACK,
        EXTRA_SEND_WINDOW,
        defaults.warmupOvershoot(),
        defaults.warmupSlack(),
        Optional.empty());
  }

  @Test
  void allEntriesTogetherStayWithinTheExtraSendBudget(@TempDir Path folder) throws Exception {
    try (AdvertisingFleet fleet =
        new AdvertisingFleet(folder, Map.of(SERVICE, "200 OK"), bounds())) {
      List<AdvertisingEndpoints.Endpoint> endpoints = fleet.endpoints(SERVICE, 2);
      endpoints.forEach(e -> e.advertise("X-Not-Run: 1\r\n", "503 Full"));
      fleet.callDuring(RUN_DURATION, Duration.ZERO, () -> {});
      List<String> arrivals = endpoints.stream().flatMap(RelayedResendTest::ids).toList();
      long distinctRequests = arrivals.stream().distinct().count();
      double allowed = EXTRA_SEND_RATIO * fleet.requests() + EXTRA_SEND_SLACK;
      assertThat("requests that reached an endpoint", distinctRequests, greaterThan(0L));
      assertThat(
          "extra sends", (double) arrivals.size() - distinctRequests, lessThanOrEqualTo(allowed));
    }
  }

  private static Stream<String> ids(AdvertisingEndpoints.Endpoint endpoint) {
    return endpoint.arrivals().stream().map(AdvertisingEndpoints.Arrival::id);
  }
}
