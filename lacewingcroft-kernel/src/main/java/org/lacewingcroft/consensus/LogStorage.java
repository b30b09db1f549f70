package org.lacewingcroft.consensus;

import java.util.List;

/**
 * The durable storage of one member's log. Every method that modifies it returns only after the
 * modification is on disk; a failure is thrown as {@link java.io.UncheckedIOException}, and the
 * member must then stop instead of acknowledging.
 */
public interface LogStorage {

  /** Returns the last saved hard state. */
  HardState hardState();

  /** Returns the latest snapshot, or {@link Snapshot#EMPTY} if there is none. */
  Snapshot snapshot();

  /** Returns the encoded size of the latest snapshot, in bytes. */
  long snapshotSizeBytes();

  /** Returns the entries after the snapshot, in order without gaps. */
  List<LogEntry> entries();

  /**
   * Returns the encoded size of the entries from one index up to but excluding another, in bytes.
   * Both are at least the index after the snapshot and at most the one after the last entry.
   */
  long sizeBytes(long fromIndex, long toIndex);

  /** Saves the hard state. */
  void save(HardState state);

  /** Appends entries after the last one. */
  void append(List<LogEntry> entries);

  /** Removes the entry at this index and all entries after it. */
  void truncateFrom(long index);

  /**
   * Replaces a prefix of the log with a snapshot.
   *
   * @param snapshot the snapshot
   * @param tail the entries after the snapshot to keep
   */
  void compact(Snapshot snapshot, List<LogEntry> tail);
}
