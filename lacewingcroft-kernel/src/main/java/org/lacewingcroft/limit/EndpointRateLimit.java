package org.lacewingcroft.limit;

import java.time.Instant;
import java.util.OptionalDouble;

/**
 * The rate of requests that an endpoint takes from all entries together, as its answers state it.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class EndpointRateLimit {
  private OptionalDouble perSecond = OptionalDouble.empty();
  private Instant statedAt = Instant.EPOCH;

  /** Returns the requests a second that the endpoint takes; empty if it has stated no limit. */
  public OptionalDouble perSecond() {
    return perSecond;
  }

  /**
   * Takes what an answer states. One without a limit ends the limit only if its request was sent
   * after the limit was last stated: answers on different connections overtake each other.
   *
   * @param stated the limit in requests a second, empty if the answer states none
   * @param sentAt when the answer's request was sent
   * @return whether this changes the limit
   */
  public boolean stated(OptionalDouble stated, Instant sentAt, Instant now) {
    if (stated.isEmpty() && !sentAt.isAfter(statedAt)) {
      return false;
    }
    boolean changed = !stated.equals(perSecond);
    perSecond = stated;
    if (stated.isPresent() || changed) {
      statedAt = now;
    }
    return changed;
  }
}
