package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides for how long an idle connection to an endpoint may be reused.
 *
 * <p>A request written to a connection that the endpoint has closed is reset, and it is unknown
 * whether it ran: a request that may run only once cannot be retried and is lost. Endpoints
 * advertise how long they keep idle connections, but some close them earlier without notice. The
 * first such reset shortens the timeout for that endpoint; a reset at a second endpoint shortens it
 * for all endpoints, since endpoints of the same implementation behave alike. New connections are
 * cheap, but not free: without such resets the advertised timeout is used.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class KeepAlivePolicy {
  /** Used if an endpoint advertises no timeout. */
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(4);

  /** Subtracted from the advertised timeout, which is in whole seconds. */
  private static final Duration ADVERTISED_MARGIN = Duration.ofSeconds(1);

  /** Lower bound of the timeout derived from the advertised one. */
  private static final Duration MIN_ADVERTISED_TIMEOUT = Duration.ofMillis(400);

  /** Timeout after early closes; endpoints are assumed not to close connections idle for less. */
  private static final Duration EARLY_CLOSE_TIMEOUT = Duration.ofMillis(200);

  /**
   * How long a reset counts: an endpoint closes connections early for periods of seconds, and the
   * first reset of a new period is detected immediately.
   */
  private static final Duration EARLY_CLOSE_RETENTION = Duration.ofSeconds(20);

  private final Map<String, Instant> lastEarlyCloseAt = new HashMap<>();

  /**
   * Records that a connection was reset before any byte of a response.
   *
   * @param address the endpoint's address
   * @param idle how long the connection had been idle
   */
  public void recordReset(String address, Duration idle, Instant now) {
    lastEarlyCloseAt.values().removeIf(at -> !at.plus(EARLY_CLOSE_RETENTION).isAfter(now));
    if (idle.compareTo(EARLY_CLOSE_TIMEOUT) >= 0) {
      lastEarlyCloseAt.put(address, now);
    }
  }

  /**
   * Returns how long a connection may be idle and still be reused.
   *
   * @param advertised the timeout that the endpoint advertises, if any
   */
  public Duration idleTimeout(String address, Optional<Duration> advertised, Instant now) {
    Duration timeout = advertised.map(t -> t.minus(ADVERTISED_MARGIN)).orElse(DEFAULT_TIMEOUT);
    Duration boundedTimeout =
        timeout.compareTo(MIN_ADVERTISED_TIMEOUT) < 0 ? MIN_ADVERTISED_TIMEOUT : timeout;
    return closesEarly(address, now) ? EARLY_CLOSE_TIMEOUT : boundedTimeout;
  }

  private boolean closesEarly(String address, Instant now) {
    long recent =
        lastEarlyCloseAt.values().stream()
            .filter(at -> at.plus(EARLY_CLOSE_RETENTION).isAfter(now))
            .count();
    Instant lastCloseAt = lastEarlyCloseAt.getOrDefault(address, Instant.EPOCH);
    return recent > 1 || lastCloseAt.plus(EARLY_CLOSE_RETENTION).isAfter(now);
  }
}
