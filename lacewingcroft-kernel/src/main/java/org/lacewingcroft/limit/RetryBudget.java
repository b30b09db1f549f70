package org.lacewingcroft.limit;

import java.time.Instant;

/**
 * Bounds how many requests are sent once more (retries and hedges) to a share of the requests, so
 * that retries cannot multiply the load on endpoints that fail because they are overloaded.
 */
public final class RetryBudget {
  private final double share;
  private final TokenBucket bucket;

  /**
   * Creates a budget.
   *
   * @param share retries earned by each request, such as 0.1
   * @param reserve retries allowed before any request earned one, and the most saved up
   * @param now the current time
   */
  public RetryBudget(double share, int reserve, Instant now) {
    this.share = share;
    this.bucket = new TokenBucket(0, reserve, now);
  }

  /** Notes a request sent for the first time. */
  public void deposit(Instant now) {
    bucket.add(share, now);
  }

  /** Takes a retry from the budget if it allows one. */
  public boolean tryWithdraw(Instant now) {
    return bucket.tryTake(now);
  }
}
