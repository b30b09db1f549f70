package org.lacewingcroft.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The services that requests of one host and path prefix are sent to, and how they are handled.
 *
 * @param name the route's name, used in logs
 * @param host the host, in lower case without port
 * @param pathPrefix the prefix, beginning and ending with a slash
 * @param kind whether requests may run more than once
 * @param timeout the maximum time until the response to a request is complete
 * @param latencyObjective the target time until the response, for a stream until its first event
 * @param priority the priority of its requests, 0 the most urgent
 * @param shares the services that may serve its requests, with their weights
 * @param maxAttempts the maximum number of endpoints that one request may be run on
 * @param resumable whether a stream that has sent an event may be resumed at another endpoint
 * @param eventGapObjective the target maximum time between two events of a stream; empty for none
 * @param homeRegions the regions that may run its requests; empty for any
 * @param authExempt whether callers need no API key
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

  /** Copies the collections so that the record is immutable. */
  public Route {
    shares = List.copyOf(shares);
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Returns whether a request may run more than once. */
  public boolean idempotent() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /** Returns whether the route's requests may run in the region. */
  public boolean allowsRegion(String region) {
    return homeRegions.isEmpty() || homeRegions.contains(region);
  }

  /**
   * Returns a service drawn at random by weight.
   *
   * @param point a random number, uniformly distributed from 0 (inclusive) to 1 (exclusive)
   */
  public String pickService(double point) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    double remaining = point * total;
    for (ServiceShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
