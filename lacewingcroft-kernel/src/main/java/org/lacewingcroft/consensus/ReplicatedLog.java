package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One member's log, held in memory and backed by its {@link LogStorage}: the snapshot, the entries
 * after it and the commit index. Every change is written to the storage before it becomes visible
 * here.
 */
final class ReplicatedLog {
  private final LogStorage storage;
  private final List<LogEntry> tail;
  private Snapshot snapshot;
  private ConfigState state;
  private long commitIndex;
  private Set<String> members = Set.of();

  ReplicatedLog(LogStorage storage) {
    this.storage = storage;
    this.snapshot = storage.snapshot();
    this.tail = new ArrayList<>(storage.entries());
    this.state = snapshot.state();
    this.commitIndex = snapshot.lastIndex();
    refreshMembers();
  }

  long firstIndex() {
    return snapshot.lastIndex() + 1;
  }

  long lastIndex() {
    return snapshot.lastIndex() + tail.size();
  }

  long lastTerm() {
    return tail.isEmpty() ? snapshot.lastTerm() : tail.get(tail.size() - 1).term();
  }

  /** Returns the configuration version after the last entry, committed or not. */
  long lastVersion() {
    return tail.isEmpty() ? snapshot.state().version() : tail.get(tail.size() - 1).version();
  }

  /**
   * Returns the members in the last group change, committed or not; empty if the log defines none.
   */
  Set<String> members() {
    return members;
  }

  /** Returns whether the log contains a group change that is not yet committed. */
  boolean hasPendingGroupChange() {
    for (long i = lastIndex(); i > commitIndex; i--) {
      if (entry(i).command() instanceof Command.GroupChange) {
        return true;
      }
    }
    return false;
  }

  /** Returns the highest routing version in the log, committed or not. */
  long lastRoutingVersion() {
    long version = state.routing().version();
    for (long i = lastIndex(); i > commitIndex; i--) {
      if (entry(i).command() instanceof Command.RoutingChange c) {
        version = Math.max(version, c.version());
      }
    }
    return version;
  }

  private void refreshMembers() {
    for (int i = tail.size() - 1; i >= 0; i--) {
      if (tail.get(i).command() instanceof Command.GroupChange c) {
        members = c.members();
        return;
      }
    }
    members = snapshot.state().members();
  }

  long commitIndex() {
    return commitIndex;
  }

  /** Returns the state after the last committed entry. */
  ConfigState state() {
    return state;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /**
   * Returns the term of the entry at an index, which may be the last one of the snapshot; -1 if it
   * is before that or after the last entry.
   */
  long termAt(long index) {
    if (index == snapshot.lastIndex()) {
      return snapshot.lastTerm();
    }
    return index < firstIndex() || index > lastIndex() ? -1 : entry(index).term();
  }

  LogEntry entry(long index) {
    return tail.get((int) (index - firstIndex()));
  }

  private List<LogEntry> entriesFrom(long index) {
    return List.copyOf(tail.subList((int) (index - firstIndex()), tail.size()));
  }

  /**
   * Returns the entries starting at an index that fit into one message; at least one, unless the
   * index is after the last entry.
   */
  List<LogEntry> batchFrom(long index, LogLimits limits) {
    long end = index;
    while (end <= lastIndex()
        && end - index < limits.maxBatchEntries()
        && (end == index || storage.sizeBytes(index, end + 1) <= limits.maxBatchBytes())) {
      end++;
    }
    int start = (int) (index - firstIndex());
    return List.copyOf(tail.subList(start, start + (int) (end - index)));
  }

  /** Returns the encoded size of the uncommitted entries, in bytes. */
  long uncommittedBytes() {
    return storage.sizeBytes(commitIndex + 1, lastIndex() + 1);
  }

  /** Returns the encoded size of a number of entries starting at an index, in bytes. */
  long sizeBytes(long index, int count) {
    return storage.sizeBytes(index, index + count);
  }

  /**
   * Returns whether a candidate's log, whose last entry has this term and index, is at least as up
   * to date as this log.
   */
  boolean isCandidateUpToDate(long otherLastTerm, long otherLastIndex) {
    return otherLastTerm > lastTerm()
        || otherLastTerm == lastTerm() && otherLastIndex >= lastIndex();
  }

  /** Returns the index of the uncommitted entry with this change id, or 0 if there is none. */
  long uncommittedIndexOf(String changeId) {
    for (long i = commitIndex + 1; i <= lastIndex(); i++) {
      if (entry(i).command() instanceof Command.Change c && c.changeId().equals(changeId)) {
        return i;
      }
    }
    return 0;
  }

  /** Returns the data folder last registered for a member, committed or not. */
  Optional<String> lastRegistrationOf(String memberId) {
    for (long i = lastIndex(); i > commitIndex; i--) {
      if (entry(i).command() instanceof Command.StorageRegistration r
          && r.memberId().equals(memberId)) {
        return Optional.of(r.storageId());
      }
    }
    return Optional.ofNullable(state.storageIdByMember().get(memberId));
  }

  /** Appends one entry on the leader and returns it. */
  LogEntry append(long term, Command command) {
    long version = lastVersion() + (command instanceof Command.Change ? 1 : 0);
    LogEntry entry = new LogEntry(lastIndex() + 1, term, version, command);
    storage.append(List.of(entry));
    tail.add(entry);
    refreshMembers();
    return entry;
  }

  /**
   * Merges a leader's entries: skips those already present, truncates a conflicting suffix and
   * appends the rest.
   */
  void merge(List<LogEntry> entries) {
    List<LogEntry> newEntries = new ArrayList<>();
    for (LogEntry e : entries) {
      if (e.index() < firstIndex() || newEntries.isEmpty() && termAt(e.index()) == e.term()) {
        continue;
      }
      if (newEntries.isEmpty() && e.index() <= lastIndex()) {
        truncateFrom(e.index());
      }
      newEntries.add(e);
    }
    if (!newEntries.isEmpty()) {
      storage.append(newEntries);
      tail.addAll(newEntries);
      refreshMembers();
    }
  }

  private void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException("entry " + index + " is committed and cannot be replaced");
    }
    storage.truncateFrom(index);
    tail.subList((int) (index - firstIndex()), tail.size()).clear();
  }

  /**
   * Advances the commit index to the given index, at most to the last entry, and returns the newly
   * committed entries.
   */
  List<LogEntry> commitUpTo(long index) {
    List<LogEntry> committed = new ArrayList<>();
    while (commitIndex < Math.min(index, lastIndex())) {
      commitIndex++;
      LogEntry entry = entry(commitIndex);
      state = state.apply(entry);
      committed.add(entry);
    }
    return committed;
  }

  /**
   * Installs a leader's snapshot if it is ahead of the commit index; keeps the entries after it if
   * the log matches it.
   */
  void installSnapshot(Snapshot newSnapshot) {
    if (newSnapshot.lastIndex() <= commitIndex) {
      return;
    }
    List<LogEntry> remaining =
        termAt(newSnapshot.lastIndex()) == newSnapshot.lastTerm()
            ? entriesFrom(newSnapshot.lastIndex() + 1)
            : List.of();
    replacePrefix(newSnapshot, remaining);
    state = newSnapshot.state();
    commitIndex = newSnapshot.lastIndex();
  }

  /**
   * Replaces the committed prefix with a snapshot if it is not empty and the log exceeds a limit.
   */
  void compactIfLong(LogLimits limits) {
    boolean isLong =
        tail.size() >= limits.compactAfterEntries()
            || storage.sizeBytes(firstIndex(), commitIndex + 1) >= limits.compactAfterBytes();
    if (!isLong || commitIndex < firstIndex()) {
      return;
    }
    Snapshot newSnapshot = new Snapshot(commitIndex, termAt(commitIndex), state);
    replacePrefix(newSnapshot, entriesFrom(commitIndex + 1));
  }

  private void replacePrefix(Snapshot newSnapshot, List<LogEntry> remaining) {
    storage.compact(newSnapshot, remaining);
    snapshot = newSnapshot;
    tail.clear();
    tail.addAll(remaining);
    refreshMembers();
  }
}
