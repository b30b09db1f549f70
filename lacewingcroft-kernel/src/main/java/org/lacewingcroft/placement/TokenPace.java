package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;

/**
 * How slowly an engine produces the tokens of one answer, measured from the pauses between events.
 *
 * <p>An engine that reads prompts gives the streams it already feeds one token for each chunk it
 * reads, so an answer that takes 8 ms a token on an idle engine takes 60 ms on one that reads all
 * the time, and a long one misses its deadline although its first event was early. The load this
 * answers is a peak in one region while another is at its trough: by their first bytes both would
 * do.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
final class TokenPace {
  /** Pace assumed until measured, in ms a token: a large model's step with a few streams. */
  static final double INITIAL_MILLIS = 10;

  /** Time in which a sample loses half of its weight: an engine's load changes within a second. */
  private static final double HALF_LIFE_MILLIS = 500;

  /** Weight, in tokens, of the belief that an engine without samples is idle. */
  private static final double IDLE_WEIGHT = 4;

  /** A pause longer than this says something of the stream's way, not of the engine's pace. */
  private static final double LONGEST_PAUSE_MILLIS = 2_000;

  private double millis;
  private double tokens;
  private Instant at = Instant.EPOCH;

  /**
   * Takes a sample.
   *
   * @param pause between two events of one answer, or two groups of them
   * @param newTokens the tokens that came after it
   */
  void sample(Duration pause, long newTokens, Instant now) {
    double kept = kept(now);
    millis = millis * kept + Math.min(LONGEST_PAUSE_MILLIS, pause.toMillis());
    tokens = tokens * kept + newTokens;
    at = now;
  }

  /** Returns the pace in ms a token. */
  double millisPerToken(Instant now) {
    double kept = kept(now);
    return (millis * kept + IDLE_WEIGHT * INITIAL_MILLIS) / (tokens * kept + IDLE_WEIGHT);
  }

  private double kept(Instant now) {
    double age = Math.max(0, Duration.between(at, now).toMillis());
    return Math.pow(0.5, Math.min(100, age / HALF_LIFE_MILLIS));
  }
}
