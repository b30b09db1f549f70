package org.lacewingcroft.forward;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that sends by other entries count against the budget of extra sends. An entry may refuse a
 * relayed request after it has sent it to endpoints of its region. Guards against counting the next
 * relay of that request as a first send: while all endpoints refused requests, one request reached
 * five endpoints.
 */
class RelayedResendTest {
  private static final String SERVICE = "full";
  private static final Duration RUN_DURATION = Duration.ofSeconds(8);
  private static final ExtraSendBounds EXTRA_SENDS = new ExtraSendBounds(/* slack= */ 20);

  @Test
  void allEntriesTogetherStayWithinTheExtraSendBudget(@TempDir Path folder) throws Exception {
    try (AdvertisingFleet fleet =
        new AdvertisingFleet(folder, Map.of(SERVICE, "200 OK"), EXTRA_SENDS.fleetBounds())) {
      List<AdvertisingEndpoints.Endpoint> endpoints = fleet.endpoints(SERVICE, 2);
      endpoints.forEach(e -> e.advertise("X-Not-Run: 1\r\n", "503 Full"));
      fleet.callDuring(RUN_DURATION, Duration.ZERO, () -> {});
      EXTRA_SENDS.assertKept(endpoints, fleet.requests());
    }
  }
}
