package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Adds up the quota used by the callers of a region's entries. Each entry's reports are totals, of
 * which only the increase since its previous report is added, so that lost and repeated reports do
 * not change the sum.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class UsageCollector {
  /** Minimum interval between two reports with changed totals. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);

  /** Interval after which unchanged totals are reported, as a heartbeat. */
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(240);

  /** Time without a report after which an entry's usage is not current; entries report each 1 s. */
  private static final Duration ENTRY_TIMEOUT = Duration.ofMillis(2_500);

  /** Time without a report after which an entry is forgotten. */
  private static final Duration ENTRY_RETENTION = Duration.ofSeconds(10);

  /** Time without a report after which a counter is forgotten. */
  private static final Duration COUNTER_RETENTION = Duration.ofMinutes(1);

  private final String region;
  private final UsageCounter sum;
  private final Map<Long, ReceivedCounter> counters = new HashMap<>();
  private final Map<String, Instant> lastReportByEntry = new HashMap<>();
  private final Map<Long, Long> unreportedAges = new HashMap<>();
  private Instant lastReportAt = Instant.EPOCH;
  private boolean changed;

  /**
   * Creates a collector without usage.
   *
   * @param id identifies the sum; no other collector or entry uses the same id
   */
  public UsageCollector(String region, long id) {
    this.region = region;
    this.sum = new UsageCounter(id);
  }

  /** Adds the increase since the previous report of an entry; earlier reports are ignored. */
  public void add(String entry, UsageReport report, Instant now) {
    lastReportByEntry.put(entry, now);
    ReceivedCounter counter =
        counters.computeIfAbsent(
            report.counter(), c -> new ReceivedCounter(report.ageMillis(), now));
    if (!counter.isNew(report)) {
      return;
    }
    unreportedAges.put(report.counter(), report.ageMillis());
    counter
        .apply(report, report.totals(), now)
        .forEach(
            (organisation, increase) -> {
              if (increase != 0) {
                sum.add(organisation, increase, now);
                changed = true;
              }
            });
  }

  /** Returns a report of the sum if one is due. */
  public Optional<UsageReport> reportIfDue(Instant now) {
    Duration interval = changed ? REPORT_INTERVAL : HEARTBEAT_INTERVAL;
    if (lastReportAt.plus(interval).isAfter(now)) {
      return Optional.empty();
    }
    counters.values().removeIf(c -> c.lastReportAt().plus(COUNTER_RETENTION).isBefore(now));
    lastReportByEntry.values().removeIf(at -> at.plus(ENTRY_RETENTION).isBefore(now));
    int current =
        (int)
            lastReportByEntry.values().stream()
                .filter(at -> at.plus(ENTRY_TIMEOUT).isAfter(now))
                .count();
    final UsageReport report =
        new UsageReport(
            region,
            sum.id(),
            sum.nextAgeMillis(now),
            current,
            lastReportByEntry.size(),
            sum.recentTotals(now),
            unreportedAges);
    unreportedAges.clear();
    changed = false;
    lastReportAt = now;
    return Optional.of(report);
  }
}
