package org.lacewingcroft.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates how long the streams of an engine pause while it prefills queued prompts, and what that
 * adds to the engine's score.
 *
 * <p>Designed for a region's peak on engines of different speeds. An engine prefills a chunk of a
 * prompt in each step, and every step gives each stream one token. While prompts are queued, an
 * engine of 33 prompt tokens per ms takes 62 ms for a step, and an event of ten tokens comes 620 ms
 * after the one before; a faster engine is bounded by its chunks and needs no limit.
 *
 * @param objective the longest pause for which a response is on time; empty for none
 * @param eventTokens the number of output tokens of an event
 */
record EventGap(Optional<Duration> objective, int eventTokens) {
  /** No objective. */
  static final EventGap NONE = new EventGap(Optional.empty(), 1);

  /** Prompt tokens that an engine prefills in one step, the usual size of a chunk. */
  private static final int CHUNK_TOKENS = 2_048;

  /** Share of the objective that the estimate may reach: its inputs are up to 300 ms old. */
  private static final double SAFE_SHARE = 0.8;

  /** Weight of each ms beyond it, because all streams of the engine pause. */
  private static final double PAUSE_FACTOR = 8;

  /** Returns whether the streams of an engine of a prefill speed can pause for too long at all. */
  boolean isExceedable(double prefillTokensPerMilli) {
    return penaltyMillis(Double.MAX_VALUE, prefillTokensPerMilli) > 0;
  }

  /**
   * Returns the penalty of an engine, in ms.
   *
   * @param queuedTokens the tokens that it has yet to prefill, including those of the new prompt
   * @param prefillTokensPerMilli its prefill speed
   */
  double penaltyMillis(double queuedTokens, double prefillTokensPerMilli) {
    if (objective.isEmpty()) {
      return 0;
    }
    double gapTokens = Math.min(queuedTokens, (double) eventTokens * CHUNK_TOKENS);
    double gapMillis = gapTokens / prefillTokensPerMilli;
    return PAUSE_FACTOR * Math.max(0, gapMillis - SAFE_SHARE * objective.get().toMillis());
  }
}
