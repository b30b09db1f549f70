package org.lacewingcroft.bench;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The measurements of a trace replay.
 *
 * <p>Latencies are in microseconds. The time to the first token is measured from sending the
 * request to the first content chunk, the gap between tokens from one content chunk to the next.
 */
public final class ReplayResult {
  private static final long MAX_MICROS = 120_000_000L;

  /** Time to the first token, microseconds. */
  public final Histogram firstTokenMicros = new Histogram(MAX_MICROS, 3);

  /** Time to the first token of long reviews, microseconds. */
  public final Histogram reviewFirstTokenMicros = new Histogram(MAX_MICROS, 3);

  /** Time to the first token of short questions, microseconds. */
  public final Histogram questionFirstTokenMicros = new Histogram(MAX_MICROS, 3);

  /** Time between consecutive tokens, microseconds. */
  public final Histogram betweenTokensMicros = new Histogram(MAX_MICROS, 3);

  /** Requests by outcome: served, not_run, outcome_unknown, ... */
  public final Map<String, Integer> outcomes = new TreeMap<>();

  /** Served requests by the region that served them. */
  public final Map<String, Integer> servedByRegion = new TreeMap<>();

  /** Served requests by the region of the caller. */
  public final Map<String, Integer> callersByRegion = new TreeMap<>();

  /** Served requests whose serving region differs from the region of the caller. */
  public int crossRegion;

  /**
   * Responses with an event or token that does not belong to the request, and responses that ended
   * incomplete. An otherwise intact stream that ends with an error event does not count.
   */
  public int corrupted;

  /** Served requests whose serving region is outside their residency. */
  public int outsideResidency;

  synchronized void recordFirstToken(TraceRequest request, long micros) {
    firstTokenMicros.recordValue(micros);
    boolean review = request.prompt().length() >= WorkloadTrace.REVIEW_CHARS;
    (review ? reviewFirstTokenMicros : questionFirstTokenMicros).recordValue(micros);
  }

  synchronized void recordTokenGap(long micros) {
    betweenTokensMicros.recordValue(micros);
  }

  void count(String outcome) {
    count(outcome, 1);
  }

  synchronized void count(String outcome, int times) {
    outcomes.merge(outcome, times, Integer::sum);
  }

  synchronized void countCorrupted() {
    corrupted++;
    count("corrupted");
  }

  synchronized void countServed(String callerRegion, Optional<String> servedIn, boolean outside) {
    count("served");
    callersByRegion.merge(callerRegion, 1, Integer::sum);
    servedIn.ifPresent(region -> servedByRegion.merge(region, 1, Integer::sum));
    crossRegion += servedIn.filter(region -> !region.equals(callerRegion)).isPresent() ? 1 : 0;
    outsideResidency += outside ? 1 : 0;
  }

  /** Returns the number of requests with the given outcome. */
  public synchronized int outcome(String name) {
    return outcomes.getOrDefault(name, 0);
  }

  /** Returns the share of served requests that were served in another region, 0 to 1. */
  public synchronized double crossRegionShare() {
    int served = outcome("served");
    return served == 0 ? 0 : crossRegion / (double) served;
  }

  /** Returns a human-readable report under the given title. */
  public synchronized String report(String title) {
    StringBuilder text = new StringBuilder();
    text.append(title).append('\n');
    text.append("  outcomes: ").append(outcomes).append('\n');
    text.append("  served by region: ").append(servedByRegion).append('\n');
    text.append("  callers by region: ").append(callersByRegion).append('\n');
    text.append(String.format("  cross-region share: %.3f%n", crossRegionShare()));
    text.append("  corrupted responses: ").append(corrupted).append('\n');
    text.append("  served outside residency: ").append(outsideResidency).append('\n');
    text.append(
        String.format(
            "  first token ms: p50 %.2f p95 %.2f p99 %.2f%n",
            firstTokenMicros.getValueAtPercentile(50) / 1000.0,
            firstTokenMicros.getValueAtPercentile(95) / 1000.0,
            firstTokenMicros.getValueAtPercentile(99) / 1000.0));
    text.append(
        String.format(
            "  between tokens ms: p50 %.2f p95 %.2f p99 %.2f%n",
            betweenTokensMicros.getValueAtPercentile(50) / 1000.0,
            betweenTokensMicros.getValueAtPercentile(95) / 1000.0,
            betweenTokensMicros.getValueAtPercentile(99) / 1000.0));
    return text.toString();
  }
}
