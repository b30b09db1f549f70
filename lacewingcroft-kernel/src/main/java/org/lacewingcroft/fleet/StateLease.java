package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.misc.ClockReadings;

/**
 * A lease on the routing state that an instance holds. The instance sends reports ({@link
 * FleetMessage.EntryReport}) repeatedly; a reply ({@link FleetMessage.ControlPulse}) with the
 * report's id that contains no newer revision confirms the held state for a limited time from when
 * the report was sent, not from when the reply arrived, since replies may be delayed.
 *
 * <p>The monotonic clock does not advance while the machine is suspended, but the wall clock does.
 * A difference between the two therefore invalidates earlier confirmations.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class StateLease {
  /** Maximum number of retained reports that have no reply yet. */
  private static final int MAX_OPEN_REPORTS = 64;

  private final Duration validity;
  private final Map<Long, ClockReadings> openReports = BoundedMap.evictingOldest(MAX_OPEN_REPORTS);
  private long lastReportId;
  private ClockReadings confirmedAt = new ClockReadings(Instant.MIN, Instant.MIN);

  /**
   * Creates an expired lease.
   *
   * @param validity how long a reply confirms the state
   */
  public StateLease(Duration validity) {
    this.validity = validity;
  }

  /** Records that a report is sent and returns its id, a positive number. */
  public long startReport(ClockReadings now) {
    lastReportId++;
    openReports.put(lastReportId, now);
    return lastReportId;
  }

  /**
   * Records a reply that contains no newer revision than that of the instance's state. An unknown
   * id is ignored.
   */
  public void confirm(long reportId) {
    ClockReadings sentAt = openReports.get(reportId);
    if (sentAt != null && sentAt.monotonic().isAfter(confirmedAt.monotonic())) {
      confirmedAt = sentAt;
    }
  }

  /** Returns whether the instance may use its state. */
  public boolean isValid(ClockReadings now) {
    return !confirmedAt.monotonic().equals(Instant.MIN)
        && now.elapsedSince(confirmedAt).compareTo(validity) < 0
        && now.agreeSince(confirmedAt);
  }
}
