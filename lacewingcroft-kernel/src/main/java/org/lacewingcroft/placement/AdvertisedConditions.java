package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import org.lacewingcroft.limit.EndpointRateLimit;

/**
 * On which conditions an endpoint takes requests, as its answers to this entry state them. They are
 * its own word and hold for its whole incarnation, whatever the control instances tell of it.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class AdvertisedConditions {
  private final EndpointRateLimit rateLimit = new EndpointRateLimit();
  private Instant pausedUntil = Instant.EPOCH;
  private boolean leaving;

  /** Returns the rate that it takes from all entries together. */
  public EndpointRateLimit rateLimit() {
    return rateLimit;
  }

  /**
   * Notes that the endpoint leaves.
   *
   * @return whether this entry did not know
   */
  public boolean markDraining() {
    boolean news = !leaving;
    leaving = true;
    return news;
  }

  /** Returns whether the endpoint leaves; an incarnation that leaves does not come back. */
  public boolean isDraining() {
    return leaving;
  }

  /** Takes the endpoint's wish to get nothing from this entry for a while. */
  public void pause(Duration pause, Instant now) {
    Instant until = now.plus(pause);
    pausedUntil = until.isAfter(pausedUntil) ? until : pausedUntil;
  }

  /** Returns how much longer the endpoint wants nothing from this entry, zero if it takes work. */
  public Duration remainingPause(Instant now) {
    return pausedUntil.isAfter(now) ? Duration.between(now, pausedUntil) : Duration.ZERO;
  }
}
