package org.lacewingcroft.placement;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;

/**
 * A part of the placement that can be disabled on its own, so that its effect can be measured in a
 * deployment.
 */
public enum PlacementMechanism {
  /** Endpoints fetch KV cache of shared prefixes from each other. */
  PREFIX_FETCH,
  /** Estimates cover the whole response, using the measured time per output token. */
  TOKEN_PACE,
  /** A starting entry requests the lists of cached prefixes from its region's endpoints. */
  PREFIX_LISTING,
  /**
   * Endpoints that were unresponsive when a request ended are avoided for a backoff time, or until
   * they send a byte if that is earlier.
   */
  SILENCE_MEMORY,
  /** While a service is saturated, its capacity is shared between organisations. */
  FAIR_SHARES;

  /**
   * Parses a comma-separated list of names; an empty text is an empty list.
   *
   * @throws IllegalArgumentException if a name is unknown; its message lists the valid names
   */
  public static Set<PlacementMechanism> parse(String names) {
    Set<PlacementMechanism> mechanisms = EnumSet.noneOf(PlacementMechanism.class);
    for (String name : names.split(",")) {
      if (!name.isBlank()) {
        mechanisms.add(byName(name.trim()));
      }
    }
    return mechanisms;
  }

  private static PlacementMechanism byName(String name) {
    return Arrays.stream(values())
        .filter(m -> m.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "unknown mechanism '" + name + "'; valid names: " + Arrays.toString(values())));
  }
}
