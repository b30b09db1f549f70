package org.lacewingcroft.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.lacewingcroft.control.DurableFile;
import org.lacewingcroft.quarantine.Suspicion;

/**
 * Keeps recurring contents on a control instance's disk, for when all instances restart at once and
 * none is left to tell the others. Each record is a {@link FleetMessage.SuspicionUpdate} with one
 * content; the first names the time of writing in milliseconds since 1970 as its call id.
 */
final class SuspicionStore {
  private static final String FILE = "suspicions";

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
    DurableFile.replace(
        file,
        List.of(
            FleetCodec.encode(
                new FleetMessage.SuspicionUpdate("", wallClock.millis(), suspicions))));
  }

  /**
   * Returns what was kept, aged by the time since it was written.
   *
   * @throws IOException if it cannot be read
   */
  List<Suspicion> load() throws IOException {
    List<Suspicion> kept = new ArrayList<>();
    for (byte[] payload : DurableFile.read(file).payloads()) {
      if (FleetCodec.decode(payload) instanceof FleetMessage.SuspicionUpdate saved) {
        Duration since = since(Instant.ofEpochMilli(saved.callId()));
        saved.suspicions().forEach(s -> kept.add(s.agedBy(since)));
      }
    }
    return kept;
  }

  /** Clocks step; nothing was written in the future. */
  private Duration since(Instant written) {
    Duration since = Duration.between(written, wallClock.instant());
    return since.isNegative() ? Duration.ZERO : since;
  }
}
