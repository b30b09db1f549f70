package org.lacewingcroft.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.peer.LoopbackPorts;

/** Settings of a single entry for tests: in the region north, without seeds and a data folder. */
public final class EntrySettings {
  /** Bounds without a revocation delay. */
  static final FleetBounds BOUNDS =
      new FleetBounds(
          Duration.ofSeconds(8),
          Duration.ofSeconds(5),
          1,
          100,
          Duration.ofSeconds(10),
          1.5,
          3,
          Optional.empty());

  private EntrySettings() {}

  /** Creates the settings of an entry of a new fleet of one failure domain, on free ports. */
  static FleetSettings onFreePorts(String name) throws IOException {
    return of(
        name,
        Map.of("north-a", "north"),
        LoopbackPorts.allocatePort(),
        LoopbackPorts.allocatePort(),
        true,
        Duration.ofMillis(300),
        BOUNDS);
  }

  /** Creates the settings of an entry in the failure domain north-a. */
  public static FleetSettings of(
      String name,
      Map<String, String> regionByDomain,
      int peerPort,
      int relayPort,
      boolean firstStart,
      Duration heartbeat,
      FleetBounds bounds) {
    return new FleetSettings(
        name,
        "127.0.0.1",
        "north",
        "north-a",
        regionByDomain,
        peerPort,
        relayPort,
        List.of(),
        Optional.empty(),
        firstStart,
        0,
        Optional.empty(),
        heartbeat,
        bounds,
        Optional.empty(),
        ActiveEntriesMode.AUTO,
        Set.of(),
        "a secret of the test".getBytes());
  }
}
