package org.lacewingcroft.limit;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the delay before retry {@code n} (from 1) is random between
 * zero and {@code base * 2^(n-1)}, and never longer than {@code cap}.
 *
 * @param base the upper bound of the first delay
 * @param cap the upper bound of every delay
 */
public record Backoff(Duration base, Duration cap) {

  /**
   * Returns a random delay before the given retry.
   *
   * @param retry the number of the retry, from 1
   * @param random the source of the jitter
   */
  public Duration delay(int retry, RandomGenerator random) {
    double bound = base.toNanos() * Math.pow(2, Math.max(0, retry - 1));
    return Duration.ofNanos((long) (random.nextDouble() * Math.min(bound, cap.toNanos())));
  }
}
