package org.lacewingcroft.consensus;

/**
 * The state after a committed prefix of the log, which replaces that prefix on disk.
 *
 * @param lastIndex the last entry it covers; 0 for the empty snapshot
 * @param lastTerm that entry's term
 * @param state the state after that entry
 */
public record Snapshot(long lastIndex, long lastTerm, ConfigState state) {
  /** The state before the first entry. */
  public static final Snapshot EMPTY = new Snapshot(0, 0, ConfigState.EMPTY);
}
