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
 * advertise how long they keep idle connections, but some close them earlier and without notice.
 * The first such reset shortens the timeout for that endpoint; a reset at a second endpoint
 * shortens it for all endpoints, since endpoints of the same implementation behave alike. New
 * connections are cheap, but not free: without such resets the advertised timeout is used.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class KeepAlivePolicy {
  /** Used if an endpoint advertises no timeout. */
  private static final Duration DEFAULT_KEEP = Duration.ofSeconds(4);

  /** Subtracted from the advertised timeout, which is in whole seconds. */
  private static final Duration STATED_MARGIN = Duration.ofSeconds(1);

  private static final Duration SHORTEST_STATED = Duration.ofMillis(400);

  /** Timeout after early closes; no endpoint closes a connection that was idle for less. */
  private static final Duration SHORT_KEEP = Duration.ofMillis(200);

  /**
   * How long a reset counts: early closes occur over periods of seconds, and new ones are detected
   * at once.
   */
  private static final Duration REMEMBERED = Duration.ofSeconds(20);

  private final Map<String, Instant> droppedAt = new HashMap<>();

  /**
   * Records that a connection was reset before any byte of a response.
   *
   * @param address the endpoint's address
   * @param idle how long the connection had been idle
   */
  public void recordReset(String address, Duration rested, Instant now) {
    droppedAt.values().removeIf(at -> !at.plus(REMEMBERED).isAfter(now));
    if (rested.compareTo(SHORT_KEEP) >= 0) {
      droppedAt.put(address, now);
    }
  }

  /**
   * Returns how long a connection may be idle and still be reused.
   *
   * @param advertised the timeout that the endpoint advertises, if any
   */
  public Duration idleTimeout(String address, Optional<Duration> stated, Instant now) {
    Duration keep = stated.map(s -> s.minus(STATED_MARGIN)).orElse(DEFAULT_KEEP);
    Duration believed = keep.compareTo(SHORTEST_STATED) < 0 ? SHORTEST_STATED : keep;
    return dropsEarly(address, now) ? SHORT_KEEP : believed;
  }

  private boolean dropsEarly(String address, Instant now) {
    long recent =
        droppedAt.values().stream().filter(at -> at.plus(REMEMBERED).isAfter(now)).count();
    Instant here = droppedAt.getOrDefault(address, Instant.EPOCH);
    return recent > 1 || here.plus(REMEMBERED).isAfter(now);
  }
}
