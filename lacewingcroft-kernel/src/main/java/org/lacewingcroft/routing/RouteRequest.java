package org.lacewingcroft.routing;

import java.util.Set;

/**
 * The properties of a caller request that determine its routing.
 *
 * @param organisation the caller's organisation (tenant)
 * @param model the requested model, or the service name for plain services
 * @param priority the request priority, such as {@code normal}
 * @param residency the regions that may serve it; empty for any region
 * @param forwarded whether an entry of another region forwarded it to this one
 * @param excludedTargets the endpoint ids and region names that failed for this request or are in
 *     backoff
 * @param promptChars the prompt's length in characters, which determines the cost of a cache miss
 * @param affinityKey a key for prefix-cache affinity, such as a hash of the prompt's prefix; empty
 *     for none
 */
public record RouteRequest(
    String organisation,
    String model,
    String priority,
    Set<String> residency,
    boolean forwarded,
    Set<String> excludedTargets,
    int promptChars,
    String affinityKey) {

  /** Copies the sets so that the record is immutable. */
  public RouteRequest {
    residency = Set.copyOf(residency);
    excludedTargets = Set.copyOf(excludedTargets);
  }

  /** Returns whether the request may be served in the region. */
  public boolean allowsRegion(String region) {
    return residency.isEmpty() || residency.contains(region);
  }
}
