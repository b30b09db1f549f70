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
 * Checked records in files that survive a crash: each record is a 4-byte length, a 4-byte CRC-32C
 * of the payload and the payload. A whole file is replaced by writing a temporary one, syncing it,
 * renaming it and syncing the folder, so a crash leaves the old or the new content.
 */
public final class DurableFile {
  /** Syncs as the file system does. */
  static final Sync TO_DISK = channel -> channel.force(true);

  private static final int HEADER_BYTES = 8;

  /** Forces what was written to disk; replaced by tests that crash in between. */
  interface Sync {
    /** Syncs a file's data and length. */
    void force(FileChannel channel) throws IOException;
  }

  /**
   * The records of a file.
   *
   * @param payloads the valid records, in order
   * @param validBytes the length up to the first record that is torn or corrupt
   */
  public record Contents(List<byte[]> payloads, long validBytes) {}

  private DurableFile() {}

  /** Returns a record with its header. */
  static ByteBuffer record(byte[] payload) {
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(payload.length)
        .putInt(crc32c(payload))
        .put(payload)
        .flip();
  }

  /** Reads the valid records of a file from its start; an absent file has none. */
  public static Contents read(Path file) throws IOException {
    List<byte[]> payloads = new ArrayList<>();
    if (!Files.exists(file)) {
      return new Contents(payloads, 0);
    }
    ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
    long validBytes = 0;
    while (all.remaining() >= HEADER_BYTES) {
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
      payloads.add(payload);
      validBytes = all.position();
    }
    return new Contents(payloads, validBytes);
  }

  /** Replaces a file by one with these records, durably. */
  public static void replace(Path file, List<byte[]> payloads) throws IOException {
    replace(file, payloads, TO_DISK);
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

  /** Makes the folder's new and renamed names durable. */
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
