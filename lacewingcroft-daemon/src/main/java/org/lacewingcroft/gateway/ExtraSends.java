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
  static final int MAX_SENDS = 4;

  private static final double RETRY_SHARE = 0.1;
  private static final int RETRY_RESERVE = 20;
  private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(20), Duration.ofMillis(400));

  private final InstantSource clock;
  private final GatewayMetrics metrics;
  private final RetryBudget budget;

  ExtraSends(InstantSource clock, GatewayMetrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
    this.budget = new RetryBudget(RETRY_SHARE, RETRY_RESERVE, clock.instant());
  }

  /** Records the first send of a request, which adds to the retry budget. */
  void firstSend() {
    budget.deposit(clock.instant());
  }

  /**
   * Takes a retry from the budget after a failure, if a retry is allowed.
   *
   * @return the backoff delay before the retry; empty if no retry is allowed
   */
  Optional<Duration> retryPause(Exchange exchange) {
    Duration pause = BACKOFF.delay(exchange.sends(), ThreadLocalRandom.current());
    boolean allowed =
        exchange.request().idempotent()
            && !exchange.answered()
            && exchange.sends() < MAX_SENDS
            && pause.compareTo(exchange.remaining(clock.instant())) < 0
            && budget.tryWithdraw(clock.instant());
    if (!allowed) {
      return Optional.empty();
    }
    metrics.retries.labelValues("retry").inc();
    return Optional.of(pause);
  }

  /**
   * Takes a hedge from the budget for a request that still waits for its response, if a hedge is
   * allowed.
   *
   * @return whether the request may be hedged now
   */
  boolean mayHedge(Exchange exchange) {
    boolean allowed =
        exchange.request().idempotent()
            && !exchange.answered()
            && exchange.hasLiveAttempt()
            && exchange.sends() == 1
            && budget.tryWithdraw(clock.instant());
    if (allowed) {
      metrics.retries.labelValues("hedge").inc();
    }
    return allowed;
  }
}
