package org.lacewingcroft.limit;

import java.time.Instant;

/**
 * Limits retries (including hedges) to a fraction of the requests, so that retries cannot multiply
 * the load on endpoints that fail because they are overloaded. Each instance has its own budget;
 * {@link org.lacewingcroft.placement.ExtraSendBudget} limits the extra sends of a service over all
 * entries together.
 */
public final class RetryBudget {
  private final double retriesPerRequest;
  private final TokenBucket bucket;

  /**
   * Creates a budget.
   *
   * @param retriesPerRequest the number of retries that each request deposits, such as 0.1
   * @param reserve the number of retries available before any deposit, also the maximum that
   *     accumulates
   * @param now the current time
   */
  public RetryBudget(double retriesPerRequest, int reserve, Instant now) {
    this.retriesPerRequest = retriesPerRequest;
    this.bucket = new TokenBucket(0, reserve, now);
  }

  /** Deposits a request's share of a retry; called when a request is sent for the first time. */
  public void deposit(Instant now) {
    bucket.add(retriesPerRequest, now);
  }

  /** Withdraws one retry and returns true, or returns false if the budget does not allow one. */
  public boolean tryWithdraw(Instant now) {
    return bucket.tryTake(now);
  }
}
