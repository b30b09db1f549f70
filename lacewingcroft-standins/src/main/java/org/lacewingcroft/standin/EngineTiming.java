package org.lacewingcroft.standin;

import java.time.Duration;

/**
 * The timing model of a stand-in engine with continuous batching. Each step emits one token to
 * every sequence whose prefill is complete, and its duration grows with the number of sequences.
 * Prompts are prefilled in chunks between the tokens of other sequences. A chunk extends its step,
 * so the prefill of a long prompt delays all sequences on the engine.
 *
 * @param baseStep the duration of a step with one sequence
 * @param perSequenceStep the additional step duration per further sequence in the batch
 * @param prefillPerKiloChar the prefill duration of 1000 prompt characters
 * @param maxChunk the maximum prefill duration within one step
 */
public record EngineTiming(
    Duration baseStep, Duration perSequenceStep, Duration prefillPerKiloChar, Duration maxChunk) {

  /** A small engine: 4 ms steps, 0.1 ms per further sequence, 20 ms per 1000 chars, 8 ms chunks. */
  public static final EngineTiming DEFAULT =
      new EngineTiming(
          Duration.ofMillis(4),
          Duration.ofNanos(100_000),
          Duration.ofMillis(20),
          Duration.ofMillis(8));

  /** Returns this timing with another base step. */
  public EngineTiming withBaseStep(Duration step) {
    return new EngineTiming(step, perSequenceStep, prefillPerKiloChar, maxChunk);
  }

  /** Returns the duration of a step without prefill in microseconds, for the given batch size. */
  public long stepMicros(int batchSize) {
    return (baseStep.toNanos() + perSequenceStep.toNanos() * Math.max(0, batchSize - 1)) / 1000;
  }

  /** Returns the prefill duration of a partially cached prompt, in microseconds. */
  public long prefillMicros(int promptChars, int cachedChars) {
    return prefillPerKiloChar.toNanos() / 1000 * Math.max(0, promptChars - cachedChars) / 1000;
  }
}
