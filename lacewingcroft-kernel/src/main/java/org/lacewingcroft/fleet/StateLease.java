package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;

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
  /**
   * Maximum difference between the clocks that does not count as a suspension. It covers the delay
   * between the two readings, which are taken one after the other.
   */
  private static final Duration MAX_CLOCK_DIFFERENCE = Duration.ofMillis(500);

  /** Maximum number of retained reports that have no reply yet. */
  private static final int MAX_OPEN_REPORTS = 64;

  private final Duration validity;
  private final Map<Long, Clocks> openReports = BoundedMap.evictingOldest(MAX_OPEN_REPORTS);
  private long lastReportId;
  private Clocks confirmedAt = new Clocks(Instant.MIN, Instant.MIN);

  /**
   * Readings of both clocks at one moment.
   *
   * @param monotonic the clock that is never adjusted
   * @param wall the wall clock
   */
  public record Clocks(Instant monotonic, Instant wall) {
    private boolean isWithin(Duration limit, Clocks since) {
      Duration elapsed = Duration.between(since.monotonic, monotonic);
      Duration drift = Duration.between(since.wall, wall).minus(elapsed).abs();
      return elapsed.compareTo(limit) < 0 && drift.compareTo(MAX_CLOCK_DIFFERENCE) < 0;
    }
  }

  /**
   * Creates an expired lease.
   *
   * @param validity how long a reply confirms the state
   */
  public StateLease(Duration validity) {
    this.validity = validity;
  }

  /** Records that a report is sent and returns its id, a positive number. */
  public long startReport(Clocks now) {
    lastReportId++;
    openReports.put(lastReportId, now);
    return lastReportId;
  }

  /**
   * Records a reply that contains no newer revision than that of the instance's state. An unknown
   * id is ignored.
   */
  public void confirm(long reportId) {
    Clocks sentAt = openReports.get(reportId);
    if (sentAt != null && sentAt.monotonic.isAfter(confirmedAt.monotonic)) {
      confirmedAt = sentAt;
    }
  }

  /** Returns whether the instance may use its state. */
  public boolean isValid(Clocks now) {
    return !confirmedAt.monotonic.equals(Instant.MIN) && now.isWithin(validity, confirmedAt);
  }
}
