package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingcroft.fleet.FleetMessage.EndpointReport;

/**
 * Buffers the load reports of endpoints that several entries have received, for the next message to
 * all entries of the region: only the newest report of each endpoint is kept.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class EndpointReportBuffer {
  /** Minimum interval between two messages, that of the batches of updates. */
  private static final Duration MESSAGE_INTERVAL = Duration.ofMillis(120);

  /** Age from which receivers do not use a report. */
  private static final Duration REPORT_TTL = Duration.ofMillis(1_500);

  private record Buffered(EndpointReport report, Instant reportedAt) {}

  private final Map<String, Buffered> newest = new TreeMap<>();
  private Instant lastMessageAt = Instant.EPOCH;

  /** Adds reports whose ages are as of now. */
  public void add(List<EndpointReport> reports, Instant now) {
    for (EndpointReport report : reports) {
      Buffered added = new Buffered(report, now.minusMillis(report.ageMillis()));
      newest.merge(
          report.endpoint(),
          added,
          (old, latest) -> latest.reportedAt().isBefore(old.reportedAt()) ? old : latest);
    }
  }

  /**
   * Removes and returns the reports, with their current ages, if a message is due; empty if none is
   * due or there are no reports.
   */
  public List<EndpointReport> drainIfDue(Instant now) {
    if (newest.isEmpty() || lastMessageAt.plus(MESSAGE_INTERVAL).isAfter(now)) {
      return List.of();
    }
    lastMessageAt = now;
    final List<EndpointReport> reports =
        newest.values().stream()
            .filter(b -> b.reportedAt().plus(REPORT_TTL).isAfter(now))
            .map(b -> withAge(b.report(), Duration.between(b.reportedAt(), now)))
            .toList();
    newest.clear();
    return reports;
  }

  private static EndpointReport withAge(EndpointReport report, Duration age) {
    return new EndpointReport(
        report.endpoint(),
        report.running(),
        report.waiting(),
        report.slots(),
        report.pacePercent(),
        age.toMillis());
  }
}
