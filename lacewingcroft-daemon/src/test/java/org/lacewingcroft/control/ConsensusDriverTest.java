package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.sameInstance;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.ConsensusTiming;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.LogLimits;

/** Guards against a member of the control group that stops without a report. */
class ConsensusDriverTest {
  private static final ConsensusDriver.Listener NO_LISTENER =
      new ConsensusDriver.Listener() {
        @Override
        public void send(String to, ConsensusMessage message) {}

        @Override
        public void onStep(ConsensusMember member, List<LogEntry> committed) {}
      };

  @TempDir private Path dataDir;

  private static ConsensusMember onlyMember(DurableLog log) {
    return new ConsensusMember(
        "a",
        List.of("a"),
        ConsensusTiming.DEFAULT,
        LogLimits.DEFAULT,
        log,
        new SplittableRandom(1),
        0);
  }

  static Stream<Throwable> failures() {
    return Stream.of(new IllegalStateException("disk"), new StackOverflowError());
  }

  @ParameterizedTest
  @MethodSource("failures")
  void reportsWhatEndsPeriodicStep(Throwable failure) throws Exception {
    DurableLog log = DurableLog.open(dataDir, true);
    ConsensusMember member = onlyMember(log);
    CompletableFuture<Throwable> reported = new CompletableFuture<>();
    ConsensusDriver driver = new ConsensusDriver(member, log, NO_LISTENER, reported::complete);
    driver.scheduleRepeatedly(
        1,
        now -> {
          if (failure instanceof Error e) {
            throw e;
          }
          throw (RuntimeException) failure;
        });
    assertThat(reported.get(10, TimeUnit.SECONDS), sameInstance(failure));
    driver.close();
  }

  /** A disk that waits for a signal at each sync, and then fails. */
  private static final class HangingDisk implements DurableFile.Sync {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean hanging;

    @Override
    public void force(Path path, FileChannel channel) throws IOException {
      if (!hanging) {
        return;
      }
      reached.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      throw new IOException("disk failure");
    }
  }

  /** Guards against an operator's change that is never answered because the disk hangs or fails. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void decidesProposalsWhileDiskHangs(boolean failsBeforeTimeout) throws Exception {
    HangingDisk disk = new HangingDisk();
    DurableLog log = DurableLog.open(dataDir, true, disk);
    ConsensusMember member = onlyMember(log);
    member.tick(0);
    ConsensusDriver driver = new ConsensusDriver(member, log, NO_LISTENER, failure -> {});
    disk.hanging = true;
    Duration timeout = Duration.ofMillis(failsBeforeTimeout ? 60_000 : 200);
    List<Future<ChangeResult>> results = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      Command.Noop command = new Command.Noop();
      results.add(driver.propose((id, now) -> member.submit(id, command, now), timeout));
    }
    disk.reached.await();
    if (failsBeforeTimeout) {
      disk.released.countDown();
    }
    for (Future<ChangeResult> result : results) {
      assertThat(
          result.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS),
          instanceOf(ChangeResult.Unknown.class));
    }
    disk.released.countDown();
    driver.close();
  }
}
