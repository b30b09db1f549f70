package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.fleet.FleetMessage;

/**
 * Selects the load reports of endpoints that an entry has received itself and has to send to the
 * other entries: those whose values have changed, and unchanged ones before the others stop using
 * the report that they have.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class UnsentReports {
  /** Interval after which unchanged values are sent again: other entries use them for 1.5 s. */
  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

  private final Map<String, ReportedLoad> lastSent = new HashMap<>();

  /** Returns the reports to send now, and records them as sent. */
  public List<FleetMessage.EndpointReport> take(Collection<EndpointTracker> trackers, Instant now) {
    lastSent
        .values()
        .removeIf(r -> r.reportedAt().plus(EndpointOccupancy.REPORT_TTL).isBefore(now));
    List<FleetMessage.EndpointReport> unsent = new ArrayList<>();
    for (EndpointTracker tracker : trackers) {
      String endpoint = tracker.record().id();
      Optional<ReportedLoad> report =
          tracker.recentOwnReport(now).filter(r -> isUnsent(r, lastSent.get(endpoint)));
      report.ifPresent(
          r -> {
            lastSent.put(endpoint, r);
            unsent.add(r.toMessage(endpoint, now));
          });
    }
    return unsent;
  }

  private static boolean isUnsent(ReportedLoad report, ReportedLoad sent) {
    return sent == null
        || !report.hasSameValues(sent)
        || !sent.reportedAt().plus(REPEAT_INTERVAL).isAfter(report.reportedAt());
  }
}
