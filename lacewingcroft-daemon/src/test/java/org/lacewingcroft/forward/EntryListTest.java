package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
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
  private static final long ROSTER_COMPLETE_MILLIS = 1_000;

  @TempDir private Path dataDir;

  /** An entry that only sends reports and records the entry lists that it receives. */
  private static final class ReportingEntry implements AutoCloseable {
    private final PeerTransport transport;
    private final EntryInfo info;
    private final List<FleetMessage.EntryList> lists =
        Collections.synchronizedList(new ArrayList<>());

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
      if (message instanceof PeerMessage.Fleet fleet
          && fleet.message() instanceof FleetMessage.EntryList list) {
        lists.add(list);
      }
    }

    private void report(FleetHarness harness, boolean following) {
      FleetMessage report =
          new FleetMessage.EntryReport(
              info, true, following, 0, 0, /* entriesDigest= */ 12345, 0, 0);
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
    try (FleetHarness harness = new FleetHarness(dataDir, Map.of(1L, RouteTable.EMPTY))) {
      for (int i = 0; i < entries; i++) {
        reporting.add(new ReportingEntry(harness.vertx(), "north-" + i));
      }
      TimeUnit.MILLISECONDS.sleep(ROSTER_COMPLETE_MILLIS);
      for (int round = 0; round < 5; round++) {
        for (ReportingEntry entry : reporting) {
          entry.report(harness, true);
          TimeUnit.MILLISECONDS.sleep(500 / entries);
        }
      }
      for (ReportingEntry entry : reporting) {
        for (FleetMessage.EntryList list : List.copyOf(entry.lists)) {
          assertThat(list.entries().size(), is(entries));
        }
      }
      assertThat(reporting.get(0).lists.isEmpty(), is(false));
    } finally {
      reporting.forEach(ReportingEntry::close);
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
        reporting.forEach(e -> e.report(harness, false));
        TimeUnit.MILLISECONDS.sleep(400);
      }
      assertThat(reporting.get(0).lists, is(empty()));
    } finally {
      reporting.forEach(ReportingEntry::close);
    }
  }
}
