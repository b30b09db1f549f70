package org.lacewingcroft.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.lacewingcroft.control.DurableFile;
import org.lacewingcroft.quarantine.Suspicion;

/**
 * Keeps recurring contents on a control instance's disk, for when all instances restart at once and
 * none is left to tell the others.
 *
 * <p>The file has two records: when it was written, in milliseconds since 1970 as 8 bytes, and a
 * {@link FleetMessage.SuspicionUpdate}.
 */
final class SuspicionStore {
  private static final String FILE = "quarantine";
  private static final int RECORDS = 2;

  private final Path file;
  private final InstantSource wallClock;

  /**
   * Uses a file in a data folder.
   *
   * @param wallClock the time of day, which goes on while no process runs
   */
  SuspicionStore(Path dataDir, InstantSource wallClock) {
    this.file = dataDir.resolve(FILE);
    this.wallClock = wallClock;
  }

  /**
   * Replaces what is kept.
   *
   * @throws IOException if the disk refuses it
   */
  void save(List<Suspicion> suspicions) throws IOException {
    byte[] writtenAt = ByteBuffer.allocate(Long.BYTES).putLong(wallClock.millis()).array();
    byte[] update = FleetCodec.encode(new FleetMessage.SuspicionUpdate("", 0, suspicions));
    DurableFile.replace(file, List.of(writtenAt, update));
  }

  /**
   * Returns what was kept, aged by the time since it was written.
   *
   * @throws IOException if it cannot be read
   */
  List<Suspicion> load() throws IOException {
    List<byte[]> records = DurableFile.read(file).payloads();
    if (records.size() < RECORDS || records.get(0).length != Long.BYTES) {
      return List.of();
    }
    Duration since = since(Instant.ofEpochMilli(ByteBuffer.wrap(records.get(0)).getLong()));
    return FleetCodec.decode(records.get(1)) instanceof FleetMessage.SuspicionUpdate kept
        ? kept.suspicions().stream().map(s -> s.agedBy(since)).toList()
        : List.of();
  }

  /** Clocks step; nothing was written in the future. */
  private Duration since(Instant written) {
    Duration since = Duration.between(written, wallClock.instant());
    return since.isNegative() ? Duration.ZERO : since;
  }
}
