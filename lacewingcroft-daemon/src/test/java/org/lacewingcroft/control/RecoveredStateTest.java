package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.misc.ClockReadings;

/**
 * Guards against a control instance that shows the state of its disk, or confirms the state of
 * entries, before it knows what was committed while it did not run.
 */
class RecoveredStateTest {
  private static final String SELF = "10.0.0.1:7660";
  private static final String LEADER = "10.0.0.2:7660";
  private static final Set<String> GROUP = Set.of(SELF, LEADER, "10.0.0.3:7660");
  private static final long TERM = 7;
  private static final long VERSION = 5;

  /** Longer than an election that the instance would begin without a leader. */
  private static final Duration LONG = Duration.ofMinutes(1);

  @TempDir private Path folder;
  private volatile long wallStepMillis;
  private final BlockingQueue<ConsensusMessage.AppendResponse> responses =
      new LinkedBlockingQueue<>();

  private ClockReadings clocks() {
    Instant monotonic = Instant.ofEpochMilli(ConsensusDriver.monotonicMillis());
    return new ClockReadings(monotonic, monotonic.plusMillis(wallStepMillis));
  }

  private RoutingControl open() {
    return new RoutingControl(
        SELF,
        folder,
        GROUP,
        1,
        (to, message) -> {
          if (message instanceof ConsensusMessage.AppendResponse response) {
            responses.add(response);
          }
        },
        state -> {},
        DurableFile.FORCE_TO_DISK,
        this::clocks);
  }

  /** Sends a request of the leader and returns the instance's response to it. */
  private ConsensusMessage.AppendResponse append(
      RoutingControl control, List<LogEntry> entries, long session, OptionalLong currentAtMillis)
      throws Exception {
    responses.clear();
    long previousIndex = entries.isEmpty() ? 1 : 0;
    control.receive(
        LEADER,
        new ConsensusMessage.AppendRequest(
            TERM,
            previousIndex,
            entries.isEmpty() ? TERM : 0,
            entries,
            1,
            session,
            OptionalLong.of(0),
            currentAtMillis));
    ConsensusMessage.AppendResponse response = responses.poll(10, TimeUnit.SECONDS);
    // The view is updated after the messages of a step were sent.
    TimeUnit.MILLISECONDS.sleep(50);
    return response;
  }

  private ConsensusMessage.AppendResponse appendDocument(RoutingControl control) throws Exception {
    LogEntry entry = new LogEntry(1, TERM, 0, new Command.RoutingChange(VERSION, "document"));
    return append(control, List.of(entry), 0, OptionalLong.empty());
  }

  @Test
  void stateIsShownOnceItIsKnownToBeCurrent() throws Exception {
    try (RoutingControl control = open()) {
      ConsensusMessage.AppendResponse response = appendDocument(control);
      assertThat(control.view().routing().version(), is(0L));
      assertThat(control.isCurrent(LONG), is(false));

      append(control, List.of(), response.session(), response.sentAtMillis());
      assertThat(control.view().routing().version(), is(VERSION));
      assertThat(control.isCurrent(LONG), is(true));
    }
  }

  /** Heartbeats alone do not prove that nothing newer was committed. */
  @Test
  void heartbeatsWithoutConfirmationDoNotKeepTheStateCurrent() throws Exception {
    Duration maxAge = Duration.ofMillis(400);
    try (RoutingControl control = open()) {
      ConsensusMessage.AppendResponse response = appendDocument(control);
      for (long elapsedMillis = 0; elapsedMillis < maxAge.toMillis(); elapsedMillis += 50) {
        append(control, List.of(), response.session(), response.sentAtMillis());
      }
      assertThat(control.view().inMajority(), is(true));
      assertThat(control.isCurrent(maxAge), is(false));
      assertThat(control.isCurrent(LONG), is(true));
    }
  }

  /**
   * The monotonic clock stands still while the machine is suspended, and messages that arrived
   * meanwhile are read afterwards.
   */
  @ParameterizedTest
  @ValueSource(longs = {4_000, -4_000})
  void stateIsNotCurrentAfterSuspensionUntilConfirmedAgain(long stepMillis) throws Exception {
    try (RoutingControl control = open()) {
      ConsensusMessage.AppendResponse before = appendDocument(control);
      append(control, List.of(), before.session(), before.sentAtMillis());
      assertThat(control.isCurrent(LONG), is(true));

      wallStepMillis = stepMillis;
      assertThat(control.isCurrent(LONG), is(false));
      ConsensusMessage.AppendResponse after =
          append(control, List.of(), before.session(), before.sentAtMillis());
      assertThat(control.isCurrent(LONG), is(false));
      TimeUnit.MILLISECONDS.sleep(10);
      after = append(control, List.of(), after.session(), after.sentAtMillis());
      append(control, List.of(), after.session(), after.sentAtMillis());
      assertThat(control.isCurrent(LONG), is(true));
    }
  }

  /** A confirmation from before the restart says nothing about the state of the new process. */
  @Test
  void confirmationOfAnEarlierSessionIsIgnored() throws Exception {
    try (RoutingControl control = open()) {
      ConsensusMessage.AppendResponse response = appendDocument(control);
      append(control, List.of(), response.session() + 1, response.sentAtMillis());
      assertThat(control.view().hasCaughtUp(), is(false));
    }
  }
}
