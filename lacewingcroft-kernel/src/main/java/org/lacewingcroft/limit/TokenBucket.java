package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket: tokens accrue at a constant rate up to the burst size, and each admitted request
 * takes one.
 *
 * <p>Thread-safe.
 */
public final class TokenBucket {
  private final double tokensPerSecond;
  private final double burstTokens;
  private double tokens;
  private Instant lastRefillAt;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSecond the refill rate; 0 for a bucket filled by {@link #add} only
   * @param burstTokens the burst size, which is the capacity of the bucket
   * @param now the current time
   */
  public TokenBucket(double tokensPerSecond, double burstTokens, Instant now) {
    this.tokensPerSecond = tokensPerSecond;
    this.burstTokens = burstTokens;
    this.tokens = burstTokens;
    this.lastRefillAt = now;
  }

  /** Takes a token and returns true, or returns false if none is available. */
  public synchronized boolean tryTake(Instant now) {
    refill(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Adds tokens, up to the burst size. */
  public synchronized void add(double added, Instant now) {
    refill(now);
    tokens = Math.min(burstTokens, tokens + added);
  }

  /** Returns the delay until a token is available, zero if one is; not meaningful at rate 0. */
  public synchronized Duration untilNextToken(Instant now) {
    refill(now);
    double missing = Math.max(0, 1 - tokens);
    return Duration.ofNanos((long) (missing / tokensPerSecond * 1e9));
  }

  private void refill(Instant now) {
    if (now.isAfter(lastRefillAt)) {
      double seconds = Duration.between(lastRefillAt, now).toNanos() / 1e9;
      tokens = Math.min(burstTokens, tokens + seconds * tokensPerSecond);
      lastRefillAt = now;
    }
  }
}
