package org.lacewingcroft.placement;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/** The decision where to send a request. */
public sealed interface Placement {
  /** Returns the value of the metric label for this decision. */
  default String where() {
    if (this instanceof Refused refused) {
      return refused.reason().name().toLowerCase(Locale.ROOT);
    }
    return this instanceof ToEndpoint ? "here" : "elsewhere";
  }

  /**
   * The request is sent to an endpoint of this region.
   *
   * @param endpoint the endpoint
   * @param expectedMillis the estimated time to the first byte of its response
   * @param tokenMillis the estimated time per output token
   * @param fetch the prefix of the prompt that the endpoint fetches instead of prefilling it
   */
  record ToEndpoint(
      EndpointTracker endpoint,
      double expectedMillis,
      double tokenMillis,
      Optional<PrefixFetch> fetch)
      implements Placement {}

  /**
   * KV cache of a prompt prefix that one endpoint fetches from another.
   *
   * @param source the endpoint that caches it
   * @param tokens the number of tokens that the source caches beyond those that the fetching
   *     endpoint caches itself
   */
  record PrefixFetch(EndpointTracker source, long tokens) {}

  /**
   * The request is relayed to an entry, which places it at an endpoint of its region.
   *
   * @param region the entry's region, which is this region if its endpoints do not respond to this
   *     entry
   * @param expectedMillis the estimated time to the first byte of its response
   */
  record ToRegion(String region, double expectedMillis) implements Placement {}

  /**
   * The request is refused, because the wait would be too long or no endpoint can run it.
   *
   * @param reason the reason, for the log and the caller
   * @param retryAfter the delay after which the caller should retry
   * @param details the waits on which the decision is based, for the log
   */
  record Refused(Reason reason, Duration retryAfter, RefusalDetails details) implements Placement {}

  /**
   * The waits on which a refusal is based.
   *
   * @param localWaitMillis the wait at this region's endpoint with the lowest score, if it has a
   *     usable endpoint
   * @param remoteWaitMillis the wait in the other region with the lowest estimated response time,
   *     if one is usable
   * @param maxWaitMillis the longest wait with which the request would have been accepted
   * @param slots the number of requests that the service's endpoints of this region run
   *     concurrently
   * @param freeSlots how many of these slots are estimated to be free
   */
  record RefusalDetails(
      OptionalLong localWaitMillis,
      OptionalLong remoteWaitMillis,
      long maxWaitMillis,
      int slots,
      int freeSlots) {}

  /** The reason why a request is refused. */
  enum Reason {
    /**
     * No endpoint of this region and no other region is usable for the request, and no endpoint of
     * this region is limited by its rate limit or by a pause that it requested.
     */
    NO_ENDPOINT,
    /**
     * No endpoint of this region and no other region is usable for the request, and at least one
     * endpoint of this region is limited by its rate limit or by a pause that it requested.
     */
    PACED,
    /**
     * The wait exceeds what the caller's objective allows in every region that may run the request.
     */
    OVERLOADED
  }
}
