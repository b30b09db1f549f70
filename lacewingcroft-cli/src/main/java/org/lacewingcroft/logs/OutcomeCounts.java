package org.lacewingcroft.logs;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.lacewingcroft.logs.RequestOutcome.Result;

/** Requests of one group (a route, an entry, a second) by their result. */
public final class OutcomeCounts {
  private static final int DIGITS = 3;

  private final Map<Result, Long> counts = new EnumMap<>(Result.class);
  private final Histogram firstByteMillis = new Histogram(DIGITS);
  private final Histogram millis = new Histogram(DIGITS);
  private double lostWeight;

  /**
   * Counts one more.
   *
   * @param weight what it is worth, in any unit
   */
  void add(RequestOutcome outcome, double weight) {
    counts.merge(outcome.result(), 1L, Long::sum);
    if (outcome.result() == Result.SERVED) {
      firstByteMillis.recordValue(Math.max(0, outcome.firstByteMillis()));
      millis.recordValue(Math.max(0, outcome.millis()));
    } else {
      lostWeight += weight;
    }
  }

  /** Returns how many ended so. */
  public long count(Result result) {
    return counts.getOrDefault(result, 0L);
  }

  /** Returns how many there are in all. */
  public long total() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the weight of those that were not served. */
  public double lostWeight() {
    return lostWeight;
  }

  /**
   * Returns the time to the first byte of those served, in ms, 0 if there are none.
   *
   * @param percentile from 0 to 100
   */
  public long firstByteMillis(double percentile) {
    return firstByteMillis.getValueAtPercentile(percentile);
  }

  /**
   * Returns the time to the last byte of those served, in ms, 0 if there are none.
   *
   * @param percentile from 0 to 100
   */
  public long millis(double percentile) {
    return millis.getValueAtPercentile(percentile);
  }
}
