package org.lacewingcroft.routing;

import org.lacewingcroft.endpoint.Endpoint;

/**
 * An endpoint eligible for a request, with the load this gateway knows of it.
 *
 * @param endpoint the endpoint as announced
 * @param localInFlight requests this gateway has in flight to it right now
 * @param prefixCached whether its cache is believed to hold the request's prompt prefix
 */
public record Candidate(Endpoint endpoint, int localInFlight, boolean prefixCached) {

  /**
   * Returns the estimated load: the endpoint's lagging report or this gateway's own count,
   * whichever is larger, so a burst sent since the last report is not overlooked.
   */
  public int estimatedLoad() {
    return Math.max(endpoint.reportedLoad(), localInFlight);
  }

  /** Returns the estimated load divided by capacity; above 1 means it queues. */
  public double utilisation() {
    return estimatedLoad() / (double) Math.max(1, endpoint.capacity());
  }
}
