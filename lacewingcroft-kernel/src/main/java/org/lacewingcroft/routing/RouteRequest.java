package org.lacewingcroft.routing;

import java.util.Set;

/**
 * What the router needs to know of one caller request.
 *
 * @param organisation the caller's organisation (tenant)
 * @param model the requested model, or the service name for plain services
 * @param priority the request priority, such as {@code normal}
 * @param residency the regions where it may be served; empty means any region
 * @param forwarded true if another region's gateway already forwarded it here
 * @param excludedEndpoints endpoints (by id) and regions that have failed this request or are
 *     failing now
 * @param promptChars the prompt's length in characters, which reading it without a cache costs
 * @param affinityKey a key for prefix-cache affinity, such as a hash of the prompt's prefix
 */
public record RouteRequest(
    String organisation,
    String model,
    String priority,
    Set<String> residency,
    boolean forwarded,
    Set<String> excludedEndpoints,
    int promptChars,
    String affinityKey) {

  /** Copies the residency so the record is immutable. */
  public RouteRequest {
    residency = Set.copyOf(residency);
    excludedEndpoints = Set.copyOf(excludedEndpoints);
  }

  /** Returns whether the residency allows serving in this region. */
  public boolean allowsRegion(String region) {
    return residency.isEmpty() || residency.contains(region);
  }
}
