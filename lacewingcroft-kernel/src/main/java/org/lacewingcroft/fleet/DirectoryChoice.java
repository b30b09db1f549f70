package org.lacewingcroft.fleet;

import java.util.List;
import java.util.Set;

/**
 * Which entries a caller is sent to: those of its own region; if that has none that take callers,
 * as while the last of a small region restarts, those of regions that may run what it asks for, so
 * that its data leaves its region for no other; and any only if there is no such entry either.
 */
public final class DirectoryChoice {
  private DirectoryChoice() {}

  /**
   * Returns the public addresses to tell.
   *
   * @param ready the entries that take callers
   * @param region the caller's region
   * @param homes regions that may run every request to the host asked for; empty for any
   * @param most how many to tell at most
   */
  public static List<String> of(List<EntryInfo> ready, String region, Set<String> homes, int most) {
    List<EntryInfo> chosen = in(ready, Set.of(region));
    if (chosen.isEmpty()) {
      chosen = in(ready, homes);
    }
    if (chosen.isEmpty()) {
      chosen = ready;
    }
    return chosen.stream().map(EntryInfo::publicAddress).limit(most).toList();
  }

  private static List<EntryInfo> in(List<EntryInfo> entries, Set<String> regions) {
    return entries.stream().filter(e -> regions.contains(e.region())).toList();
  }
}
