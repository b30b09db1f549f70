package org.lacewingcroft.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.lacewingcroft.config.ConfigParser;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The control role's durable log of accepted configuration changes, one file under the data folder.
 *
 * <p>Each record is a 4-byte length, a 4-byte CRC-32C of the payload and a MessagePack payload
 * (index, term, client change id, document). {@link #append} forces the file to disk before it
 * returns, so an acknowledged change survives a crash. On open, a torn or corrupt tail (a crash
 * between write and sync) is cut off: those changes were never acknowledged.
 *
 * <p>Not thread-safe: the control daemon calls it from one event-loop context.
 */
public final class ControlLog implements AutoCloseable {
  /** The log file's name inside the data folder. */
  public static final String FILE_NAME = "config.log";

  private static final System.Logger LOG = System.getLogger(ControlLog.class.getName());
  private final FileChannel channel;
  private final List<LogEntry> entries = new ArrayList<>();
  private final Map<String, Long> versionByChangeId = new HashMap<>();

  /**
   * One accepted change.
   *
   * @param index the version, starting at 1
   * @param term the leader term that accepted it (the fencing number)
   * @param changeId the operator's client change id
   * @param document the YAML document
   */
  public record LogEntry(long index, long term, String changeId, String document) {}

  private ControlLog(FileChannel channel) {
    this.channel = channel;
  }

  /**
   * Opens or creates the log in the data folder and recovers its valid records.
   *
   * @param dataDir the data folder, created if absent
   * @throws IOException if the folder or file cannot be used
   */
  public static ControlLog open(Path dataDir) throws IOException {
    Files.createDirectories(dataDir);
    Path file = dataDir.resolve(FILE_NAME);
    FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    ControlLog log = new ControlLog(channel);
    log.recover();
    return log;
  }

  private void recover() throws IOException {
    long size = channel.size();
    ByteBuffer all = ByteBuffer.allocate((int) size);
    channel.read(all, 0);
    all.flip();
    long validEnd = 0;
    while (all.remaining() >= 8) {
      int length = all.getInt();
      int crc = all.getInt();
      if (length < 0 || length > all.remaining()) {
        break;
      }
      byte[] payload = new byte[length];
      all.get(payload);
      if (crc32c(payload) != crc) {
        break;
      }
      remember(decode(payload));
      validEnd = all.position();
    }
    if (validEnd < size) {
      LOG.log(
          System.Logger.Level.WARNING,
          "control.log_tail_cut",
          "bytes",
          size - validEnd,
          "entries",
          entries.size());
      channel.truncate(validEnd);
      channel.force(true);
    }
    channel.position(validEnd);
  }

  /** Returns the last accepted entry, if any. */
  public Optional<LogEntry> last() {
    return entries.isEmpty() ? Optional.empty() : Optional.of(entries.get(entries.size() - 1));
  }

  /** Returns the version in force: the last index, or 0 for an empty log. */
  public long lastIndex() {
    return last().map(LogEntry::index).orElse(0L);
  }

  /** Returns the number of entries. */
  public int size() {
    return entries.size();
  }

  /**
   * Appends a change durably, applying compare-and-set on the version and deduplicating by client
   * change id.
   *
   * @param changeId the operator's client change id; a resend with the same id is applied once
   * @param expectedVersion the version the change was based on; must equal {@link #lastIndex()}
   * @param term the leader term accepting it
   * @param document the YAML document, already parsed once by the caller
   * @return accepted (new or duplicate) or conflict
   * @throws IOException if the disk write or sync fails; nothing is acknowledged then
   * @throws org.lacewingcroft.error.GatewayException if the document is invalid
   */
  public ChangeResult append(String changeId, long expectedVersion, long term, String document)
      throws IOException {
    Long earlier = versionByChangeId.get(changeId);
    if (earlier != null) {
      return new ChangeResult.Accepted(earlier, true);
    }
    if (expectedVersion != lastIndex()) {
      return new ChangeResult.Conflict(lastIndex());
    }
    ConfigParser.parse(document);
    LogEntry entry = new LogEntry(lastIndex() + 1, term, changeId, document);
    byte[] payload = encode(entry);
    ByteBuffer record = ByteBuffer.allocate(8 + payload.length);
    record.putInt(payload.length).putInt(crc32c(payload)).put(payload).flip();
    while (record.hasRemaining()) {
      channel.write(record);
    }
    channel.force(true);
    remember(entry);
    return new ChangeResult.Accepted(entry.index(), false);
  }

  private void remember(LogEntry entry) {
    entries.add(entry);
    versionByChangeId.put(entry.changeId(), entry.index());
  }

  private static byte[] encode(LogEntry e) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packLong(e.index()).packLong(e.term()).packString(e.changeId()).packString(e.document());
      return p.toByteArray();
    }
  }

  private static LogEntry decode(byte[] payload) throws IOException {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(payload)) {
      return new LogEntry(u.unpackLong(), u.unpackLong(), u.unpackString(), u.unpackString());
    }
  }

  private static int crc32c(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
