package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.misc.ClockReadings;

/**
 * Checks that a control instance stops taking part and reports no majority when its disk fails, and
 * that a new one resumes from the state on disk.
 */
class RoutingControlTest {
  private static final String SELF = "10.0.0.1:7660";

  /** Longer than a start waits for its disk, on a busy machine. */
  private static final long MAX_WAIT_SECONDS = 5;

  @TempDir private Path folder;

  private RoutingControl open(Set<String> founders, DurableFile.Sync disk) {
    return new RoutingControl(
        SELF, folder, founders, 0, (to, m) -> {}, state -> {}, disk, RoutingControlTest::clocks);
  }

  private static ClockReadings clocks() {
    Instant now = Instant.ofEpochMilli(ConsensusDriver.monotonicMillis());
    return new ClockReadings(now, now);
  }

  private static ChangeResult await(Future<ChangeResult> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private static void await(RoutingControl control, boolean inMajority) throws Exception {
    for (int i = 0; i < 250 && control.view().inMajority() != inMajority; i++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(control.view().inMajority(), equalTo(inMajority));
  }

  private static ChangeResult submit(RoutingControl control, long version) throws Exception {
    ChangeResult result = new ChangeResult.Unknown();
    for (int i = 0; i < 100 && !(result instanceof ChangeResult.Accepted); i++) {
      TimeUnit.MILLISECONDS.sleep(20);
      result =
          await(
              control.submit(
                  new Command.RoutingChange(version, "v" + version), Duration.ofMillis(300)));
    }
    return result;
  }

  private static DurableFile.Sync failingWhile(AtomicBoolean diskFull) {
    return (path, channel) -> {
      if (diskFull.get()) {
        throw new IOException("no space left");
      }
      channel.force(true);
    };
  }

  @Test
  void diskFailureLosesMajorityUntilFolderIsReopened() throws Exception {
    AtomicBoolean diskFull = new AtomicBoolean();
    try (RoutingControl control = open(Set.of(SELF), failingWhile(diskFull))) {
      assertThat(submit(control, 5), instanceOf(ChangeResult.Accepted.class));
      assertThat(control.view().inMajority(), equalTo(true));

      diskFull.set(true);
      ChangeResult result =
          await(control.submit(new Command.RoutingChange(6, "v6"), Duration.ofSeconds(2)));
      assertThat(result, instanceOf(ChangeResult.Unknown.class));
      await(control, /* inMajority= */ false);

      diskFull.set(false);
      await(control, /* inMajority= */ true);
      assertThat(submit(control, 7), instanceOf(ChangeResult.Accepted.class));
      assertThat(control.view().routing().document(), equalTo("v7"));
    }
  }

  /** Guards against a start that fails while the disk refuses writes. */
  @Test
  void startsWhileDiskRefusesWrites() throws Exception {
    AtomicBoolean diskFull = new AtomicBoolean(true);
    try (RoutingControl control = open(Set.of(SELF), failingWhile(diskFull))) {
      assertThat(control.storage(), equalTo(StorageState.FAILED));
      assertThat(
          await(control.submit(new Command.RoutingChange(5, "v5"), Duration.ofSeconds(1))),
          instanceOf(ChangeResult.NotLeader.class));
      diskFull.set(false);
      await(control, /* inMajority= */ true);
      assertThat(submit(control, 5), instanceOf(ChangeResult.Accepted.class));
    }
  }

  /** Guards against a folder that is never opened again after an error of the virtual machine. */
  @Test
  void opensAgainAfterError() throws Exception {
    AtomicInteger failingSyncs = new AtomicInteger();
    DurableFile.Sync disk =
        (path, channel) -> {
          int failing = failingSyncs.getAndUpdate(n -> Math.max(0, n - 1));
          if (failing == 2) {
            throw new IOException("no space left");
          } else if (failing == 1) {
            throw new OutOfMemoryError("Cannot reserve direct buffer memory");
          }
        };
    try (RoutingControl control = open(Set.of(SELF), disk)) {
      assertThat(submit(control, 5), instanceOf(ChangeResult.Accepted.class));
      failingSyncs.set(2);
      await(control.submit(new Command.RoutingChange(6, "v6"), Duration.ofSeconds(2)));
      await(control, /* inMajority= */ false);
      await(control, /* inMajority= */ true);
      assertThat(submit(control, 7), instanceOf(ChangeResult.Accepted.class));
    }
  }

  /**
   * Guards against entries that are acknowledged after a sync that did not write them, at the start
   * and later.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void writesAgainWhatFailedSyncMayHaveLost(boolean atStart) throws Exception {
    ForgettingDisk disk = new ForgettingDisk();
    try (RoutingControl control = open(Set.of(SELF), disk)) {
      assertThat(submit(control, 5), instanceOf(ChangeResult.Accepted.class));
      if (!atStart) {
        disk.failSyncs(1);
        await(control.submit(new Command.RoutingChange(6, "v6"), Duration.ofSeconds(2)));
        await(control, /* inMajority= */ false);
        await(control, /* inMajority= */ true);
        assertThat(submit(control, 7), instanceOf(ChangeResult.Accepted.class));
      }
    }
    if (atStart) {
      try (DurableLog killed = DurableLog.open(folder, false, (path, channel) -> {})) {
        killed.append(List.of(routingEntry(killed, 7)));
      }
      disk.failSyncs(1);
      try (RoutingControl control = open(Set.of(), disk)) {
        await(control, /* inMajority= */ true);
        // Accepted once the entry of this version, which is in the log, is committed.
        assertThat(submit(control, 7), instanceOf(ChangeResult.Accepted.class));
      }
    }
    disk.losePower(folder);
    try (RoutingControl control = open(Set.of(), disk)) {
      await(control, /* inMajority= */ true);
      assertThat(control.view().routing().document(), equalTo("v7"));
    }
  }

  private static LogEntry routingEntry(DurableLog log, long version) {
    LogEntry last = log.entries().get(log.entries().size() - 1);
    return new LogEntry(
        last.index() + 1,
        last.term(),
        last.version(),
        new Command.RoutingChange(version, "v" + version));
  }

  /** Guards against an event loop that waits for a disk that does not respond. */
  @Test
  void startsWhileDiskDoesNotRespond() throws Exception {
    UnresponsiveFile hardState = UnresponsiveFile.create(folder.resolve("hard-state"));
    long startNanos = System.nanoTime();
    try (RoutingControl control = open(Set.of(SELF), DurableFile.FORCE_TO_DISK)) {
      assertThat(
          TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos),
          lessThan(MAX_WAIT_SECONDS));
      assertThat(control.storage(), equalTo(StorageState.OPENING));
      assertThat(control.view().inMajority(), equalTo(false));
      assertThat(
          await(control.submit(new Command.RoutingChange(5, "v5"), Duration.ofSeconds(1))),
          instanceOf(ChangeResult.NotLeader.class));
      hardState.close();
      await(control, /* inMajority= */ true);
      assertThat(control.storage(), equalTo(StorageState.OPEN));
      assertThat(submit(control, 5), instanceOf(ChangeResult.Accepted.class));
    }
  }
}
