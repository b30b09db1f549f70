package org.lacewingcroft.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.lacewingcroft.limit.Backoff;
import org.lacewingcroft.limit.RetryBudget;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Decides whether an idempotent request may be sent again, after a failure (retry) or a long wait
 * (hedge). Extra sends are bounded by the number of attempts, the caller's deadline and the {@link
 * RetryBudget}.
 */
final class ExtraSends {
  /** The maximum number of attempts per request, including the first. */
  static final int MAX_ATTEMPTS = 4;

  /** Retries and hedges that each request adds to the budget. */
  private static final double RETRIES_PER_REQUEST = 0.1;

  /** Retries and hedges allowed before any request, and the most that the budget accumulates. */
  private static final int RETRY_RESERVE = 20;

  private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(20), Duration.ofMillis(400));

  private final InstantSource clock;
  private final GatewayMetrics metrics;
  private final RetryBudget budget;

  ExtraSends(InstantSource clock, GatewayMetrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
    this.budget = new RetryBudget(RETRIES_PER_REQUEST, RETRY_RESERVE, clock.instant());
  }

  /** Records the first send of a request, which adds to the retry budget. */
  void recordFirstSend() {
    budget.deposit(clock.instant());
  }

  /**
   * Takes a retry from the budget after a failure, if a retry is allowed.
   *
   * @return the backoff delay before the retry; empty if no retry is allowed
   */
  Optional<Duration> tryTakeRetry(Exchange exchange) {
    Duration delay = BACKOFF.delay(exchange.attemptCount(), ThreadLocalRandom.current());
    boolean allowed =
        exchange.request().idempotent()
            && !exchange.responseCommitted()
            && exchange.attemptCount() < MAX_ATTEMPTS
            && delay.compareTo(exchange.remaining(clock.instant())) < 0
            && budget.tryWithdraw(clock.instant());
    if (!allowed) {
      return Optional.empty();
    }
    metrics.extraSends.labelValues("retry").inc();
    return Optional.of(delay);
  }

  /**
   * Takes a hedge from the budget for a request whose response has not arrived, if a hedge is
   * allowed.
   *
   * @return whether the request may be hedged now
   */
  boolean tryTakeHedge(Exchange exchange) {
    boolean allowed =
        exchange.request().idempotent()
            && !exchange.responseCommitted()
            && exchange.hasLiveAttempt()
            && exchange.attemptCount() == 1
            && budget.tryWithdraw(clock.instant());
    if (allowed) {
      metrics.extraSends.labelValues("hedge").inc();
    }
    return allowed;
  }
}
