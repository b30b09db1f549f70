package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.fleet.FleetBounds;

/** Configures the budget of extra sends of a test fleet and checks that endpoints see it kept. */
final class ExtraSendBounds {
  private static final double RATIO = 0.2;

  /** Longer than the run of a test, so that the whole run falls into one window. */
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private final double slack;

  ExtraSendBounds(double slack) {
    this.slack = slack;
  }

  /** Returns the default bounds of a fleet with this budget of extra sends. */
  FleetBounds fleetBounds() {
    FleetBounds defaults = FleetHarness.BOUNDS;
    return new FleetBounds(
        defaults.shutdownGrace(),
        defaults.directoryTtlMax(),
        RATIO,
        slack,
        WINDOW,
        defaults.warmupOvershoot(),
        defaults.warmupSlack(),
        Optional.empty());
  }

  /**
   * Checks that the arrivals after the first of each request are within the budget.
   *
   * @param requests the number of requests that callers have sent
   */
  void assertKept(List<AdvertisingEndpoints.Endpoint> endpoints, int requests) {
    List<String> arrivals =
        endpoints.stream()
            .flatMap(e -> e.arrivals().stream())
            .map(AdvertisingEndpoints.Arrival::id)
            .toList();
    long distinctRequests = arrivals.stream().distinct().count();
    assertThat("requests that reached an endpoint", distinctRequests, greaterThan(0L));
    assertThat(
        "extra sends",
        (double) arrivals.size() - distinctRequests,
        lessThanOrEqualTo(RATIO * requests + slack));
  }
}
