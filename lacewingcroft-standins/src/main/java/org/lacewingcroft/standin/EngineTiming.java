package org.lacewingcroft.standin;

import java.time.Duration;

/**
 * The stand-in engine's timing model of continuous batching. Every step emits one token to each
 * sequence whose prompt has been read, and lasts longer the more sequences share it. Prompts are
 * read in chunks between the tokens of other sequences: a chunk makes its step longer, so reading a
 * long prompt delays everybody on the engine.
 *
 * @param baseStep the duration of a step with one sequence
 * @param perSequenceStep extra step duration per further sequence in the batch
 * @param prefillPerKiloChar time to read 1000 prompt characters
 * @param maxChunk the longest time a step spends on reading prompts
 */
public record EngineTiming(
    Duration baseStep, Duration perSequenceStep, Duration prefillPerKiloChar, Duration maxChunk) {

  /** A small engine: 4 ms steps, 0.1 ms more per sequence, 20 ms per 1000 chars, 8 ms chunks. */
  public static final EngineTiming DEFAULT =
      new EngineTiming(
          Duration.ofMillis(4),
          Duration.ofNanos(100_000),
          Duration.ofMillis(20),
          Duration.ofMillis(8));

  /** Returns the same timing with another base step. */
  public EngineTiming withBaseStep(Duration step) {
    return new EngineTiming(step, perSequenceStep, prefillPerKiloChar, maxChunk);
  }

  /** Returns the duration of a step's tokens for a batch of the given size, in microseconds. */
  public long stepMicros(int batchSize) {
    return (baseStep.toNanos() + perSequenceStep.toNanos() * Math.max(0, batchSize - 1)) / 1000;
  }

  /** Returns the time to read a prompt of which a part is cached, in microseconds. */
  public long prefillMicros(int promptChars, int cachedChars) {
    return prefillPerKiloChar.toNanos() / 1000 * Math.max(0, promptChars - cachedChars) / 1000;
  }
}
