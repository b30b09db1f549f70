package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.sameInstance;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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

  static Stream<Throwable> failures() {
    return Stream.of(new IllegalStateException("disk"), new StackOverflowError());
  }

  @ParameterizedTest
  @MethodSource("failures")
  void reportsWhatEndsPeriodicStep(Throwable failure) throws Exception {
    DurableLog log = DurableLog.open(dataDir, true);
    ConsensusMember member =
        new ConsensusMember(
            "a",
            List.of("a"),
            ConsensusTiming.DEFAULT,
            LogLimits.DEFAULT,
            log,
            new SplittableRandom(1),
            0);
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
}
