package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the quota used by each organisation.
 *
 * <p>Not thread-safe.
 */
final class UsageCounter {
  /**
   * Time for which an unchanged total is repeated in reports: longer than the windows over which
   * usage is limited, so that no usage that still matters is missed after a partition.
   */
  private static final Duration REPEAT_TIME = Duration.ofSeconds(15);

  private final long id;
  private final Map<String, Total> totals = new HashMap<>();
  private Optional<Instant> firstReportAt = Optional.empty();
  private long lastAgeMillis;

  private static final class Total {
    private long units;
    private Instant changedAt;
  }

  /** Creates a counter without usage. */
  UsageCounter(long id) {
    this.id = id;
  }

  long id() {
    return id;
  }

  /**
   * Adds usage.
   *
   * @param units the units used; negative for a refund
   */
  void add(String organisation, long units, Instant now) {
    Total total = totals.computeIfAbsent(organisation, o -> new Total());
    total.units += units;
    total.changedAt = now;
  }

  /**
   * Returns the age for the next report: the time since the first one, and higher than in the one
   * before.
   */
  long nextAgeMillis(Instant now) {
    Instant first = firstReportAt.orElse(now);
    firstReportAt = Optional.of(first);
    lastAgeMillis = Math.max(lastAgeMillis + 1, Duration.between(first, now).toMillis());
    return lastAgeMillis;
  }

  /** Returns the totals of the organisations with recent usage. */
  Map<String, Long> recentTotals(Instant now) {
    Instant oldest = now.minus(REPEAT_TIME);
    Map<String, Long> recent = new HashMap<>();
    totals.forEach(
        (name, total) -> {
          if (total.changedAt.isAfter(oldest)) {
            recent.put(name, total.units);
          }
        });
    return recent;
  }
}
