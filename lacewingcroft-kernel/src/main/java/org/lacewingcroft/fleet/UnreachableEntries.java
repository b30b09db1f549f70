package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks entries to which connecting has recently failed. Designed for the case that an entry of
 * another region is unresponsive: each request relayed to it would wait for the whole connect
 * timeout before it goes elsewhere. With this class, only the first one does.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class UnreachableEntries {
  /**
   * How long an entry is avoided, about as long as the directory takes to drop an unresponsive one.
   */
  private static final Duration BACKOFF = Duration.ofSeconds(2);

  private final Map<String, Instant> failedAt = new HashMap<>();

  /** Records that connecting to an entry failed. */
  public void recordFailure(EntryInfo entry, Instant now) {
    failedAt.values().removeIf(at -> !at.plus(BACKOFF).isAfter(now));
    failedAt.put(entry.name(), now);
  }

  /**
   * Returns the entries to which connecting has not failed recently, or all entries if it has
   * failed for each.
   */
  public List<EntryInfo> preferReachable(List<EntryInfo> entries, Instant now) {
    List<EntryInfo> reachable = entries.stream().filter(e -> !failedRecently(e, now)).toList();
    return reachable.isEmpty() ? entries : reachable;
  }

  /** Returns whether connecting has recently failed for each of these entries. */
  public boolean allUnreachable(List<EntryInfo> entries, Instant now) {
    return entries.stream().allMatch(e -> failedRecently(e, now));
  }

  private boolean failedRecently(EntryInfo entry, Instant now) {
    return failedAt.getOrDefault(entry.name(), Instant.EPOCH).plus(BACKOFF).isAfter(now);
  }
}
