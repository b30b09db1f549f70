package org.lacewingcroft.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Reads and writes crash-safe files of checksummed records. A record consists of a 4-byte length, a
 * 4-byte CRC-32C of the payload, and the payload. A file is replaced as a whole by writing a
 * temporary file, syncing it, renaming it and syncing the folder, so that after a crash it has
 * either the old or the new content.
 */
public final class DurableFile {
  /** Forces data and metadata to the storage device. */
  static final Sync FORCE_TO_DISK = channel -> channel.force(true);

  private static final int HEADER_BYTES = 8;

  /**
   * Forces written data to the storage device. Tests replace it to simulate a crash between write
   * and sync.
   */
  interface Sync {
    /** Syncs the data and the length of a file. */
    void force(FileChannel channel) throws IOException;
  }

  /**
   * The valid records of a file.
   *
   * @param payloads the valid records, in order
   * @param validBytes the length in bytes up to the first torn or corrupt record
   */
  public record Contents(List<byte[]> payloads, long validBytes) {}

  private DurableFile() {}

  /** Encodes a payload as a record with its header. */
  static ByteBuffer record(byte[] payload) {
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(payload.length)
        .putInt(crc32c(payload))
        .put(payload)
        .flip();
  }

  /**
   * Reads the records of a file up to the first torn or corrupt one; a file that does not exist has
   * no records.
   */
  public static Contents read(Path file) throws IOException {
    List<byte[]> payloads = new ArrayList<>();
    if (!Files.exists(file)) {
      return new Contents(payloads, 0);
    }
    ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(file));
    long validBytes = 0;
    while (buffer.remaining() >= HEADER_BYTES) {
      int length = buffer.getInt();
      int crc = buffer.getInt();
      if (length < 0 || length > buffer.remaining()) {
        break;
      }
      byte[] payload = new byte[length];
      buffer.get(payload);
      if (crc32c(payload) != crc) {
        break;
      }
      payloads.add(payload);
      validBytes = buffer.position();
    }
    return new Contents(payloads, validBytes);
  }

  /** Replaces a file durably by one with the given records. */
  public static void replace(Path file, List<byte[]> payloads) throws IOException {
    replace(file, payloads, FORCE_TO_DISK);
  }

  static void replace(Path file, List<byte[]> payloads, Sync sync) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      for (byte[] payload : payloads) {
        writeFully(channel, record(payload));
      }
      sync.force(channel);
    }
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    syncFolder(file.getParent(), sync);
  }

  static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      channel.write(bytes);
    }
  }

  /** Makes created and renamed files of a folder durable. */
  static void syncFolder(Path folder, Sync sync) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      sync.force(channel);
    }
  }

  private static int crc32c(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }
}
