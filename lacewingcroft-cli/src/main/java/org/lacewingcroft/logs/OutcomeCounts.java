package org.lacewingcroft.logs;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.lacewingcroft.logs.RequestOutcome.Result;

/** Counts the requests of one group (a route, an entry or a second) by result. */
public final class OutcomeCounts {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Result, Long> counts = new EnumMap<>(Result.class);
  private final Histogram firstByteMillis = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram durationMillis = new Histogram(SIGNIFICANT_DIGITS);
  private double notServedWeight;
  private long late;

  /**
   * Adds a request.
   *
   * @param weight the weight of the request, in any unit
   */
  void add(RequestOutcome outcome, double weight) {
    counts.merge(outcome.result(), 1L, Long::sum);
    late += outcome.isLate() ? 1 : 0;
    if (outcome.result() == Result.SERVED) {
      firstByteMillis.recordValue(Math.max(0, outcome.firstByteMillis()));
      durationMillis.recordValue(Math.max(0, outcome.durationMillis()));
    } else {
      notServedWeight += weight;
    }
  }

  /** Returns the number of requests with the given result. */
  public long count(Result result) {
    return counts.getOrDefault(result, 0L);
  }

  /** Returns the number of requests that were served later than their objective. */
  public long late() {
    return late;
  }

  /** Returns the number of requests. */
  public long total() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the total weight of the requests that were not served. */
  public double notServedWeight() {
    return notServedWeight;
  }

  /**
   * Returns a percentile of the time to the first byte of served requests in milliseconds, or 0 if
   * none was served.
   *
   * @param percentile from 0 to 100
   */
  public long firstByteMillis(double percentile) {
    return firstByteMillis.getValueAtPercentile(percentile);
  }

  /**
   * Returns a percentile of the time to the last byte of served requests in milliseconds, or 0 if
   * none was served.
   *
   * @param percentile from 0 to 100
   */
  public long durationMillis(double percentile) {
    return durationMillis.getValueAtPercentile(percentile);
  }
}
