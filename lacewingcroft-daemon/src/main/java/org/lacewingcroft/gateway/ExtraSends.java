package org.lacewingcroft.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.lacewingcroft.limit.Backoff;
import org.lacewingcroft.limit.RetryBudget;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Allows sends of idempotent requests beyond the first, after a failure (retry) or a long wait
 * (hedge), bounded by attempts, the caller's deadline and the {@link RetryBudget}.
 */
final class ExtraSends {
  /** Sends of one request at most, the first included. */
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

  /** Notes a request sent for the first time. */
  void firstSend() {
    budget.deposit(clock.instant());
  }

  /** Returns the pause before the next send after a failure, or empty if there must be none. */
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
    metrics.extraSends.labelValues("retry").inc();
    return Optional.of(pause);
  }

  /** Returns whether a request that still waits for its answer may be hedged now. */
  boolean mayHedge(Exchange exchange) {
    boolean allowed =
        exchange.request().idempotent()
            && !exchange.answered()
            && exchange.hasLiveAttempt()
            && exchange.sends() == 1
            && budget.tryWithdraw(clock.instant());
    if (allowed) {
      metrics.extraSends.labelValues("hedge").inc();
    }
    return allowed;
  }
}
