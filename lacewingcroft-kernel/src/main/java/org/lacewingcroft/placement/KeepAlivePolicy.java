package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * For how long an unused connection to an endpoint may be used again.
 *
 * <p>A request written to a connection that the endpoint has dropped is reset, and nobody can say
 * whether it ran: one that may run only once is lost. Endpoints state how long they keep unused
 * connections, but some drop them sooner and without notice. The first such reset shortens the time
 * for that endpoint; a second endpoint's, for all of them, since endpoints of one make behave
 * alike. New connections are cheap, but not free: without evidence the stated time is used.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class KeepAlivePolicy {
  /** Used if an endpoint states no time. */
  private static final Duration DEFAULT_KEEP = Duration.ofSeconds(4);

  /** Kept free below the time that an endpoint states, in whole seconds. */
  private static final Duration STATED_MARGIN = Duration.ofSeconds(1);

  private static final Duration SHORTEST_STATED = Duration.ofMillis(400);

  /** A connection that rested for less is reused all the same: no endpoint drops one so soon. */
  private static final Duration SHORT_KEEP = Duration.ofMillis(200);

  /** How long the evidence counts: such trouble lasts for seconds, and it is seen again at once. */
  private static final Duration REMEMBERED = Duration.ofSeconds(20);

  private final Map<String, Instant> droppedAt = new HashMap<>();

  /**
   * Notes that a connection was reset before any byte of an answer.
   *
   * @param address the endpoint's address
   * @param rested how long the connection had been unused
   */
  public void recordReset(String address, Duration rested, Instant now) {
    droppedAt.values().removeIf(at -> !at.plus(REMEMBERED).isAfter(now));
    if (rested.compareTo(SHORT_KEEP) >= 0) {
      droppedAt.put(address, now);
    }
  }

  /**
   * Returns how long a connection may rest before it is used again.
   *
   * @param stated the time that the endpoint states, if it does
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
