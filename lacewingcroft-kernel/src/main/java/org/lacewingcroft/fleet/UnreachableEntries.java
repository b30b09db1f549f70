package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Entries that could not be connected to lately. The load this answers: while an entry of another
 * region is silent, each request relayed to it waits for a connection's whole timeout before it
 * goes elsewhere; only the first one shall.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class UnreachableEntries {
  /** How long an entry is avoided: about as long as the directory takes to drop a silent one. */
  private static final Duration AVOIDED = Duration.ofSeconds(2);

  private final Map<String, Instant> failedAt = new HashMap<>();

  /** Notes that an entry could not be connected to. */
  public void failed(EntryInfo entry, Instant now) {
    failedAt.values().removeIf(at -> !at.plus(AVOIDED).isAfter(now));
    failedAt.put(entry.name(), now);
  }

  /** Returns the entries that did not fail lately, or all of them if each one did. */
  public List<EntryInfo> prefer(List<EntryInfo> entries, Instant now) {
    List<EntryInfo> sound = entries.stream().filter(e -> !failedLately(e, now)).toList();
    return sound.isEmpty() ? entries : sound;
  }

  /** Returns whether each of these entries failed lately. */
  public boolean allFailed(List<EntryInfo> entries, Instant now) {
    return entries.stream().allMatch(e -> failedLately(e, now));
  }

  private boolean failedLately(EntryInfo entry, Instant now) {
    return failedAt.getOrDefault(entry.name(), Instant.EPOCH).plus(AVOIDED).isAfter(now);
  }
}
