package org.lacewingcroft.placement;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/** Where a request goes. */
public sealed interface Placement {
  /** Returns a short word for where the request goes, for metrics. */
  default String where() {
    if (this instanceof Refused refused) {
      return refused.reason().name().toLowerCase(Locale.ROOT);
    }
    return this instanceof ToEndpoint ? "here" : "elsewhere";
  }

  /**
   * To an endpoint of this region.
   *
   * @param endpoint the endpoint
   * @param expectedMillis the expected time to the first byte of its answer
   * @param tokenMillis how long each token after it takes there
   * @param fetch the part of the prompt that it shall fetch instead of reading it
   */
  record ToEndpoint(
      EndpointTracker endpoint,
      double expectedMillis,
      double tokenMillis,
      Optional<PrefixFetch> fetch)
      implements Placement {}

  /**
   * KV cache of a prompt's beginning that one endpoint fetches from another.
   *
   * @param source the endpoint that holds it
   * @param tokens how many tokens it holds beyond what the fetching endpoint holds itself
   */
  record PrefixFetch(EndpointTracker source, long tokens) {}

  /**
   * To an entry of another region, which places it there.
   *
   * @param region the region
   * @param expectedMillis the expected wait there
   */
  record ToRegion(String region, double expectedMillis) implements Placement {}

  /**
   * Nowhere: it would wait too long, or nothing can run it.
   *
   * @param reason why, for the log and the caller
   * @param retryAfter when it is worth coming back
   * @param evidence what decided it, for the log
   */
  record Refused(Reason reason, Duration retryAfter, RefusalDetails evidence)
      implements Placement {}

  /**
   * The waits that a refusal went by.
   *
   * @param localWaitMillis the shortest wait in this region, if an endpoint here was usable
   * @param remoteWaitMillis the shortest wait told by another region that may run it
   * @param maxWaitMillis the longest wait with which the request would have been taken
   */
  record RefusalDetails(
      OptionalLong localWaitMillis, OptionalLong remoteWaitMillis, long maxWaitMillis) {}

  /** Why a request is refused. */
  enum Reason {
    /** No endpoint that may run it is known or usable. */
    NO_ENDPOINT,
    /** Every endpoint that may run it has had its rate of requests or asked for a pause. */
    PACED,
    /** Wherever it may run, the wait is longer than the caller's objective. */
    OVERLOADED
  }
}
