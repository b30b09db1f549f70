package org.lacewingcroft.routing;

import org.lacewingcroft.endpoint.Endpoint;

/**
 * An endpoint that is eligible for a request, with its load as estimated by this entry.
 *
 * @param endpoint the endpoint as announced
 * @param localInFlight the number of requests that this entry has in flight to it
 * @param prefixCached whether it is assumed to cache the request's prompt prefix
 */
public record Candidate(Endpoint endpoint, int localInFlight, boolean prefixCached) {

  /**
   * Returns the estimated number of requests in flight: the endpoint's last report, which lags
   * behind, or this entry's own count, whichever is larger, so that a burst sent since the last
   * report is included.
   */
  public int estimatedLoad() {
    return Math.max(endpoint.reportedLoad(), localInFlight);
  }

  /** Returns the estimated load divided by the capacity; above 1 the endpoint queues requests. */
  public double utilisation() {
    return estimatedLoad() / (double) Math.max(1, endpoint.capacity());
  }
}
