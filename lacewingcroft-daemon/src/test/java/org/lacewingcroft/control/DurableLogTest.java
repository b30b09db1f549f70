package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.config.ConfigDocument;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConfigState;
import org.lacewingcroft.consensus.ConsensusCodec;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusTiming;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.LogLimits;
import org.lacewingcroft.consensus.LogStorage;
import org.lacewingcroft.consensus.Output;
import org.lacewingcroft.consensus.Snapshot;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class DurableLogTest {
  @TempDir Path dataDir;

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, index, new Command.ConfigChange("change-" + index, "doc"));
  }

  private static Snapshot snapshot(long lastIndex) {
    ConfigState state =
        new ConfigState(
            lastIndex,
            new ConfigDocument("doc"),
            Map.of("change-1", 1L),
            Map.of("control-2", "disk"));
    return new Snapshot(lastIndex, 1, state);
  }

  static Stream<Arguments> histories() {
    return Stream.of(
        history("nothing", log -> {}),
        history("entries", log -> log.append(List.of(entry(1, 1), entry(2, 1)))),
        history("vote", log -> log.save(log.hardState().withVote(7, Optional.of("control-2")))),
        history(
            "a suffix replaced",
            log -> {
              log.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
              log.truncateFrom(2);
              log.append(List.of(entry(2, 2)));
            }),
        history(
            "everything replaced",
            log -> {
              log.append(List.of(entry(1, 1)));
              log.truncateFrom(1);
              log.append(List.of(entry(1, 2)));
            }),
        history(
            "compacted, then a suffix replaced",
            log -> {
              log.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)));
              log.compact(snapshot(2), List.of(entry(3, 1), entry(4, 1)));
              log.truncateFrom(4);
              log.append(List.of(entry(4, 2), entry(5, 2)));
            }));
  }

  private static Arguments history(String name, Consumer<LogStorage> actions) {
    return Arguments.of(name, actions);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("histories")
  void restoresStateOnReopen(String name, Consumer<LogStorage> actions) throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      actions.accept(log);
      try (DurableLog reopened = DurableLog.open(dataDir, false)) {
        assertThat(reopened.hardState(), is(log.hardState()));
        assertThat(reopened.snapshot(), is(log.snapshot()));
        assertThat(reopened.entries(), is(log.entries()));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4, 7, 8, 9, 20})
  void truncatesTornTail(int tornBytes) throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(List.of(entry(1, 1), entry(2, 1)));
    }
    truncateLog(Files.size(dataDir.resolve(DurableLog.LOG_FILE)) - tornBytes);
    try (DurableLog reopened = DurableLog.open(dataDir, false)) {
      assertThat(reopened.entries(), is(List.of(entry(1, 1))));
      reopened.append(List.of(entry(2, 2)));
    }
    try (DurableLog reopenedAgain = DurableLog.open(dataDir, false)) {
      assertThat(reopenedAgain.entries(), is(List.of(entry(1, 1), entry(2, 2))));
    }
  }

  private static byte[] record(long index, long term) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      // Larger than a sector.
      Command command = new Command.ConfigChange("change-" + index, "x".repeat(1_500));
      ConsensusCodec.packEntry(packer, new LogEntry(index, term, index, command));
      return DurableFile.record(packer.toByteArray()).array();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] zeros(int count) {
    return new byte[count];
  }

  private static byte[] random(int count) {
    byte[] bytes = new byte[count];
    new Random(count).nextBytes(bytes);
    return bytes;
  }

  private static byte[] concat(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  private static byte[] withZeros(byte[] bytes, int from, int to) {
    byte[] copy = bytes.clone();
    Arrays.fill(copy, from, Math.min(to, copy.length), (byte) 0);
    return copy;
  }

  /** What writes that were not synced leave behind two synced entries after a loss of power. */
  static Stream<Arguments> tails() {
    byte[] record = record(3, 1);
    List<Arguments> rows = new ArrayList<>();
    for (int count : new int[] {1, 4, 7, 8, 9, 15, 16, 17, 511, 512, 513, 4_096, 70_000}) {
      rows.add(Arguments.of(count + " zeros", zeros(count)));
      rows.add(Arguments.of(count + " random bytes", random(count)));
    }
    for (int from = 0; from < record.length; from += 512) {
      rows.add(Arguments.of("sector missing at " + from, withZeros(record, from, from + 512)));
      rows.add(Arguments.of("torn at " + from, Arrays.copyOf(record, from + 256)));
      rows.add(
          Arguments.of(
              "sector missing at " + from + ", next record present",
              concat(withZeros(record, from, from + 512), record(4, 1))));
    }
    rows.add(Arguments.of("record missing", zeros(record.length)));
    rows.add(
        Arguments.of(
            "record missing, next record present", concat(zeros(record.length), record(4, 1))));
    rows.add(
        Arguments.of(
            "record missing, unknown record present", concat(zeros(record.length), undecodable())));
    rows.add(Arguments.of("first record again", record(1, 1)));
    rows.add(Arguments.of("record of a later index", record(4, 1)));
    rows.add(Arguments.of("record of an earlier term", record(3, 0)));
    return rows.stream();
  }

  /** Guards against a start that fails, or loses synced entries, because of an unsynced tail. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("tails")
  void cutsTailLeftByLossOfPower(String name, byte[] tail) throws IOException {
    List<LogEntry> synced = List.of(entry(1, 1), entry(2, 1));
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(synced);
    }
    Files.write(dataDir.resolve(DurableLog.LOG_FILE), tail, StandardOpenOption.APPEND);
    try (DurableLog reopened = DurableLog.open(dataDir, false)) {
      assertThat(reopened.entries(), is(synced));
      reopened.append(List.of(entry(3, 2)));
    }
    try (DurableLog reopenedAgain = DurableLog.open(dataDir, false)) {
      assertThat(reopenedAgain.entries(), is(List.of(entry(1, 1), entry(2, 1), entry(3, 2))));
    }
  }

  private static void appendOneByOne(LogStorage log, int count) {
    for (long index = 1; index <= count; index++) {
      log.append(List.of(entry(index, 1)));
    }
  }

  /** Logs with several records, of which the last was written after the others were synced. */
  static Stream<Arguments> syncedLogs() {
    return Stream.of(
        history("appended", log -> appendOneByOne(log, 4)),
        history(
            "appended in batches",
            log -> {
              log.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
              log.append(List.of(entry(4, 1)));
            }),
        history(
            "compacted",
            log -> {
              appendOneByOne(log, 4);
              log.compact(snapshot(1), List.of(entry(2, 1), entry(3, 1), entry(4, 1)));
            }),
        history(
            "compacted, then appended",
            log -> {
              appendOneByOne(log, 3);
              log.compact(snapshot(1), List.of(entry(2, 1), entry(3, 1)));
              log.append(List.of(entry(4, 1)));
            }),
        history(
            "truncated, then appended",
            log -> {
              appendOneByOne(log, 3);
              log.truncateFrom(3);
              log.append(List.of(entry(3, 2)));
              log.append(List.of(entry(4, 2)));
            }));
  }

  /** Guards against a voter that forgets synced entries because of damage in front of others. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("syncedLogs")
  void damageInFrontOfSyncedEntriesIsNoTail(String name, Consumer<LogStorage> actions)
      throws IOException {
    Path file = dataDir.resolve(DurableLog.LOG_FILE);
    long lastRecordOffset;
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      actions.accept(log);
      lastRecordOffset = Files.size(file) - log.sizeBytes(4, 5);
    }
    final byte[] intact = Files.readAllBytes(file);
    for (int damagedOffset = 0; damagedOffset < lastRecordOffset; damagedOffset++) {
      byte[] content = intact.clone();
      content[damagedOffset] ^= 0x55;
      Files.write(file, content);
      UnreadableStorageException thrown =
          assertThrows(UnreadableStorageException.class, () -> DurableLog.open(dataDir, false));
      assertThat(thrown.kind(), is(UnreadableStorageException.Kind.DAMAGED));
      assertThat(Files.readAllBytes(file), is(content));
    }
  }

  /** Guards against a data folder that a loss of power removes together with a member's vote. */
  @Test
  void namesOfNewFoldersAreSynced() throws IOException {
    List<Path> synced = new ArrayList<>();
    Path folder = dataDir.resolve("parent").resolve("folder");
    DurableLog.open(folder, true, (path, channel) -> synced.add(path)).close();
    assertThat(synced.subList(0, 2), is(List.of(dataDir, dataDir.resolve("parent"))));
  }

  private static byte[] undecodable() {
    return DurableFile.record(new byte[] {1, 1, 1, 99}).array();
  }

  static Stream<Arguments> unreadableFiles() {
    return Stream.of(
        Arguments.of("hard-state", zeros(0), UnreadableStorageException.Kind.DAMAGED),
        Arguments.of("hard-state", zeros(64), UnreadableStorageException.Kind.DAMAGED),
        Arguments.of("hard-state", undecodable(), UnreadableStorageException.Kind.UNKNOWN_FORMAT),
        Arguments.of("snapshot", zeros(0), UnreadableStorageException.Kind.DAMAGED),
        Arguments.of("snapshot", zeros(64), UnreadableStorageException.Kind.DAMAGED),
        Arguments.of("snapshot", random(64), UnreadableStorageException.Kind.DAMAGED),
        Arguments.of("snapshot", undecodable(), UnreadableStorageException.Kind.UNKNOWN_FORMAT),
        Arguments.of(
            "config.log",
            concat(record(3, 1), undecodable()),
            UnreadableStorageException.Kind.UNKNOWN_FORMAT),
        Arguments.of("config.log", record(4, 1), UnreadableStorageException.Kind.DAMAGED));
  }

  /** Guards against synced data that is forgotten without a word because it cannot be read. */
  @ParameterizedTest
  @MethodSource("unreadableFiles")
  void keepsUnreadableFiles(String file, byte[] content, UnreadableStorageException.Kind kind)
      throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
      log.compact(snapshot(2), List.of(entry(3, 1)));
    }
    Files.write(dataDir.resolve(file), content);
    UnreadableStorageException thrown =
        assertThrows(UnreadableStorageException.class, () -> DurableLog.open(dataDir, false));
    assertThat(thrown.kind(), is(kind));
    assertThat(Files.readAllBytes(dataDir.resolve(file)), is(content));
  }

  /** Guards against entries that a crash left in the log behind a snapshot that replaced them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void dropsEntriesThatReceivedSnapshotReplaces(long snapshotTerm) throws IOException {
    List<LogEntry> old = List.of(entry(1, 1), entry(2, 1), entry(3, 1));
    byte[] oldLog;
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(old);
      oldLog = Files.readAllBytes(dataDir.resolve(DurableLog.LOG_FILE));
      log.compact(new Snapshot(2, snapshotTerm, snapshot(2).state()), List.of());
    }
    Files.write(dataDir.resolve(DurableLog.LOG_FILE), oldLog);
    List<LogEntry> retained = snapshotTerm == 1 ? List.of(entry(3, 1)) : List.of();
    long next = 3 + retained.size();
    try (DurableLog reopened = DurableLog.open(dataDir, false)) {
      assertThat(reopened.entries(), is(retained));
      reopened.append(List.of(entry(next, 3)));
    }
    try (DurableLog reopenedAgain = DurableLog.open(dataDir, false)) {
      List<LogEntry> expected = new ArrayList<>(retained);
      expected.add(entry(next, 3));
      assertThat(reopenedAgain.entries(), is(expected));
    }
  }

  /** Guards against entries lost because the file still begins with ones that were replaced. */
  @Test
  void keepsEntriesBehindReplacedOnes() throws IOException {
    byte[] oldLog;
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(List.of(entry(1, 1), entry(2, 2), entry(3, 3)));
      oldLog = Files.readAllBytes(dataDir.resolve(DurableLog.LOG_FILE));
      log.compact(new Snapshot(2, 3, snapshot(2).state()), List.of());
    }
    Files.write(dataDir.resolve(DurableLog.LOG_FILE), oldLog);
    try (DurableLog reopened = DurableLog.open(dataDir, false)) {
      assertThat(reopened.entries(), is(List.of(entry(3, 3))));
    }
  }

  /** Guards against a file taken for none because the disk does not say whether it exists. */
  @ParameterizedTest
  @ValueSource(strings = {"hard-state", "snapshot", "config.log"})
  void fileOfUnknownExistenceIsNotTakenForNone(String name) throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(List.of(entry(1, 1)));
      log.compact(snapshot(1), List.of());
    }
    // The attributes of a link that points to itself cannot be read.
    Path file = dataDir.resolve(name);
    Files.delete(file);
    Files.createSymbolicLink(file, file);
    assertThrows(IOException.class, () -> DurableLog.open(dataDir, false));
    assertThat(Files.isSymbolicLink(file), is(true));
  }

  /** Guards against a voter that has forgotten its log because the file is gone. */
  @Test
  void missingLogIsDamage() throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.save(log.hardState().withVote(1, Optional.of("control-1")));
      log.append(List.of(entry(1, 1)));
    }
    Files.delete(dataDir.resolve(DurableLog.LOG_FILE));
    UnreadableStorageException thrown =
        assertThrows(UnreadableStorageException.class, () -> DurableLog.open(dataDir, false));
    assertThat(thrown.kind(), is(UnreadableStorageException.Kind.DAMAGED));
  }

  /** Guards against a member that votes again after its hard state was lost. */
  @Test
  void memberThatLostItsHardStateIsNoVoter() throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(List.of(entry(1, 1)));
    }
    Files.delete(dataDir.resolve("hard-state"));
    try (DurableLog reopened = DurableLog.open(dataDir, true)) {
      assertThat(reopened.hardState().voter(), is(false));
    }
  }

  /**
   * Guards against files that are set aside in two places, or a new vote, because setting them
   * aside was interrupted.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7})
  void completesInterruptedSettingAside(int interruptedSync) throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      log.append(List.of(entry(1, 1), entry(2, 1)));
      log.compact(snapshot(1), List.of(entry(2, 1)));
    }
    Files.write(dataDir.resolve("snapshot"), zeros(64));
    byte[] hardState = Files.readAllBytes(dataDir.resolve("hard-state"));
    int[] syncs = {0};
    assertThrows(
        IOException.class,
        () ->
            DurableLog.setAside(
                dataDir,
                (path, channel) -> {
                  syncs[0]++;
                  if (syncs[0] == interruptedSync) {
                    throw new IOException("interrupted");
                  }
                }));
    try (DurableLog reopened = DurableLog.open(dataDir, true)) {
      assertThat(reopened.hardState().voter(), is(false));
      assertThat(reopened.entries(), is(List.of()));
    } catch (UnreadableStorageException e) {
      DurableLog.setAside(dataDir);
    }
    Path target = dataDir.resolve("unreadable-1");
    if (Files.exists(dataDir.resolve("unreadable-unfinished"))) {
      target = dataDir.resolve("unreadable-unfinished");
    }
    assertThat(Files.readAllBytes(target.resolve("hard-state")), is(hardState));
    assertThat(Files.exists(target.resolve("snapshot")), is(true));
    assertThat(Files.exists(target.resolve("config.log")), is(true));
    assertThat(Files.exists(dataDir.resolve("unreadable-2")), is(false));
    try (DurableLog reopened = DurableLog.open(dataDir, true)) {
      assertThat(reopened.hardState().voter(), is(false));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void memberWithNewFolderVotesOnlyOnFirstStart(boolean bootstrap) throws IOException {
    String storageId;
    try (DurableLog log = DurableLog.open(dataDir, bootstrap)) {
      assertThat(log.hardState().voter(), is(bootstrap));
      storageId = log.hardState().storageId();
    }
    try (DurableLog reopened = DurableLog.open(dataDir, !bootstrap)) {
      assertThat(reopened.hardState().storageId(), is(storageId));
      assertThat(reopened.hardState().voter(), is(bootstrap));
    }
  }

  /**
   * Fails syncs on demand and records the length at the last successful sync, so that a test can
   * discard what was written after it.
   */
  private static final class FailingDisk implements DurableFile.Sync {
    boolean failing;
    long syncedBytes;

    @Override
    public void force(Path path, FileChannel channel) throws IOException {
      if (failing) {
        throw new IOException("disk failure");
      }
      channel.force(true);
      syncedBytes = channel.size();
    }
  }

  /** After a crash between write and sync, none, a part or all of the write is on disk. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.1, 0.5, 0.9, 1})
  void crashBetweenWriteAndSyncLosesNothingAcknowledged(double writtenShare) throws IOException {
    FailingDisk disk = new FailingDisk();
    try (DurableLog log = DurableLog.open(dataDir, true, disk)) {
      ConsensusMember member = soleMember(log);
      assertThat(accepted(member, "change-1", 0), is(1L));
      assertThat(accepted(member, "change-2", 1), is(2L));
      disk.failing = true;
      assertThrows(UncheckedIOException.class, () -> member.propose(9, change("change-3"), 2, 0));
    }
    long written = Files.size(dataDir.resolve(DurableLog.LOG_FILE));
    truncateLog(disk.syncedBytes + (long) ((written - disk.syncedBytes) * writtenShare));
    try (DurableLog reopened = DurableLog.open(dataDir, false)) {
      ConsensusMember member = soleMember(reopened);
      assertThat(accepted(member, "change-1", 0), is(1L));
      assertThat(accepted(member, "change-2", 0), is(2L));
      assertThat(member.state().version(), is(lessThanOrEqualTo(3L)));
    }
  }

  @Test
  void compactsAndReopensAfterHundredsOfChanges() throws IOException {
    try (DurableLog log = DurableLog.open(dataDir, true)) {
      ConsensusMember member = soleMember(log);
      for (long v = 0; v < 500; v++) {
        assertThat(accepted(member, "change-" + v, v), is(v + 1));
      }
    }
    try (DurableLog reopened = DurableLog.open(dataDir, false)) {
      ConsensusMember member = soleMember(reopened);
      assertThat(accepted(member, "change-499", 0), is(500L));
      assertThat(accepted(member, "change-500", 500), is(501L));
      assertThat(reopened.entries().size(), is(lessThanOrEqualTo(256)));
    }
  }

  private static ConsensusMember soleMember(DurableLog log) {
    ConsensusMember member =
        new ConsensusMember(
            "control-1",
            List.of("control-1"),
            ConsensusTiming.DEFAULT,
            LogLimits.DEFAULT,
            log,
            new Random(1),
            0);
    member.tick(0);
    return member;
  }

  private static Command.Change change(String id) {
    return id.endsWith("2")
        ? new Command.PatchChange(id, "organisations: [{name: a}]")
        : new Command.ConfigChange(id, "# " + id);
  }

  private static long accepted(ConsensusMember member, String changeId, long expectedVersion) {
    Output out = member.propose(1, change(changeId), expectedVersion, 0);
    assertThat(out.decisions(), hasSize(1));
    return ((ChangeResult.Accepted) out.decisions().get(0).result()).version();
  }

  private void truncateLog(long bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(dataDir.resolve(DurableLog.LOG_FILE), StandardOpenOption.WRITE)) {
      channel.truncate(bytes);
    }
  }
}
