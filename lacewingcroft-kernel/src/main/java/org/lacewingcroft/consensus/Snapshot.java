package org.lacewingcroft.consensus;

/**
 * The state after a committed prefix of the log; it replaces that prefix on disk.
 *
 * @param lastIndex the index of the last entry that it covers; 0 for the empty snapshot
 * @param lastTerm the term of that entry
 * @param state the state after that entry
 */
public record Snapshot(long lastIndex, long lastTerm, ConfigState state) {
  /** The state before the first entry. */
  public static final Snapshot EMPTY = new Snapshot(0, 0, ConfigState.EMPTY);
}
