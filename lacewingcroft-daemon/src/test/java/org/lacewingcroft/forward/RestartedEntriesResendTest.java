package org.lacewingcroft.forward;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against restarted entries that take a share of the extra sends again. */
class RestartedEntriesResendTest {
  private static final String SERVICE = "full";
  private static final Duration RUN_DURATION = Duration.ofSeconds(9);
  private static final Duration RESTART_DURATION = Duration.ofSeconds(7);
  private static final ExtraSendBounds EXTRA_SENDS = new ExtraSendBounds(/* slack= */ 60);

  @ParameterizedTest
  @ValueSource(ints = {200, 500})
  void restartsDoNotRaiseTheExtraSendBudget(int intervalMillis, @TempDir Path folder)
      throws Exception {
    try (AdvertisingFleet fleet =
        new AdvertisingFleet(folder, Map.of(SERVICE, "200 OK"), EXTRA_SENDS.fleetBounds())) {
      List<AdvertisingEndpoints.Endpoint> endpoints = fleet.endpoints(SERVICE, 2);
      endpoints.forEach(e -> e.advertise("X-Not-Run: 1\r\n", "503 Full"));
      fleet.callDuring(
          RUN_DURATION,
          Duration.ofSeconds(1),
          () -> fleet.restartEntriesInTurn(RESTART_DURATION, Duration.ofMillis(intervalMillis)));
      EXTRA_SENDS.assertKept(endpoints, fleet.requests());
    }
  }
}
