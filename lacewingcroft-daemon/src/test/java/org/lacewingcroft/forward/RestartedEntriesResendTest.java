package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.FleetBounds;

/** Guards against restarted entries that take a share of the extra sends again. */
class RestartedEntriesResendTest {
  private static final String SERVICE = "full";
  private static final Duration RUN_DURATION = Duration.ofSeconds(9);
  private static final Duration RESTART_DURATION = Duration.ofSeconds(7);
  private static final double EXTRA_SEND_RATIO = 0.2;
  private static final double EXTRA_SEND_SLACK = 60;

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

  @ParameterizedTest
  @ValueSource(ints = {200, 500})
  void restartsDoNotRaiseTheExtraSendBudget(int intervalMillis, @TempDir Path folder)
      throws Exception {
    try (AdvertisingFleet fleet =
        new AdvertisingFleet(folder, Map.of(SERVICE, "200 OK"), bounds())) {
      List<AdvertisingEndpoints.Endpoint> endpoints = fleet.endpoints(SERVICE, 2);
      endpoints.forEach(e -> e.advertise("X-Not-Run: 1\r\n", "503 Full"));
      fleet.callDuring(
          RUN_DURATION,
          Duration.ofSeconds(1),
          () -> fleet.restartEntriesInTurn(RESTART_DURATION, Duration.ofMillis(intervalMillis)));
      List<String> arrivals =
          endpoints.stream().flatMap(e -> e.arrivals().stream()).map(a -> a.id()).toList();
      long distinctRequests = arrivals.stream().distinct().count();
      double allowed = EXTRA_SEND_RATIO * fleet.requests() + EXTRA_SEND_SLACK;
      assertThat("requests that reached an endpoint", distinctRequests, greaterThan(0L));
      assertThat(
          "extra sends", (double) arrivals.size() - distinctRequests, lessThanOrEqualTo(allowed));
    }
  }
}
