package org.lacewingcroft.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Stream;
import org.lacewingcroft.consensus.ConfigState;
import org.lacewingcroft.consensus.ConsensusCodec;
import org.lacewingcroft.consensus.HardState;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.LogStorage;
import org.lacewingcroft.consensus.Snapshot;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The log of a control group member in its data folder: the files {@code hard-state}, {@code
 * snapshot} and {@code config.log}, which hold records of {@link DurableFile}.
 *
 * <p>On open, the log ends before the first record that is torn, missing or does not follow the one
 * before it, and the rest is truncated: a loss of power leaves such a tail of writes that were not
 * synced, and their entries were never acknowledged. The file may begin with entries that the
 * snapshot covers, after a crash during a compaction. If anything else is missing or cannot be
 * read, it had been synced; the open fails with {@link UnreadableStorageException} then and changes
 * nothing.
 *
 * <p>A record of the log is an entry and the length of the log that had been synced before the
 * record was written. If that covers bytes that are no record, they are damage and not such a tail.
 * Records of earlier builds do not contain the length. Damage that no intact record follows cannot
 * be distinguished from a tail.
 *
 * <p>Records are read and written one at a time, so that a start and a compaction need little more
 * memory than the entries themselves. The id of the data folder is generated once and stored in the
 * hard state. A member with an empty folder is a voter only on the deployment's first start.
 *
 * <p>Not thread-safe: confined to the thread of its {@link ConsensusDriver}.
 */
public final class DurableLog implements LogStorage, AutoCloseable {
  /** The name of the log file in the data folder. */
  public static final String LOG_FILE = "config.log";

  private static final System.Logger LOG = System.getLogger(DurableLog.class.getName());
  private static final String HARD_STATE_FILE = "hard-state";
  private static final String SNAPSHOT_FILE = "snapshot";
  private static final String SET_ASIDE_PREFIX = "unreadable-";
  private static final String LATER_SUFFIX = ".later";

  private final Path dataDir;
  private final DurableFile.Sync sync;
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Long> endOffsets = new ArrayList<>();
  private long startOffset;
  private boolean endsWithReplacedEntries;
  private long snapshotSizeBytes;
  private HardState hardState;
  private Snapshot snapshot;
  private FileChannel channel;

  private interface PackFunction {
    void pack(MessagePacker packer) throws IOException;
  }

  private interface Recovery {
    void run() throws IOException;
  }

  private interface UnpackFunction<T> {
    T unpack(MessageUnpacker unpacker) throws IOException;
  }

  private DurableLog(Path dataDir, DurableFile.Sync sync) {
    this.dataDir = dataDir;
    this.sync = sync;
  }

  /**
   * Opens the log in a data folder, which is created if absent, and recovers its valid records.
   *
   * @param dataDir the data folder
   * @param bootstrap true only on the deployment's first start: a member with an empty folder may
   *     vote then
   * @throws UnreadableStorageException if synced data cannot be used
   * @throws IOException if the folder or a file cannot be used
   */
  public static DurableLog open(Path dataDir, boolean bootstrap) throws IOException {
    return open(dataDir, bootstrap, DurableFile.FORCE_TO_DISK);
  }

  static DurableLog open(Path dataDir, boolean bootstrap, DurableFile.Sync sync)
      throws IOException {
    DurableFile.createFolder(dataDir, sync);
    DurableLog log = new DurableLog(dataDir, sync);
    return log.closeIfFails(
        () -> {
          log.recoverHardState(bootstrap);
          log.recoverSnapshot();
          log.recoverEntries();
        });
  }

  /**
   * Writes all that was recovered to new files, after a write or sync has failed. What a failed
   * sync did not write may still be readable, and a later sync of the same file reports success
   * without writing it.
   */
  DurableLog writeAgain() throws IOException {
    return closeIfFails(
        () -> {
          writeHardState(hardState);
          compact(snapshot, entries());
        });
  }

  /** Runs a part of the recovery, and leaves no open channel behind if it fails. */
  private DurableLog closeIfFails(Recovery recovery) throws IOException {
    boolean done = false;
    try {
      recovery.run();
      done = true;
      return this;
    } finally {
      if (!done) {
        close();
      }
    }
  }

  /**
   * Opens the log of a group whose members are recorded in the log itself. On the deployment's
   * first start the founding members start from a snapshot that lists them; with any other empty
   * data folder the instance starts as a non-voter that receives the members from the leader.
   *
   * @param dataDir the data folder
   * @param founders the ids of the founding members if this instance is one of them on the first
   *     start, otherwise empty
   * @param sync forces written data to the storage device
   * @throws UnreadableStorageException if synced data cannot be used
   * @throws IOException if the folder or a file cannot be used
   */
  static DurableLog openWithFounders(Path dataDir, Set<String> founders, DurableFile.Sync sync)
      throws IOException {
    DurableLog log = open(dataDir, !founders.isEmpty(), sync);
    boolean empty = log.snapshot.equals(Snapshot.EMPTY) && log.entries.isEmpty();
    if (founders.isEmpty() || !empty) {
      return log;
    }
    Snapshot founded = new Snapshot(0, 0, ConfigState.EMPTY.withMembers(founders));
    return log.closeIfFails(() -> log.compact(founded, List.of()));
  }

  /**
   * Moves the files of a data folder that cannot be read into a new subfolder, where an operator
   * finds them. The instance then opens an empty folder, like one whose disk was lost.
   *
   * @return the subfolder
   * @throws IOException if a file cannot be moved
   */
  static Path setAside(Path dataDir) throws IOException {
    return setAside(dataDir, DurableFile.FORCE_TO_DISK);
  }

  static Path setAside(Path dataDir, DurableFile.Sync sync) throws IOException {
    Path unfinished = Files.createDirectories(dataDir.resolve(SET_ASIDE_PREFIX + "unfinished"));
    // Without its hard state a member does not vote, whichever other files a crash leaves in place.
    for (String name : List.of(HARD_STATE_FILE, SNAPSHOT_FILE, LOG_FILE)) {
      if (Files.exists(dataDir.resolve(name))) {
        // An earlier attempt that was interrupted may have moved the original file already.
        boolean moved = Files.exists(unfinished.resolve(name));
        Files.move(
            dataDir.resolve(name),
            unfinished.resolve(moved ? name + LATER_SUFFIX : name),
            StandardCopyOption.ATOMIC_MOVE);
        DurableFile.syncFolder(unfinished, sync);
        DurableFile.syncFolder(dataDir, sync);
      }
    }
    int number = 1;
    while (Files.exists(dataDir.resolve(SET_ASIDE_PREFIX + number))) {
      number++;
    }
    Path target = dataDir.resolve(SET_ASIDE_PREFIX + number);
    Files.move(unfinished, target, StandardCopyOption.ATOMIC_MOVE);
    DurableFile.syncFolder(dataDir, sync);
    return target;
  }

  private void recoverHardState(boolean bootstrap) throws IOException {
    List<byte[]> records = DurableFile.read(dataDir.resolve(HARD_STATE_FILE));
    if (records.isEmpty()) {
      boolean voter = bootstrap && !wasUsed();
      hardState = new HardState(0, Optional.empty(), UUID.randomUUID().toString(), voter);
      writeHardState(hardState);
      LOG.log(
          System.Logger.Level.INFO,
          "control.data_folder_new",
          "storage",
          hardState.storageId(),
          "voter",
          voter);
    } else {
      hardState = decode(HARD_STATE_FILE, records.get(0), ConsensusCodec::unpackHardState);
    }
  }

  /** Returns whether a folder without a hard state has other files of a member. */
  private boolean wasUsed() throws IOException {
    try (Stream<Path> files = Files.list(dataDir)) {
      return files
          .map(file -> file.getFileName().toString())
          .anyMatch(
              name ->
                  name.equals(SNAPSHOT_FILE)
                      || name.equals(LOG_FILE)
                      || name.startsWith(SET_ASIDE_PREFIX));
    }
  }

  private void recoverSnapshot() throws IOException {
    List<byte[]> records = DurableFile.read(dataDir.resolve(SNAPSHOT_FILE));
    snapshot =
        records.isEmpty()
            ? Snapshot.EMPTY
            : decode(SNAPSHOT_FILE, records.get(0), ConsensusCodec::unpackSnapshot);
    snapshotSizeBytes = records.stream().mapToLong(r -> r.length).sum();
  }

  private void recoverEntries() throws IOException {
    Path file = dataDir.resolve(LOG_FILE);
    if (hardState.term() > 0 && Files.notExists(file)) {
      throw UnreadableStorageException.damaged(file, "it is missing");
    }
    long validBytes = DurableFile.forEach(file, this::recoverEntry);
    openChannel(file);
    checkSyncedBytes(file, validBytes);
    long tornBytes = channel.size() - validBytes;
    if (tornBytes > 0) {
      channel.truncate(validBytes);
      channel.position(validBytes);
      LOG.log(
          System.Logger.Level.WARNING,
          "control.log_tail_cut",
          "bytes",
          tornBytes,
          "entries",
          entries.size());
    }
    // The last entries may have been written but not synced by a process that was killed.
    sync.force(file, channel);
    DurableFile.syncFolder(dataDir, sync);
  }

  /**
   * Checks that no record behind the valid ones shows that bytes in front of it had been synced.
   * Replaced entries that a crash has left at the end are intact, and do not count.
   */
  private void checkSyncedBytes(Path file, long validBytes) throws IOException {
    boolean damaged =
        !endsWithReplacedEntries
            && DurableFile.containsRecord(
                file, validBytes, payload -> syncedBytesBefore(payload) > validBytes);
    if (damaged) {
      throw UnreadableStorageException.damaged(
          file, "only " + validBytes + " bytes are valid, and synced entries follow");
    }
  }

  private static byte[] encodeEntry(LogEntry entry, long syncedBytes) throws IOException {
    return encode(
        packer -> {
          ConsensusCodec.packEntry(packer, entry);
          packer.packLong(syncedBytes);
        });
  }

  /** Returns the length that had been synced before a record was written; 0 if it is not known. */
  private static long syncedBytesBefore(byte[] payload) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      ConsensusCodec.unpackEntry(unpacker);
      return unpacker.hasNext() ? unpacker.unpackLong() : 0;
    } catch (IOException | RuntimeException unknownFormat) {
      return 0;
    }
  }

  private boolean recoverEntry(byte[] payload, long endOffset) throws IOException {
    LogEntry entry = decode(LOG_FILE, payload, ConsensusCodec::unpackEntry);
    if (entry.index() <= snapshot.lastIndex()) {
      startOffset = endOffset;
      return true;
    }
    if (entries.isEmpty() && entry.index() > snapshot.lastIndex() + 1) {
      throw UnreadableStorageException.damaged(
          dataDir.resolve(SNAPSHOT_FILE),
          "it ends at index " + snapshot.lastIndex() + ", the log begins at " + entry.index());
    }
    // A received snapshot replaces entries of older terms, and a crash may leave them in the file.
    boolean followsLast =
        entries.isEmpty()
            ? entry.term() >= snapshot.lastTerm()
            : entry.index() == lastEntry().index() + 1 && entry.term() >= lastEntry().term();
    if (followsLast) {
      entries.add(entry);
      endOffsets.add(endOffset);
    }
    endsWithReplacedEntries = !followsLast;
    return followsLast;
  }

  private LogEntry lastEntry() {
    return entries.get(entries.size() - 1);
  }

  private void openChannel(Path file) throws IOException {
    channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    channel.position(channel.size());
  }

  /** Replaces the log file by one that contains only the given entries. */
  private void rewrite(List<LogEntry> retained) throws IOException {
    Path file = dataDir.resolve(LOG_FILE);
    List<Long> offsets = new ArrayList<>();
    channel.close();
    DurableFile.replace(
        file,
        appender -> {
          long offset = 0;
          for (LogEntry entry : retained) {
            byte[] payload = encodeEntry(entry, offset);
            offset += DurableFile.recordBytes(payload);
            offsets.add(offset);
            appender.append(payload);
          }
        },
        sync);
    openChannel(file);
    startOffset = 0;
    endOffsets.clear();
    endOffsets.addAll(offsets);
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
    return snapshotSizeBytes;
  }

  @Override
  public List<LogEntry> entries() {
    return List.copyOf(entries);
  }

  @Override
  public long sizeBytes(long fromIndex, long toIndex) {
    return offsetBefore(toIndex) - offsetBefore(fromIndex);
  }

  /** Returns the offset in the log file at which the entry at an index begins. */
  private long offsetBefore(long index) {
    int precedingEntries = (int) (index - snapshot.lastIndex() - 1);
    return precedingEntries == 0 ? startOffset : endOffsets.get(precedingEntries - 1);
  }

  @Override
  public void save(HardState state) {
    try {
      writeHardState(state);
      hardState = state;
    } catch (IOException e) {
      throw new UncheckedIOException("saving the term and vote failed", e);
    }
  }

  private void writeHardState(HardState state) throws IOException {
    byte[] payload = encode(p -> ConsensusCodec.packHardState(p, state));
    DurableFile.replace(dataDir.resolve(HARD_STATE_FILE), f -> f.append(payload), sync);
  }

  @Override
  public void append(List<LogEntry> newEntries) {
    try {
      List<Long> offsets = new ArrayList<>();
      long syncedBytes = channel.position();
      for (LogEntry entry : newEntries) {
        DurableFile.writeFully(channel, DurableFile.record(encodeEntry(entry, syncedBytes)));
        offsets.add(channel.position());
      }
      sync.force(dataDir.resolve(LOG_FILE), channel);
      endOffsets.addAll(offsets);
      entries.addAll(newEntries);
    } catch (IOException e) {
      throw new UncheckedIOException("appending to the configuration log failed", e);
    }
  }

  @Override
  public void truncateFrom(long index) {
    int retainedCount = (int) (index - snapshot.lastIndex() - 1);
    try {
      long retainedBytes = offsetBefore(index);
      channel.truncate(retainedBytes);
      channel.position(retainedBytes);
      sync.force(dataDir.resolve(LOG_FILE), channel);
    } catch (IOException e) {
      throw new UncheckedIOException("truncating the configuration log failed", e);
    }
    entries.subList(retainedCount, entries.size()).clear();
    endOffsets.subList(retainedCount, endOffsets.size()).clear();
  }

  @Override
  public void compact(Snapshot newSnapshot, List<LogEntry> tail) {
    try {
      byte[] payload = encode(p -> ConsensusCodec.packSnapshot(p, newSnapshot));
      DurableFile.replace(dataDir.resolve(SNAPSHOT_FILE), f -> f.append(payload), sync);
      snapshotSizeBytes = payload.length;
      rewrite(tail);
    } catch (IOException e) {
      throw new UncheckedIOException("compacting the configuration log failed", e);
    }
    snapshot = newSnapshot;
    entries.clear();
    entries.addAll(tail);
  }

  private static byte[] encode(PackFunction packFunction) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packFunction.pack(packer);
      return packer.toByteArray();
    }
  }

  private <T> T decode(String file, byte[] payload, UnpackFunction<T> unpackFunction)
      throws UnreadableStorageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      return unpackFunction.unpack(unpacker);
    } catch (IOException | RuntimeException e) {
      throw UnreadableStorageException.unknownFormat(dataDir.resolve(file), e);
    }
  }

  @Override
  public void close() throws IOException {
    if (channel != null) {
      channel.close();
    }
  }
}
