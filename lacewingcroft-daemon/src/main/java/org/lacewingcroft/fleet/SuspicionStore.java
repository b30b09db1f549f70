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
 * Stores recurring request contents (those that have crashed several endpoints) and cleared ones on
 * a control instance's disk, to retain them when all instances restart at the same time.
 *
 * <p>The file has two records: the time at which it was written, in Unix milliseconds as 8 bytes,
 * and a {@link FleetMessage.SuspicionUpdate}.
 */
final class SuspicionStore {
  private static final String FILE_NAME = "quarantine";
  private static final int RECORD_COUNT = 2;

  private final Path file;
  private final InstantSource wallClock;

  /**
   * Creates a store in a data folder.
   *
   * @param wallClock the wall clock, which advances while no process runs
   */
  SuspicionStore(Path dataDir, InstantSource wallClock) {
    this.file = dataDir.resolve(FILE_NAME);
    this.wallClock = wallClock;
  }

  /**
   * Replaces the stored contents.
   *
   * @throws IOException if the file cannot be written
   */
  void save(List<Suspicion> suspicions) throws IOException {
    byte[] writtenAt = ByteBuffer.allocate(Long.BYTES).putLong(wallClock.millis()).array();
    byte[] update = FleetCodec.encode(new FleetMessage.SuspicionUpdate("", 0, suspicions));
    DurableFile.replace(file, List.of(writtenAt, update));
  }

  /**
   * Returns the stored contents, with their ages increased by the time since they were written.
   *
   * @throws IOException if the file cannot be read
   */
  List<Suspicion> load() throws IOException {
    List<byte[]> records = DurableFile.read(file);
    if (records.size() < RECORD_COUNT || records.get(0).length != Long.BYTES) {
      return List.of();
    }
    Duration elapsed = timeSince(Instant.ofEpochMilli(ByteBuffer.wrap(records.get(0)).getLong()));
    return FleetCodec.decode(records.get(1)) instanceof FleetMessage.SuspicionUpdate stored
        ? stored.suspicions().stream().map(s -> s.agedBy(elapsed)).toList()
        : List.of();
  }

  /**
   * Returns the time since the file was written, or zero if the wall clock was set back since then.
   */
  private Duration timeSince(Instant written) {
    Duration elapsed = Duration.between(written, wallClock.instant());
    return elapsed.isNegative() ? Duration.ZERO : elapsed;
  }
}
