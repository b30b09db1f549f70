package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks entries to which connecting has recently failed. Designed for the case that an entry of another region is unresponsive: each request relayed to it would wait for the whole connect timeout before it goes elsewhere. With this class, only the first one does.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class UnreachableEntries {
  /** How long an entry is avoided, about as long as the directory takes to drop an unresponsive one. */
  private static final Duration AVOIDED = Duration.ofSeconds(2);

  private final Map<String, Instant> failedAt = new HashMap<>();

  /** Records that connecting to an entry failed. */
  public void failed(EntryInfo entry, Instant now) {
    failedAt.values().removeIf(at -> !at.plus(AVOIDED).isAfter(now));
    failedAt.put(entry.name(), now);
  }

  /** Returns the entries to which connecting has not failed recently, or all entries if it has failed for each. */
  public List<EntryInfo> prefer(List<EntryInfo> entries, Instant now) {
    List<EntryInfo> sound = entries.stream().filter(e -> !failedLately(e, now)).toList();
    return sound.isEmpty() ? entries : sound;
  }

  /** Returns whether connecting has recently failed for each of these entries. */
  public boolean allFailed(List<EntryInfo> entries, Instant now) {
    return entries.stream().allMatch(e -> failedLately(e, now));
  }

  private boolean failedLately(EntryInfo entry, Instant now) {
    return failedAt.getOrDefault(entry.name(), Instant.EPOCH).plus(AVOIDED).isAfter(now);
  }
}
