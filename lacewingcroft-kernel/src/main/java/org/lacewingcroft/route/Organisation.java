package org.lacewingcroft.route;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers authenticate with an API key.
 *
 * @param name its name, which is forwarded to endpoints
 * @param keys the API keys of its callers
 * @param priority the priority of its requests, 0 the most urgent; empty for the priority of the
 *     route
 * @param quota the limit on what its callers may request; empty for no limit
 * @param homeRegions the regions that may run its requests; empty for any
 */
public record Organisation(
    String name,
    Set<String> keys,
    OptionalInt priority,
    Optional<Quota> quota,
    Set<String> homeRegions) {
  /** Copies the sets so that the record is immutable. */
  public Organisation {
    keys = Set.copyOf(keys);
    homeRegions = Set.copyOf(homeRegions);
  }
}
