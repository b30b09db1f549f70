package org.lacewingcroft.consensus;

import java.util.List;

/**
 * The durable side of one member's log. Every method that changes something returns only once the
 * change is on disk; a failure is thrown as {@link java.io.UncheckedIOException} and the member
 * must then stop rather than acknowledge.
 */
public interface LogStorage {

  /** Returns the hard state as last saved. */
  HardState hardState();

  /** Returns the newest snapshot, {@link Snapshot#EMPTY} if there is none. */
  Snapshot snapshot();

  /** Returns the entries after the snapshot, in order without gaps. */
  List<LogEntry> entries();

  /** Saves the hard state. */
  void save(HardState state);

  /** Appends entries behind the last one. */
  void append(List<LogEntry> entries);

  /** Removes the entry at this index and all behind it. */
  void truncateFrom(long index);

  /**
   * Replaces the log's prefix by a snapshot.
   *
   * @param snapshot the snapshot
   * @param tail the entries to keep behind it
   */
  void compact(Snapshot snapshot, List<LogEntry> tail);
}
