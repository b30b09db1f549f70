package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;

/**
 * What one entry knows of the warm-up of one endpoint, during which it may send the endpoint few
 * requests only.
 *
 * <p>An endpoint may start again under its id and address, and its announcements of that may be
 * late. An entry notices that all its connections to the endpoint are lost; until a health check
 * then shows whether the endpoint has started again, it counts as cold.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class EndpointWarmUp {
  /**
   * Minimum interval between two requests of one entry to a cold endpoint: its limit applies to
   * each second, in which one entry then sends at most one request.
   */
  private static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(1_100);

  /**
   * Time without further health checks after one has shown that the endpoint only closed its
   * connections. Endpoints close idle connections as a matter of course.
   */
  private static final Duration MIN_CHECK_INTERVAL = Duration.ofSeconds(20);

  private Instant coldUntil = Instant.MIN;
  private Instant lastColdRequestAt = Instant.EPOCH;
  private boolean unverified;
  private Instant closesIgnoredUntil = Instant.MIN;

  /** Treats the endpoint as cold at least until an instant. */
  void extendUntil(Instant until) {
    coldUntil = until.isAfter(coldUntil) ? until : coldUntil;
  }

  /**
   * Records that all connections to the endpoint are lost.
   *
   * @param reset whether one of them was reset, and not closed in an orderly way
   */
  void recordConnectionsLost(boolean reset, Instant now) {
    unverified |= reset || !closesIgnoredUntil.isAfter(now);
  }

  /** Records how long the endpoint stays cold, as stated in its response to a health check. */
  void recordRemaining(Duration remaining, Instant now) {
    extendUntil(now.plus(remaining));
    if (unverified && remaining.isZero()) {
      closesIgnoredUntil = now.plus(MIN_CHECK_INTERVAL);
    }
    unverified = false;
  }

  /** Returns whether it is unknown whether the endpoint has started again. */
  boolean isUnverified() {
    return unverified;
  }

  /** Returns whether the endpoint is cold, or may be. */
  boolean isCold(Instant now) {
    return unverified || coldUntil.isAfter(now);
  }

  /** Records a request that is sent to the endpoint. */
  void recordRequest(Instant now) {
    if (isCold(now)) {
      lastColdRequestAt = now;
    }
  }

  /** Returns whether one more request may be sent now to the endpoint while it is cold. */
  boolean admitsColdRequest(Instant now) {
    return !lastColdRequestAt.plus(MIN_REQUEST_INTERVAL).isAfter(now);
  }
}
