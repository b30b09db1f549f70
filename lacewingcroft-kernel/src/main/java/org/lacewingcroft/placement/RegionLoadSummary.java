package org.lacewingcroft.placement;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.fleet.FleetMessage.ServiceCapacity;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;

/** Summarises the load of a service's endpoints in one region, for the entries of other regions. */
public final class RegionLoadSummary {
  private RegionLoadSummary() {}

  /**
   * Returns the load of a service.
   *
   * @param endpoints its endpoints in this region that accept requests
   */
  public static ServiceLoad of(String service, List<EndpointTracker> endpoints, Instant now) {
    long[] waits = new long[EndpointTracker.PRIORITY_COUNT];
    for (int p = 0; p < waits.length; p++) {
      int priority = p;
      waits[p] =
          Math.round(
              endpoints.stream().mapToDouble(t -> t.waitMillis(priority, now)).average().orElse(0));
    }
    double tokenMillis =
        endpoints.stream().mapToDouble(t -> t.tokenMillis(now)).average().orElse(0);
    return new ServiceLoad(
        service, endpoints.size(), waits, tokenMillis, Optional.of(capacity(endpoints, now)));
  }

  private static ServiceCapacity capacity(List<EndpointTracker> endpoints, Instant now) {
    double total = 0;
    double spare = 0;
    int slots = 0;
    int occupied = 0;
    for (EndpointTracker endpoint : endpoints) {
      double speed = endpoint.fastestPrefillTokensPerMilli();
      total += speed;
      spare += endpoint.pendingPrefillTokens(speed, now) == 0 ? speed : 0;
      slots += endpoint.slots(now);
      occupied += endpoint.occupancy(now);
    }
    return new ServiceCapacity(total, spare, slots, occupied);
  }
}
