package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.LoopbackPorts;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;
import org.lacewingcroft.route.RouteTable;

/**
 * Checks the entry lists that a control instance sends. After a network partition ends, entries
 * report one after the other to a control instance that has not received their reports for a while;
 * it must not publish the partial list of those that have reported so far.
 */
class EntryListTest {
  /** Longer than a control instance takes after its start to consider its roster complete. */
  private static final Duration ROSTER_COMPLETE_TIME = Duration.ofSeconds(1);

  /** Interval between two reports of an entry. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  private static final int ROUNDS = 5;

  /** Real time for one message to arrive; the first ones took 3.1 s on a machine under load 31. */
  private static final Duration MESSAGE_TIMEOUT = Duration.ofSeconds(15);

  @TempDir private Path dataDir;

  /**
   * The time of the control instance, which advances only between reports, so that the result does
   * not depend on how long messages take.
   */
  private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);

  private void advance(Duration time) {
    now.updateAndGet(instant -> instant.plus(time));
  }

  /** An entry that only sends reports and records the entry lists that it receives. */
  private static final class ReportingEntry implements AutoCloseable {
    private final PeerTransport transport;
    private final EntryInfo info;
    private final List<FleetMessage.EntryList> lists =
        Collections.synchronizedList(new ArrayList<>());
    private volatile long lastReplyId;

    private ReportingEntry(Vertx vertx, String name) throws Exception {
      int port = LoopbackPorts.allocatePort();
      transport = new PeerTransport(vertx, new FrameCodec(FleetHarness.SECRET));
      info = new EntryInfo(name, "north", "north-a", "p", "127.0.0.1:" + port, "r");
      transport
          .listen("127.0.0.1", port, (timestamp, message) -> record(message))
          .toCompletionStage()
          .toCompletableFuture()
          .get(5, TimeUnit.SECONDS);
    }

    private void record(PeerMessage message) {
      if (!(message instanceof PeerMessage.Fleet fleet)) {
        return;
      }
      if (fleet.message() instanceof FleetMessage.EntryList list) {
        lists.add(list);
      } else if (fleet.message() instanceof FleetMessage.ControlPulse pulse) {
        lastReplyId = pulse.reportId();
      }
    }

    private void awaitReply(long reportId) throws InterruptedException {
      await(() -> lastReplyId == reportId);
      assertThat(info.name() + " last reply", lastReplyId, is(reportId));
    }

    private void report(FleetHarness harness, boolean following, long reportId) {
      FleetMessage report =
          new FleetMessage.EntryReport(
              info, true, following, 0, 0, /* entriesDigest= */ 12345, 0, reportId);
      transport.send(harness.controlAddress(), new PeerMessage.Fleet(report));
    }

    @Override
    public void close() {
      transport.close();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {6})
  void partialListIsNotPublished(int entries) throws Exception {
    List<ReportingEntry> reporting = new ArrayList<>();
    try (FleetHarness harness =
        new FleetHarness(dataDir, Map.of(1L, RouteTable.EMPTY), FleetHarness.BOUNDS, now::get)) {
      for (int i = 0; i < entries; i++) {
        reporting.add(new ReportingEntry(harness.vertx(), "north-" + i));
      }
      advance(ROSTER_COMPLETE_TIME);
      for (long round = 1; round <= ROUNDS; round++) {
        for (ReportingEntry entry : reporting) {
          entry.report(harness, true, round);
          entry.awaitReply(round);
          advance(REPORT_INTERVAL.dividedBy(entries));
        }
      }
      ReportingEntry first = reporting.get(0);
      await(() -> !first.lists.isEmpty());
      assertThat(first.lists.isEmpty(), is(false));
      for (ReportingEntry entry : reporting) {
        for (FleetMessage.EntryList list : List.copyOf(entry.lists)) {
          assertThat(list.entries().size(), is(entries));
        }
      }
    } finally {
      reporting.forEach(ReportingEntry::close);
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    Instant deadline = Instant.now().plus(MESSAGE_TIMEOUT);
    while (!condition.getAsBoolean() && Instant.now().isBefore(deadline)) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3})
  void nonFollowingEntryReceivesNoLists(int entries) throws Exception {
    List<ReportingEntry> reporting = new ArrayList<>();
    try (FleetHarness harness = new FleetHarness(dataDir, Map.of(1L, RouteTable.EMPTY))) {
      for (int i = 0; i < entries; i++) {
        reporting.add(new ReportingEntry(harness.vertx(), "north-" + i));
      }
      for (int round = 0; round < 8; round++) {
        reporting.forEach(e -> e.report(harness, false, 0));
        TimeUnit.MILLISECONDS.sleep(400);
      }
      assertThat(reporting.get(0).lists, is(empty()));
    } finally {
      reporting.forEach(ReportingEntry::close);
    }
  }
}
