package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * A counter of the usage of other entries, with its last report and the time that its reports take.
 *
 * <p>Not thread-safe.
 */
final class UsageSource {
  /** Minimum interval between two reports of a counter. */
  private static final long MIN_COVERED_MILLIS = 120;

  /** Maximum drift between the clocks of two instances, in seconds per second. */
  private static final double MAX_CLOCK_DRIFT = 1e-3;

  private final Duration timeout;
  private final ReceivedCounter counter;
  private UsageReport lastReport;

  /** Lowest difference between the arrival of a report and its age, apart from clock drift. */
  private double offsetSeconds = Double.POSITIVE_INFINITY;

  private Instant offsetAt;

  UsageSource(UsageReport first, Duration timeout, Instant now) {
    this.timeout = timeout;
    counter = new ReceivedCounter(first.ageMillis(), now);
    lastReport = first;
    offsetAt = now;
  }

  /** Returns whether this counter is current and covers the region of a report. */
  boolean isCurrentOf(UsageReport report, Instant now) {
    return lastReport.region().equals(report.region()) && isCurrent(now);
  }

  /** Returns the time between the last report and a newer one, by the clock of the sender. */
  double coveredSeconds(UsageReport report) {
    long millis = report.ageMillis() - lastReport.ageMillis();
    return Math.max(MIN_COVERED_MILLIS, millis) / 1e3;
  }

  /** Returns by how much a report that has just arrived took longer than the fastest one. */
  double delaySeconds(UsageReport report, Instant now) {
    double offset = now.toEpochMilli() / 1e3 - report.ageMillis() / 1e3;
    double elapsed = Duration.between(offsetAt, now).toNanos() / 1e9;
    offsetSeconds = Math.min(offset, offsetSeconds + elapsed * MAX_CLOCK_DRIFT);
    offsetAt = now;
    return offset - offsetSeconds;
  }

  /** Returns whether the usage of the entries that it covers is known. */
  boolean isCurrent(Instant now) {
    return counter.lastReportAt().plus(timeout).isAfter(now);
  }

  /** Returns how long the entries that it covers have counted as silent. */
  double silentSeconds(Instant now) {
    Duration silence = Duration.between(counter.lastReportAt().plus(timeout), now);
    return Math.max(0, silence.toNanos() / 1e9);
  }

  /** Returns whether the increases of the next report contain all usage since the last one. */
  boolean isUsageComplete() {
    return counter.isUsageComplete();
  }

  /** Returns whether a report is newer than all received before. */
  boolean isNew(UsageReport report) {
    return counter.isNew(report);
  }

  /**
   * Applies a newer report.
   *
   * @param totals its totals without the usage of this entry
   * @return the increases by organisation
   */
  Map<String, Long> apply(UsageReport report, Map<String, Long> totals, Instant now) {
    lastReport = report;
    return counter.apply(report, totals, now);
  }

  Instant lastReportAt() {
    return counter.lastReportAt();
  }

  UsageReport lastReport() {
    return lastReport;
  }

  Duration timeout() {
    return timeout;
  }
}
