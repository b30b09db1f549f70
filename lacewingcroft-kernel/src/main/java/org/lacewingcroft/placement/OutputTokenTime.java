package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Estimates an engine's time per output token from the intervals between the events of its
 * responses.
 *
 * <p>While an engine prefills prompts, each of its streams produces one token per prefill chunk. A
 * response that takes 8 ms per token on an idle engine takes 60 ms per token on an engine that
 * prefills continuously. A long response then misses its deadline even if its first event arrives
 * early. Designed for a peak in one region while another region is at its trough: by the time to
 * the first byte alone, both regions would appear acceptable.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class OutputTokenTime {
  /** Time per output token assumed without samples: a large model's step with a few streams. */
  static final double INITIAL_MILLIS = 10;

  /** Time after which a sample has half its weight: an engine's load changes within a second. */
  private static final double HALF_LIFE_MILLIS = 500;

  /** Weight, in tokens, of the assumption that an engine without samples is idle. */
  private static final double IDLE_WEIGHT_TOKENS = 4;

  /**
   * Upper bound of a sampled interval: longer ones are caused by the transport of the stream, not
   * by the engine.
   */
  private static final double MAX_INTERVAL_MILLIS = 2_000;

  private double weightedMillis;
  private double weightedTokens;

  /** The tokens, each multiplied by the pace at which it was produced. */
  private double weightedPaceTokens;

  private Instant lastSampleAt = Instant.EPOCH;

  /**
   * Adds a sample.
   *
   * @param interval the time between two events, or two groups of events, of one response
   * @param newTokens the number of tokens received at its end
   * @param pace the engine's pace, if it is reported
   */
  void addSample(Duration interval, long newTokens, OptionalDouble pace, Instant now) {
    double decay = decayFactor(now);
    weightedMillis = weightedMillis * decay + Math.min(MAX_INTERVAL_MILLIS, interval.toMillis());
    weightedTokens = weightedTokens * decay + newTokens;
    weightedPaceTokens = weightedPaceTokens * decay + newTokens * pace.orElse(1);
    lastSampleAt = now;
  }

  /**
   * Returns the estimated time per output token, in ms.
   *
   * @param pace the engine's current pace, if it is reported
   */
  double millisPerToken(OptionalDouble pace, Instant now) {
    double decay = decayFactor(now);
    double weight = weightedTokens * decay + IDLE_WEIGHT_TOKENS;
    double millis = (weightedMillis * decay + IDLE_WEIGHT_TOKENS * INITIAL_MILLIS) / weight;
    if (pace.isEmpty()) {
      return millis;
    }
    double samplePace = (weightedPaceTokens * decay + IDLE_WEIGHT_TOKENS) / weight;
    return millis * PaceReference.lastingFactor(pace.getAsDouble() / samplePace);
  }

  private double decayFactor(Instant now) {
    double ageMillis = Math.max(0, Duration.between(lastSampleAt, now).toMillis());
    return Math.pow(0.5, Math.min(100, ageMillis / HALF_LIFE_MILLIS));
  }
}
