package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import org.lacewingcroft.limit.EndpointRateLimit;

/**
 * Holds the conditions under which an endpoint accepts requests, as advertised by its responses to
 * this entry. They come from the endpoint itself and apply to its whole incarnation, whatever the
 * control instances report about it.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class AdvertisedConditions {
  private final EndpointRateLimit rateLimit = new EndpointRateLimit();
  private Instant pausedUntil = Instant.EPOCH;
  private boolean draining;

  /** Returns the rate limit that the endpoint advertises for all entries together. */
  public EndpointRateLimit rateLimit() {
    return rateLimit;
  }

  /**
   * Records that the endpoint is draining.
   *
   * @return whether this was not recorded before
   */
  public boolean markDraining() {
    boolean changed = !draining;
    draining = true;
    return changed;
  }

  /**
   * Returns whether the endpoint is draining; such an incarnation does not accept requests again.
   */
  public boolean isDraining() {
    return draining;
  }

  /** Records a pause that the endpoint requested, during which this entry must not send to it. */
  public void pause(Duration pause, Instant now) {
    Instant until = now.plus(pause);
    pausedUntil = until.isAfter(pausedUntil) ? until : pausedUntil;
  }

  /** Returns the remaining time of the requested pause; zero if there is none. */
  public Duration remainingPause(Instant now) {
    return pausedUntil.isAfter(now) ? Duration.between(now, pausedUntil) : Duration.ZERO;
  }
}
