package org.lacewingcroft.limit;

import java.time.Instant;

/**
 * Limits how many requests are sent again (retries and hedges) to a fraction of the requests, so
 * that retries cannot multiply the load on endpoints that fail because they are overloaded.
 */
public final class RetryBudget {
  private final double retriesPerRequest;
  private final TokenBucket bucket;

  /**
   * Creates a budget.
   *
   * @param retriesPerRequest the retries that each request deposits, such as 0.1
   * @param reserve the retries allowed before any deposit, and the most that accumulate
   * @param now the current time
   */
  public RetryBudget(double retriesPerRequest, int reserve, Instant now) {
    this.retriesPerRequest = retriesPerRequest;
    this.bucket = new TokenBucket(0, reserve, now);
  }

  /** Deposits the retries for a request that is sent for the first time. */
  public void deposit(Instant now) {
    bucket.add(retriesPerRequest, now);
  }

  /** Withdraws one retry and returns true, or returns false if the budget does not allow one. */
  public boolean tryWithdraw(Instant now) {
    return bucket.tryTake(now);
  }
}
