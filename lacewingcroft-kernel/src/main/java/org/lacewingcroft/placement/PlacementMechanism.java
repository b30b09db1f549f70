package org.lacewingcroft.placement;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;

/**
 * A part of the placement that can be switched off by itself, so that what it is worth on a
 * deployment can be measured there.
 */
public enum PlacementMechanism {
  /** Endpoints fetch KV cache of shared prefixes from each other. */
  PREFIX_FETCH,
  /** The time that the whole answer takes counts, from the measured pace of tokens. */
  TOKEN_PACE,
  /** An entry that starts asks its region's endpoints which prefixes they hold. */
  PREFIX_LISTING,
  /** Endpoints that fell silent are avoided until one of them answers again. */
  SILENCE_MEMORY;

  /**
   * Reads names separated by commas; an empty text names none.
   *
   * @throws IllegalArgumentException if a name is not known; its message lists those that are
   */
  public static Set<PlacementMechanism> parse(String names) {
    Set<PlacementMechanism> named = EnumSet.noneOf(PlacementMechanism.class);
    for (String name : names.split(",")) {
      if (!name.isBlank()) {
        named.add(byName(name.trim()));
      }
    }
    return named;
  }

  private static PlacementMechanism byName(String name) {
    return Arrays.stream(values())
        .filter(m -> m.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "no mechanism '" + name + "'; name some of " + Arrays.toString(values())));
  }
}
