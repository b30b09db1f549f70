package org.lacewingcroft.control;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Reads and writes crash-safe files of checksummed records. A record consists of a 4-byte length, a
 * 4-byte CRC-32C of the payload, and the payload, which is never empty: eight zero bytes would be
 * the header of an empty record, and after a loss of power a file may end with zeros. A file is
 * replaced as a whole by writing a temporary file, syncing it, renaming it and syncing the folder,
 * so that after a crash it has either the old or the new content.
 */
public final class DurableFile {
  /** Forces data and metadata to the storage device. */
  static final Sync FORCE_TO_DISK = (path, channel) -> channel.force(true);

  private static final int HEADER_BYTES = 8;

  /**
   * Forces written data to the storage device. Tests replace it to simulate a loss of power or a
   * failure between write and sync.
   */
  interface Sync {
    /**
     * Syncs the data and the length of a file, or the names in a folder.
     *
     * @param path the file or folder
     * @param channel an open channel of it
     */
    void force(Path path, FileChannel channel) throws IOException;
  }

  /** Receives the valid records of a file, in order. */
  interface RecordHandler {
    /**
     * Called for each record.
     *
     * @param payload its payload
     * @param endOffset the offset after the record, in bytes
     * @return whether the record continues the file; if not, it and all bytes after it are ignored
     */
    boolean onRecord(byte[] payload, long endOffset) throws IOException;
  }

  /** Selects records. */
  interface RecordFilter {
    /** Returns whether a record with this payload is selected. */
    boolean accepts(byte[] payload) throws IOException;
  }

  /** Writes the records of a file one by one, so that they need not be held at once. */
  interface Content {
    /** Appends the payload of each record, in order. */
    void writeTo(Appender file) throws IOException;
  }

  /** Appends records to a file that is being written. */
  interface Appender {
    /** Appends a record with the given payload. */
    void append(byte[] payload) throws IOException;
  }

  private DurableFile() {}

  /** Returns the size of the record of a payload, in bytes. */
  static long recordBytes(byte[] payload) {
    return HEADER_BYTES + payload.length;
  }

  /**
   * Encodes a payload as a record with its header.
   *
   * @throws IllegalArgumentException if the payload is empty
   */
  static ByteBuffer record(byte[] payload) {
    if (payload.length == 0) {
      throw new IllegalArgumentException("a record has a payload");
    }
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(payload.length)
        .putInt(crc32c(payload))
        .put(payload)
        .flip();
  }

  /**
   * Returns the payloads of the records of a small file that was written by {@link #replace}; none
   * if the file does not exist.
   *
   * @throws UnreadableStorageException if the file does not consist of complete records
   */
  public static List<byte[]> read(Path file) throws IOException {
    List<byte[]> payloads = new ArrayList<>();
    long validBytes = forEach(file, (payload, endOffset) -> payloads.add(payload));
    if (!Files.notExists(file) && (payloads.isEmpty() || validBytes < Files.size(file))) {
      throw UnreadableStorageException.damaged(
          file, "only " + validBytes + " of " + Files.size(file) + " bytes are valid");
    }
    return payloads;
  }

  /**
   * Reads the records of a file up to the first torn or corrupt one, or the first that does not
   * continue the file, of which only one is held in memory at a time; a file that does not exist
   * has no records.
   *
   * @return the length of the records that were read, in bytes
   */
  static long forEach(Path file, RecordHandler handler) throws IOException {
    if (Files.notExists(file)) {
      return 0;
    }
    long fileBytes = Files.size(file);
    long validBytes = 0;
    try (DataInputStream in =
        new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
      while (fileBytes - validBytes >= HEADER_BYTES) {
        int length = in.readInt();
        int crc = in.readInt();
        if (length <= 0 || length > fileBytes - validBytes - HEADER_BYTES) {
          break;
        }
        byte[] payload = new byte[length];
        if (in.readNBytes(payload, 0, length) < length || crc32c(payload) != crc) {
          break;
        }
        long endOffset = validBytes + HEADER_BYTES + length;
        if (!handler.onRecord(payload, endOffset)) {
          break;
        }
        validBytes = endOffset;
      }
    }
    return validBytes;
  }

  /**
   * Searches a file for intact records at any offset, which also finds those behind damaged ones.
   *
   * @param file the file, which exists
   * @param fromOffset the offset at which the search begins, in bytes
   * @param filter selects a record
   * @return whether the filter accepts a record
   */
  static boolean containsRecord(Path file, long fromOffset, RecordFilter filter)
      throws IOException {
    long fileBytes = Files.size(file);
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ);
        InputStream in =
            new BufferedInputStream(Channels.newInputStream(channel.position(fromOffset)))) {
      long header = 0;
      long offset = fromOffset;
      for (int next = in.read(); next >= 0; next = in.read()) {
        header = header << Byte.SIZE | next;
        offset++;
        int length = (int) (header >>> Integer.SIZE);
        boolean isWhole = offset - fromOffset >= HEADER_BYTES && length <= fileBytes - offset;
        if (length > 0 && isWhole) {
          byte[] payload = readFully(channel, offset, length);
          if (crc32c(payload) == (int) header && filter.accepts(payload)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private static byte[] readFully(FileChannel channel, long offset, int length) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(length);
    while (bytes.hasRemaining()) {
      if (channel.read(bytes, offset + bytes.position()) < 0) {
        throw new EOFException("the file became shorter while it was read");
      }
    }
    return bytes.array();
  }

  /** Replaces a file durably by one with the given records. */
  public static void replace(Path file, List<byte[]> payloads) throws IOException {
    replace(
        file,
        appender -> {
          for (byte[] payload : payloads) {
            appender.append(payload);
          }
        },
        FORCE_TO_DISK);
  }

  static void replace(Path file, Content content, Sync sync) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      content.writeTo(payload -> writeFully(channel, record(payload)));
      sync.force(temporary, channel);
    }
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    syncFolder(file.getParent(), sync);
  }

  static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      channel.write(bytes);
    }
  }

  /** Creates a folder, and its parents, durably if it does not exist. */
  static void createFolder(Path folder, Sync sync) throws IOException {
    if (Files.isDirectory(folder)) {
      return;
    }
    Optional<Path> parent = Optional.ofNullable(folder.toAbsolutePath().getParent());
    if (parent.isPresent()) {
      createFolder(parent.get(), sync);
    }
    Files.createDirectories(folder);
    if (parent.isPresent()) {
      syncFolder(parent.get(), sync);
    }
  }

  /** Makes created and renamed files of a folder durable. */
  static void syncFolder(Path folder, Sync sync) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      sync.force(folder, channel);
    }
  }

  private static int crc32c(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }
}
