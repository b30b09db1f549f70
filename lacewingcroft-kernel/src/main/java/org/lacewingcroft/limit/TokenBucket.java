package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket: tokens accrue at a steady rate up to a burst, and each admission takes one.
 * Thread-safe.
 */
public final class TokenBucket {
  private final double tokensPerSecond;
  private final double burstTokens;
  private double tokens;
  private Instant filledAt;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSecond the rate; 0 for a bucket filled by {@link #add} only
   * @param burstTokens the most it holds
   * @param now the current time
   */
  public TokenBucket(double tokensPerSecond, double burstTokens, Instant now) {
    this.tokensPerSecond = tokensPerSecond;
    this.burstTokens = burstTokens;
    this.tokens = burstTokens;
    this.filledAt = now;
  }

  /** Takes a token if there is one. */
  public synchronized boolean tryTake(Instant now) {
    fill(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Adds tokens, up to the burst. */
  public synchronized void add(double more, Instant now) {
    fill(now);
    tokens = Math.min(burstTokens, tokens + more);
  }

  /** Returns how long until a token is there, zero if one is; meaningless at rate 0. */
  public synchronized Duration untilNext(Instant now) {
    fill(now);
    double missing = Math.max(0, 1 - tokens);
    return Duration.ofNanos((long) (missing / tokensPerSecond * 1e9));
  }

  private void fill(Instant now) {
    if (now.isAfter(filledAt)) {
      double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
      tokens = Math.min(burstTokens, tokens + seconds * tokensPerSecond);
      filledAt = now;
    }
  }
}
