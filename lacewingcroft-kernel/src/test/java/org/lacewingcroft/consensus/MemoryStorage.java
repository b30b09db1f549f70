package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A {@link LogStorage} in memory; like a disk, it persists across restarts of the member that uses
 * it.
 */
final class MemoryStorage implements LogStorage {
  private HardState hardState;
  private Snapshot snapshot = Snapshot.EMPTY;
  private final List<LogEntry> entries = new ArrayList<>();

  MemoryStorage(String storageId, boolean voter) {
    this.hardState = new HardState(0, Optional.empty(), storageId, voter);
  }

  @Override
  public HardState hardState() {
    return hardState;
  }

  @Override
  public Snapshot snapshot() {
    return snapshot;
  }

  @Override
  public long snapshotSizeBytes() {
    return snapshot.state().routing().document().length();
  }

  @Override
  public long sizeBytes(long fromIndex, long toIndex) {
    int start = (int) (fromIndex - snapshot.lastIndex() - 1);
    int end = (int) (toIndex - snapshot.lastIndex() - 1);
    return entries.subList(start, end).stream().mapToLong(MemoryStorage::sizeBytes).sum();
  }

  static long sizeBytes(LogEntry entry) {
    return entry.command() instanceof Command.RoutingChange c ? c.document().length() : 1;
  }

  @Override
  public List<LogEntry> entries() {
    return List.copyOf(entries);
  }

  @Override
  public void save(HardState state) {
    hardState = state;
  }

  @Override
  public void append(List<LogEntry> newEntries) {
    entries.addAll(newEntries);
  }

  @Override
  public void truncateFrom(long index) {
    entries.removeIf(e -> e.index() >= index);
  }

  @Override
  public void compact(Snapshot newSnapshot, List<LogEntry> tail) {
    snapshot = newSnapshot;
    entries.clear();
    entries.addAll(tail);
  }
}
