package org.lacewingcroft.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingcroft.config.ConfigDocument;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes log entries, snapshots, hard states and consensus messages in MessagePack, in the same
 * form on disk and between daemons: fields in record order, with a type tag before each sealed
 * type.
 */
public final class ConsensusCodec {
  private static final int NOOP = 0;
  private static final int CONFIG_CHANGE = 1;
  private static final int STORAGE_REGISTRATION = 2;
  private static final int PATCH_CHANGE = 3;
  private static final int ROUTING_CHANGE = 4;
  private static final int EVACUATION_CHANGE = 5;
  private static final int GROUP_CHANGE = 6;

  private static final int VOTE_REQUEST = 1;
  private static final int VOTE_RESPONSE = 2;
  private static final int APPEND_REQUEST = 3;
  private static final int APPEND_RESPONSE = 4;
  private static final int SNAPSHOT_REQUEST = 5;

  private ConsensusCodec() {}

  /** Packs an entry. */
  public static void packEntry(MessagePacker p, LogEntry e) throws IOException {
    p.packLong(e.index()).packLong(e.term()).packLong(e.version());
    if (e.command() instanceof Command.ConfigChange c) {
      p.packInt(CONFIG_CHANGE).packString(c.changeId()).packString(c.document());
    } else if (e.command() instanceof Command.PatchChange c) {
      p.packInt(PATCH_CHANGE).packString(c.changeId()).packString(c.patch());
    } else if (e.command() instanceof Command.StorageRegistration r) {
      p.packInt(STORAGE_REGISTRATION).packString(r.memberId()).packString(r.storageId());
    } else if (e.command() instanceof Command.RoutingChange c) {
      p.packInt(ROUTING_CHANGE).packLong(c.version()).packString(c.document());
    } else if (e.command() instanceof Command.EvacuationChange c) {
      p.packInt(EVACUATION_CHANGE).packString(c.failureDomain());
      p.packBoolean(c.active()).packLong(c.baseRevision());
    } else if (e.command() instanceof Command.GroupChange c) {
      p.packInt(GROUP_CHANGE);
      packStringSet(p, c.members());
    } else {
      p.packInt(NOOP);
    }
  }

  private static void packLongMap(MessagePacker p, Map<String, Long> values) throws IOException {
    p.packMapHeader(values.size());
    for (Map.Entry<String, Long> entry : values.entrySet()) {
      p.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  private static Map<String, Long> unpackLongMap(MessageUnpacker u) throws IOException {
    Map<String, Long> values = new LinkedHashMap<>();
    for (int remaining = u.unpackMapHeader(); remaining > 0; remaining--) {
      values.put(u.unpackString(), u.unpackLong());
    }
    return values;
  }

  private static void packStringSet(MessagePacker p, Set<String> values) throws IOException {
    p.packArrayHeader(values.size());
    for (String value : values) {
      p.packString(value);
    }
  }

  private static Set<String> unpackStringSet(MessageUnpacker u) throws IOException {
    Set<String> values = new HashSet<>();
    for (int remaining = u.unpackArrayHeader(); remaining > 0; remaining--) {
      values.add(u.unpackString());
    }
    return values;
  }

  /** Unpacks an entry. */
  public static LogEntry unpackEntry(MessageUnpacker u) throws IOException {
    long index = u.unpackLong();
    long term = u.unpackLong();
    long version = u.unpackLong();
    return new LogEntry(index, term, version, unpackCommand(u));
  }

  private static Command unpackCommand(MessageUnpacker u) throws IOException {
    int type = u.unpackInt();
    return switch (type) {
      case NOOP -> new Command.Noop();
      case CONFIG_CHANGE -> new Command.ConfigChange(u.unpackString(), u.unpackString());
      case PATCH_CHANGE -> new Command.PatchChange(u.unpackString(), u.unpackString());
      case STORAGE_REGISTRATION ->
          new Command.StorageRegistration(u.unpackString(), u.unpackString());
      case ROUTING_CHANGE -> new Command.RoutingChange(u.unpackLong(), u.unpackString());
      case EVACUATION_CHANGE ->
          new Command.EvacuationChange(u.unpackString(), u.unpackBoolean(), u.unpackLong());
      case GROUP_CHANGE -> new Command.GroupChange(unpackStringSet(u));
      default -> throw new IOException("unknown command type " + type);
    };
  }

  /** Packs a snapshot. */
  public static void packSnapshot(MessagePacker p, Snapshot s) throws IOException {
    p.packLong(s.lastIndex()).packLong(s.lastTerm());
    p.packLong(s.state().version()).packString(s.state().document().text());
    packLongMap(p, s.state().versionByChangeId());
    p.packMapHeader(s.state().storageIdByMember().size());
    for (Map.Entry<String, String> e : s.state().storageIdByMember().entrySet()) {
      p.packString(e.getKey()).packString(e.getValue());
    }
    RoutingState routing = s.state().routing();
    p.packLong(routing.revision()).packLong(routing.version()).packString(routing.document());
    packStringSet(p, routing.evacuatedDomains());
    packLongMap(p, routing.evacuationChangedAt());
    packStringSet(p, s.state().members());
  }

  /** Unpacks a snapshot. */
  public static Snapshot unpackSnapshot(MessageUnpacker u) throws IOException {
    final long lastIndex = u.unpackLong();
    final long lastTerm = u.unpackLong();
    final long version = u.unpackLong();
    final String document = u.unpackString();
    final Map<String, Long> changeIds = unpackLongMap(u);
    Map<String, String> storages = new LinkedHashMap<>();
    for (int remaining = u.unpackMapHeader(); remaining > 0; remaining--) {
      storages.put(u.unpackString(), u.unpackString());
    }
    RoutingState routing =
        new RoutingState(
            u.unpackLong(), u.unpackLong(), u.unpackString(), unpackStringSet(u), unpackLongMap(u));
    return new Snapshot(
        lastIndex,
        lastTerm,
        new ConfigState(
            version,
            new ConfigDocument(document),
            changeIds,
            storages,
            routing,
            unpackStringSet(u)));
  }

  /** Packs a hard state. */
  public static void packHardState(MessagePacker p, HardState s) throws IOException {
    p.packLong(s.term()).packString(s.votedFor().orElse(""));
    p.packString(s.storageId()).packBoolean(s.voter());
  }

  /** Unpacks a hard state. */
  public static HardState unpackHardState(MessageUnpacker u) throws IOException {
    long term = u.unpackLong();
    Optional<String> votedFor = Optional.of(u.unpackString()).filter(v -> !v.isEmpty());
    return new HardState(term, votedFor, u.unpackString(), u.unpackBoolean());
  }

  private static void packOptionalLong(MessagePacker p, OptionalLong value) throws IOException {
    if (value.isPresent()) {
      p.packLong(value.getAsLong());
    } else {
      p.packNil();
    }
  }

  /** Unpacks an optional number at the end of a message; older builds do not send it. */
  private static OptionalLong unpackOptionalLong(MessageUnpacker u) throws IOException {
    return !u.hasNext() || u.tryUnpackNil()
        ? OptionalLong.empty()
        : OptionalLong.of(u.unpackLong());
  }

  /** Packs a message. */
  public static void packMessage(MessagePacker p, ConsensusMessage message) throws IOException {
    if (message instanceof ConsensusMessage.VoteRequest m) {
      p.packInt(VOTE_REQUEST).packLong(m.term()).packLong(m.lastIndex()).packLong(m.lastTerm());
      p.packBoolean(m.preVote());
    } else if (message instanceof ConsensusMessage.VoteResponse m) {
      p.packInt(VOTE_RESPONSE).packLong(m.term()).packBoolean(m.granted());
      p.packBoolean(m.preVote());
    } else if (message instanceof ConsensusMessage.AppendRequest m) {
      p.packInt(APPEND_REQUEST).packLong(m.term());
      p.packLong(m.previousIndex()).packLong(m.previousTerm()).packLong(m.commitIndex());
      p.packLong(m.echoedSession());
      p.packArrayHeader(m.entries().size());
      for (LogEntry e : m.entries()) {
        packEntry(p, e);
      }
      packOptionalLong(p, m.sentAtMillis());
      packOptionalLong(p, m.currentAtMillis());
    } else if (message instanceof ConsensusMessage.AppendResponse m) {
      p.packInt(APPEND_RESPONSE).packLong(m.term()).packBoolean(m.accepted());
      p.packLong(m.matchIndex()).packString(m.storageId()).packBoolean(m.voter());
      p.packLong(m.session());
      packOptionalLong(p, m.requestSentAtMillis());
      packOptionalLong(p, m.sentAtMillis());
    } else if (message instanceof ConsensusMessage.SnapshotRequest m) {
      p.packInt(SNAPSHOT_REQUEST).packLong(m.term());
      packSnapshot(p, m.snapshot());
    }
  }

  /** Unpacks a message. */
  public static ConsensusMessage unpackMessage(MessageUnpacker u) throws IOException {
    int type = u.unpackInt();
    long term = u.unpackLong();
    return switch (type) {
      case VOTE_REQUEST ->
          new ConsensusMessage.VoteRequest(term, u.unpackLong(), u.unpackLong(), u.unpackBoolean());
      case VOTE_RESPONSE ->
          new ConsensusMessage.VoteResponse(term, u.unpackBoolean(), u.unpackBoolean());
      case APPEND_REQUEST -> {
        long previousIndex = u.unpackLong();
        long previousTerm = u.unpackLong();
        long commitIndex = u.unpackLong();
        long echoedSession = u.unpackLong();
        List<LogEntry> entries = new ArrayList<>();
        for (int remaining = u.unpackArrayHeader(); remaining > 0; remaining--) {
          entries.add(unpackEntry(u));
        }
        yield new ConsensusMessage.AppendRequest(
            term,
            previousIndex,
            previousTerm,
            entries,
            commitIndex,
            echoedSession,
            unpackOptionalLong(u),
            unpackOptionalLong(u));
      }
      case APPEND_RESPONSE ->
          new ConsensusMessage.AppendResponse(
              term,
              u.unpackBoolean(),
              u.unpackLong(),
              u.unpackString(),
              u.unpackBoolean(),
              u.unpackLong(),
              unpackOptionalLong(u),
              unpackOptionalLong(u));
      case SNAPSHOT_REQUEST -> new ConsensusMessage.SnapshotRequest(term, unpackSnapshot(u));
      default -> throw new IOException("unknown consensus message type " + type);
    };
  }
}
