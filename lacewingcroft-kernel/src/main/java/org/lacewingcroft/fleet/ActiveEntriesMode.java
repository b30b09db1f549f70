package org.lacewingcroft.fleet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Whether the directory lists the active entries of a large region or all of its entries. */
public enum ActiveEntriesMode {
  /** The active entries, selected by load. */
  AUTO,
  /** All entries that accept requests. */
  ALL;

  /** Returns the mode of a name in lower case, or empty if there is none. */
  public static Optional<ActiveEntriesMode> parse(String name) {
    return Arrays.stream(values())
        .filter(mode -> mode.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst();
  }
}
