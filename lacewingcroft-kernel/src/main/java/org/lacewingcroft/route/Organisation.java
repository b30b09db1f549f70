package org.lacewingcroft.route;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers show a key.
 *
 * @param name its name, which endpoints are told
 * @param keys the keys of its callers
 * @param priority the rank of its requests, 0 the most urgent; empty for that of the route
 * @param quota how much its callers may ask for; empty for any amount
 * @param homeRegions the regions that may run its requests; empty for any
 */
public record Organisation(
    String name,
    Set<String> keys,
    OptionalInt priority,
    Optional<Quota> quota,
    Set<String> homeRegions) {
  /** Copies the sets so that the organisation is immutable. */
  public Organisation {
    keys = Set.copyOf(keys);
    homeRegions = Set.copyOf(homeRegions);
  }
}
