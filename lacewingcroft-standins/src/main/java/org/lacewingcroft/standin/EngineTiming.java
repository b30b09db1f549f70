package org.lacewingcroft.standin;

import java.time.Duration;

/**
 * The stand-in engine's timing model of continuous batching: every step emits one token to each
 * running sequence, and a step lasts longer the more sequences share it; a prompt's prefill costs
 * time per character unless its prefix is cached.
 *
 * @param baseStep the duration of a step with one sequence
 * @param perSequenceStep extra step duration per additional sequence in the batch
 * @param prefillPerKiloChar prefill time per 1000 prompt characters on a cache miss
 */
public record EngineTiming(
    Duration baseStep, Duration perSequenceStep, Duration prefillPerKiloChar) {

  /** Timing near a small engine: 4 ms steps, 0.1 ms more per sequence, 20 ms per 1000 chars. */
  public static final EngineTiming DEFAULT =
      new EngineTiming(Duration.ofMillis(4), Duration.ofMillis(0), Duration.ofMillis(20));

  /** Returns the step duration for a batch of the given size, in microseconds. */
  public long stepMicros(int batchSize) {
    return baseStep.toNanos() / 1000
        + perSequenceStep.toNanos() / 1000 * Math.max(0, batchSize - 1)
        + 100L * Math.max(0, batchSize - 1);
  }

  /** Returns the prefill time for a prompt, in microseconds, 0 on a cache hit. */
  public long prefillMicros(int promptChars, boolean cacheHit) {
    return cacheHit ? 0 : prefillPerKiloChar.toNanos() / 1000 * promptChars / 1000;
  }
}
