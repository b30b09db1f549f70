package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The last received totals of one counter, from which the increase of each later report is derived.
 *
 * <p>Not thread-safe.
 */
final class ReceivedCounter {
  /**
   * Age up to which the totals of a counter seen for the first time count as an increase. Those of
   * an older counter contain usage that has left every window or was received from elsewhere.
   */
  private static final Duration MAX_NEW_COUNTER_AGE = Duration.ofSeconds(5);

  private final boolean countedFromZero;
  private final Map<String, Long> totals = new HashMap<>();
  private long ageMillis = -1;
  private Instant lastReportAt;

  /** Creates a counter whose first report has the given age. */
  ReceivedCounter(long firstAgeMillis, Instant now) {
    this.countedFromZero = firstAgeMillis <= MAX_NEW_COUNTER_AGE.toMillis();
    this.lastReportAt = now;
  }

  Instant lastReportAt() {
    return lastReportAt;
  }

  /** Returns whether the increases of the next report contain all usage since the last one. */
  boolean isUsageComplete() {
    return countedFromZero || ageMillis >= 0;
  }

  /** Returns whether a report is newer than all received before. */
  boolean isNew(UsageReport report) {
    return report.ageMillis() > ageMillis;
  }

  /**
   * Applies a newer report.
   *
   * @param newTotals the totals of the report
   * @return the increases by organisation; negative after refunds, 0 where nothing changed
   */
  Map<String, Long> apply(UsageReport report, Map<String, Long> newTotals, Instant now) {
    ageMillis = report.ageMillis();
    lastReportAt = now;
    Map<String, Long> increases = new HashMap<>();
    newTotals.forEach(
        (organisation, total) -> {
          Long previous = totals.put(organisation, total);
          if (previous != null) {
            increases.put(organisation, total - previous);
          } else if (countedFromZero) {
            increases.put(organisation, Math.max(0, total));
          }
        });
    return increases;
  }
}
