package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConfigState;
import org.lacewingcroft.consensus.HardState;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.Snapshot;

/**
 * Guards against a start that fails, or forgets what was synced, because of what a loss of power at
 * any sync leaves of a data folder.
 *
 * <p>More seeds are run with {@code -DpowerLoss.first=N -DpowerLoss.seeds=N}.
 */
class PowerLossTest {
  private static final long FIRST_SEED = Long.getLong("powerLoss.first", 1);
  private static final int SEEDS = Integer.getInteger("powerLoss.seeds", 1_000);
  private static final int SEEDS_PER_ROW = 250;
  private static final int LOSSES = 4;
  private static final int MAX_SYNCS = 24;
  private static final DurableFile.Sync NO_SYNC = (path, channel) -> {};

  /** What a log contains. */
  private record Content(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
    static Content of(DurableLog log) {
      return new Content(log.hardState(), log.snapshot(), log.entries());
    }

    long lastIndex() {
      return snapshot.lastIndex() + entries.size();
    }

    Content withEntries(List<LogEntry> changed) {
      return new Content(hardState, snapshot, List.copyOf(changed));
    }
  }

  @TempDir private Path folder;
  private Random random;
  private Content content;
  private long term;

  static LongStream firstSeeds() {
    return LongStream.iterate(FIRST_SEED, s -> s < FIRST_SEED + SEEDS, s -> s + SEEDS_PER_ROW);
  }

  @ParameterizedTest
  @MethodSource("firstSeeds")
  void keepsWhatWasSynced(long firstSeed) throws IOException {
    long end = Math.min(firstSeed + SEEDS_PER_ROW, FIRST_SEED + SEEDS);
    for (long seed = firstSeed; seed < end; seed++) {
      try {
        losePowerRepeatedly(seed);
      } catch (IOException | RuntimeException | AssertionError e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  private void losePowerRepeatedly(long seed) throws IOException {
    random = new Random(seed);
    term = 1;
    Path current = folder.resolve(seed + "-0");
    try (DurableLog log = DurableLog.open(current, /* bootstrap= */ true, NO_SYNC)) {
      log.save(log.hardState().withVote(1, Optional.of("a")));
      content = Content.of(log);
    }
    for (int loss = 1; loss <= LOSSES; loss++) {
      Path remainder = folder.resolve(seed + "-" + loss);
      List<Content> possible;
      try (SimulatedDisk disk = new SimulatedDisk(current, random)) {
        disk.failAtSync(1 + random.nextInt(MAX_SYNCS));
        possible = runUntilPowerLoss(current, disk);
        disk.writeRemainderTo(remainder);
      }
      try (DurableLog recovered = DurableLog.open(copyOf(remainder), false, NO_SYNC)) {
        content = Content.of(recovered);
        assertThat(possible, hasItem(content));
      }
      current = remainder;
    }
  }

  /** Copies a folder, so that the next run recovers it as the loss of power left it. */
  private static Path copyOf(Path folder) throws IOException {
    Path copy = Files.createDirectory(folder.resolveSibling(folder.getFileName() + "-copy"));
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.copy(file, copy.resolve(file.getFileName()));
      }
    }
    return copy;
  }

  /** Returns the contents of which one must be there afterwards. */
  private List<Content> runUntilPowerLoss(Path dataDir, SimulatedDisk disk) {
    List<Content> possible = List.of(content);
    try (DurableLog log = DurableLog.open(dataDir, /* bootstrap= */ false, disk)) {
      if (random.nextBoolean()) {
        log.writeAgain();
      }
      while (true) {
        Content before = Content.of(log);
        possible = new ArrayList<>(List.of(before));
        change(log, before, possible);
      }
    } catch (SimulatedDisk.PowerLossException e) {
      return possible;
    } catch (IOException | UncheckedIOException e) {
      if (e.getCause() instanceof SimulatedDisk.PowerLossException) {
        return possible;
      }
      throw new AssertionError(e);
    }
  }

  /** Changes a log, after adding the contents that a loss of power during the change may leave. */
  private void change(DurableLog log, Content before, List<Content> possible) {
    switch (random.nextInt(6)) {
      case 0 -> {
        term++;
        HardState next = before.hardState().withVote(term, Optional.of("b"));
        possible.add(new Content(next, before.snapshot(), before.entries()));
        log.save(next);
      }
      case 1 -> truncate(log, before, possible);
      case 2 -> compact(log, before, possible);
      case 3 -> installSnapshot(log, before, possible);
      default -> append(log, before, possible);
    }
  }

  private void append(DurableLog log, Content before, List<Content> possible) {
    List<LogEntry> batch = new ArrayList<>();
    List<LogEntry> all = new ArrayList<>(before.entries());
    int count = 1 + random.nextInt(5);
    for (int i = 1; i <= count; i++) {
      LogEntry entry = entry(before.lastIndex() + i);
      batch.add(entry);
      all.add(entry);
      possible.add(before.withEntries(all));
    }
    log.append(batch);
  }

  private LogEntry entry(long index) {
    String document = "x".repeat(random.nextInt(3) == 0 ? 3_000 : random.nextInt(300));
    return new LogEntry(index, term, index, new Command.ConfigChange("c" + index, document));
  }

  private void truncate(DurableLog log, Content before, List<Content> possible) {
    if (!before.entries().isEmpty()) {
      int retained = random.nextInt(before.entries().size());
      // The entries that replace truncated ones are those of a later leader.
      term++;
      for (int i = retained; i < before.entries().size(); i++) {
        possible.add(before.withEntries(before.entries().subList(0, i)));
      }
      log.truncateFrom(before.snapshot().lastIndex() + retained + 1);
    }
  }

  private void compact(DurableLog log, Content before, List<Content> possible) {
    if (!before.entries().isEmpty()) {
      int covered = 1 + random.nextInt(before.entries().size());
      LogEntry last = before.entries().get(covered - 1);
      List<LogEntry> tail = List.copyOf(before.entries().subList(covered, before.entries().size()));
      Snapshot snapshot = new Snapshot(last.index(), last.term(), ConfigState.EMPTY);
      possible.add(new Content(before.hardState(), snapshot, tail));
      log.compact(snapshot, tail);
    }
  }

  /** Replaces the log by a snapshot of a later leader, as if all entries had been superseded. */
  private void installSnapshot(DurableLog log, Content before, List<Content> possible) {
    if (random.nextInt(4) == 0) {
      term++;
      long lastIndex = before.snapshot().lastIndex() + 1 + random.nextInt(6);
      Snapshot snapshot = new Snapshot(lastIndex, term, ConfigState.EMPTY);
      possible.add(new Content(before.hardState(), snapshot, List.of()));
      log.compact(snapshot, List.of());
    }
  }
}
