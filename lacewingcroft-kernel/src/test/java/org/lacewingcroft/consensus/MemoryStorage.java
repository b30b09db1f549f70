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
