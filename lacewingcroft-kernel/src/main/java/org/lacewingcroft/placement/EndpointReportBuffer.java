package org.lacewingcroft.placement;

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

  private final Map<String, ReportedLoad> newest = new TreeMap<>();
  private Instant lastMessageAt = Instant.EPOCH;

  /** Adds reports whose ages are as of now. */
  public void add(List<EndpointReport> reports, Instant now) {
    for (EndpointReport report : reports) {
      ReportedLoad.fromPeer(report, now)
          .ifPresent(
              load ->
                  newest.merge(
                      report.endpoint(),
                      load,
                      (old, latest) ->
                          latest.reportedAt().isBefore(old.reportedAt()) ? old : latest));
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
        newest.entrySet().stream()
            .filter(e -> e.getValue().isRecent(now))
            .map(e -> e.getValue().toMessage(e.getKey(), now))
            .toList();
    newest.clear();
    return reports;
  }
}
