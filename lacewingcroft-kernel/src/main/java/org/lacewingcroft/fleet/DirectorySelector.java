package org.lacewingcroft.fleet;

import java.util.List;
import java.util.Set;

/**
 * Selects the entries that a caller is directed to: those of the caller's region; if none of them
 * accepts requests, for example while the only entry of a small region restarts, those of the
 * regions that may run the request, so that its data enters no other region; and entries of any
 * region only if there are none of those either.
 */
public final class DirectorySelector {
  private DirectorySelector() {}

  /**
   * Returns the public addresses to return to the caller.
   *
   * @param ready the entries that accept requests
   * @param region the caller's region
   * @param homeRegions regions that may run every request to the requested host; empty for any
   * @param limit maximum number of addresses
   */
  public static List<String> select(
      List<EntryInfo> ready, String region, Set<String> homeRegions, int limit) {
    List<EntryInfo> selected = inRegions(ready, Set.of(region));
    if (selected.isEmpty()) {
      selected = inRegions(ready, homeRegions);
    }
    if (selected.isEmpty()) {
      selected = ready;
    }
    return selected.stream().map(EntryInfo::publicAddress).limit(limit).toList();
  }

  private static List<EntryInfo> inRegions(List<EntryInfo> entries, Set<String> regions) {
    return entries.stream().filter(e -> regions.contains(e.region())).toList();
  }
}
