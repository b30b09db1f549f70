package org.lacewingcroft.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Where the requests of one host and path prefix go, and how they may be treated.
 *
 * @param name the route's name, for logs
 * @param host the host, in lower case without port
 * @param pathPrefix the prefix, beginning and ending with a slash
 * @param kind what may be repeated
 * @param timeout the longest that a request may go without its final answer
 * @param latencyObjective the time to the answer, of a stream to its first event, that callers want
 * @param priority the rank of its requests, 0 the most urgent
 * @param shares the services that may serve it, with their weights
 * @param maxAttempts how many endpoints one request may be run on
 * @param resumable whether a stream may go on at another endpoint after an event
 * @param eventGapObjective the longest pause between two events that callers want, for streams
 * @param homeRegions the regions that may run its requests; empty for any
 * @param authExempt whether callers need no key of an organisation
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    Duration timeout,
    Duration latencyObjective,
    int priority,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean resumable,
    Optional<Duration> eventGapObjective,
    Set<String> homeRegions,
    boolean authExempt) {

  /** Copies the collections so the route is immutable. */
  public Route {
    shares = List.copyOf(shares);
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Returns whether a request may run more than once. */
  public boolean idempotent() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /** Returns whether the route's requests may run in a region. */
  public boolean allowsRegion(String region) {
    return homeRegions.isEmpty() || homeRegions.contains(region);
  }

  /**
   * Picks a service by weight.
   *
   * @param point a number drawn evenly from 0 (inclusive) to 1 (exclusive)
   */
  public String pickService(double point) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    double left = point * total;
    for (ServiceShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
