package org.lacewingcroft.limit;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: before retry {@code n} (from 1) a random pause between zero
 * and {@code base * 2^(n-1)}, at most {@code cap}.
 *
 * @param base the bound of the first pause
 * @param cap the bound of every pause
 */
public record Backoff(Duration base, Duration cap) {

  /** Returns the pause before the given retry. */
  public Duration delay(int retry, RandomGenerator random) {
    double bound = base.toNanos() * Math.pow(2, Math.max(0, retry - 1));
    return Duration.ofNanos((long) (random.nextDouble() * Math.min(bound, cap.toNanos())));
  }
}
