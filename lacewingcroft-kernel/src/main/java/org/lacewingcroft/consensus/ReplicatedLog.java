package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One member's log in memory over its {@link LogStorage}: the snapshot, the entries behind it and
 * the commit index. Every change reaches the storage before it is visible here.
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

  /** Returns the members the log names last, committed or not; empty if it names none. */
  Set<String> members() {
    return members;
  }

  /** Returns whether a change of the members is held that is not yet committed. */
  boolean groupChangePending() {
    for (long i = lastIndex(); i > commitIndex; i--) {
      if (entry(i).command() instanceof Command.GroupChange) {
        return true;
      }
    }
    return false;
  }

  /** Returns the routing version after the last entry, committed or not. */
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

  /** Returns the state after the committed entries. */
  ConfigState state() {
    return state;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the term at an index from the snapshot's last on, or -1 where nothing is held. */
  long termAt(long index) {
    if (index == snapshot.lastIndex()) {
      return snapshot.lastTerm();
    }
    return index < firstIndex() || index > lastIndex() ? -1 : entry(index).term();
  }

  LogEntry entry(long index) {
    return tail.get((int) (index - firstIndex()));
  }

  /** Returns up to {@code limit} entries from an index on. */
  List<LogEntry> from(long index, int limit) {
    int start = (int) (index - firstIndex());
    return List.copyOf(tail.subList(start, Math.min(tail.size(), start + limit)));
  }

  /** Returns whether a log ending with this term and index is at least as complete as ours. */
  boolean coveredBy(long otherTerm, long otherIndex) {
    return otherTerm > lastTerm() || otherTerm == lastTerm() && otherIndex >= lastIndex();
  }

  /** Returns the index of a change that is in the log but not yet committed, or 0. */
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

  /** Appends one entry of the leader's own and returns it. */
  LogEntry append(long term, Command command) {
    long version = lastVersion() + (command instanceof Command.Change ? 1 : 0);
    LogEntry entry = new LogEntry(lastIndex() + 1, term, version, command);
    storage.append(List.of(entry));
    tail.add(entry);
    refreshMembers();
    return entry;
  }

  /** Takes a leader's entries: skips those held, cuts a conflicting suffix, appends the rest. */
  void merge(List<LogEntry> entries) {
    List<LogEntry> fresh = new ArrayList<>();
    for (LogEntry e : entries) {
      if (e.index() < firstIndex() || fresh.isEmpty() && termAt(e.index()) == e.term()) {
        continue;
      }
      if (fresh.isEmpty() && e.index() <= lastIndex()) {
        truncateFrom(e.index());
      }
      fresh.add(e);
    }
    if (!fresh.isEmpty()) {
      storage.append(fresh);
      tail.addAll(fresh);
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

  /** Commits up to an index (at most the last one held) and returns the entries it commits. */
  List<LogEntry> commitTo(long index) {
    List<LogEntry> committed = new ArrayList<>();
    while (commitIndex < Math.min(index, lastIndex())) {
      commitIndex++;
      LogEntry entry = entry(commitIndex);
      state = state.apply(entry);
      committed.add(entry);
    }
    return committed;
  }

  /** Replaces everything by a leader's snapshot, if it is ahead of what is committed here. */
  void install(Snapshot newer) {
    if (newer.lastIndex() <= commitIndex) {
      return;
    }
    List<LogEntry> kept =
        termAt(newer.lastIndex()) == newer.lastTerm()
            ? from(newer.lastIndex() + 1, Integer.MAX_VALUE / 2)
            : List.of();
    replacePrefix(newer, kept);
    state = newer.state();
    commitIndex = newer.lastIndex();
  }

  /** Compacts the committed prefix once the entries held reach the limit. */
  void compactOver(int limit) {
    if (tail.size() < limit || commitIndex < firstIndex()) {
      return;
    }
    Snapshot covering = new Snapshot(commitIndex, termAt(commitIndex), state);
    replacePrefix(covering, from(commitIndex + 1, Integer.MAX_VALUE / 2));
  }

  private void replacePrefix(Snapshot newer, List<LogEntry> kept) {
    storage.compact(newer, kept);
    snapshot = newer;
    tail.clear();
    tail.addAll(kept);
    refreshMembers();
  }
}
