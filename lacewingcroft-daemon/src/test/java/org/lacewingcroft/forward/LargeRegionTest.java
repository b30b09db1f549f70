package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.peer.PeerTraffic;
import org.lacewingcroft.placement.EndpointRoom;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.placement.PromptPart;
import org.lacewingcroft.placement.ReportedLoad;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/** Checks that the entries of a large region exchange their updates through a control instance. */
class LargeRegionTest {
  private static final String SERVICE = "model";
  private static final int LARGE_REGION_ENTRIES = 12;
  private static final long KV_TOKENS = 100_000;
  private static final long REPORT_INTERVAL_MILLIS = 120;
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(6);

  @TempDir private Path dataDir;

  /** A fleet with several entries in the north, one in the south, and one endpoint in the north. */
  private final class Fleet implements AutoCloseable {
    private final FleetHarness harness;
    private final List<FleetHarness.Entry> north = new ArrayList<>();
    private final FleetHarness.Entry south;

    private Fleet(int northEntries) throws Exception {
      ServiceSpec.Engine engine = new ServiceSpec.Engine(8, KV_TOKENS, 1, 1_000, 1_000);
      ServiceSpec service =
          new ServiceSpec(SERVICE, 100, Duration.ZERO, 0, Optional.empty(), Optional.of(engine));
      RouteTable table =
          new RouteTable(
              1,
              List.of(
                  FleetHarness.routeTo(SERVICE, RouteKind.STREAM, false, 1, Duration.ofSeconds(5))),
              List.of(service),
              RequestLimits.DEFAULT);
      harness = new FleetHarness(dataDir, Map.of(1L, table));
      harness.activateRouteTable(1);
      for (int i = 0; i < northEntries; i++) {
        north.add(harness.startEntry("north-" + i, "north"));
      }
      south = harness.startEntry("south-0", "south");
      harness.keepAnnouncing("e1", SERVICE, "north", 1);
      for (FleetHarness.Entry entry : all()) {
        harness.awaitReady(entry);
        harness.awaitEndpoints(entry, SERVICE, 1);
        await(entry, e -> e.node().entries().size() == northEntries + 1);
      }
    }

    private List<FleetHarness.Entry> all() {
      List<FleetHarness.Entry> all = new ArrayList<>(north);
      all.add(south);
      return all;
    }

    private void await(FleetHarness.Entry entry, Predicate<FleetHarness.Entry> condition)
        throws Exception {
      Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
      while (!harness.onContext(() -> Future.succeededFuture(condition.test(entry)))) {
        if (Instant.now().isAfter(deadline)) {
          throw new AssertionError(entry.node().name() + " has not received the update");
        }
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }

    private EndpointTracker endpoint(FleetHarness.Entry entry) {
      return entry.node().endpoints().iterator().next();
    }

    /**
     * Records that an entry has sent a prompt to the endpoint and that the endpoint has prefilled
     * it.
     */
    private void recordServed(FleetHarness.Entry entry, PlacementRequest request) throws Exception {
      harness.onContext(
          () -> {
            EndpointTracker tracker = endpoint(entry);
            tracker.startRequest(request, 0, KV_TOKENS, Instant.now());
            entry.node().requestSent(tracker, request.promptTokens());
            entry.node().recordPrefix(tracker, request);
            return Future.succeededFuture();
          });
    }

    private void recordReportedLoad(FleetHarness.Entry entry, ReportedLoad load) throws Exception {
      harness.onContext(
          () -> {
            endpoint(entry).recordReportedLoad(load);
            return Future.succeededFuture();
          });
    }

    private long sentOfKind(FleetHarness.Entry entry, String kind) {
      PeerTraffic.Totals totals = entry.node().traffic().totals().get(kind);
      return totals == null ? 0 : totals.sent();
    }

    private long messageCount(FleetHarness.Entry entry) {
      return entry.node().traffic().totals().values().stream()
          .mapToLong(t -> t.sent() + t.received())
          .sum();
    }

    private long messageCountOfKind(FleetHarness.Entry entry, String kind) {
      PeerTraffic.Totals totals = entry.node().traffic().totals().get(kind);
      return totals == null ? 0 : totals.sent() + totals.received();
    }

    @Override
    public void close() throws Exception {
      harness.close();
    }
  }

  private static PlacementRequest prompt(String shared) {
    return new PlacementRequest(
        SERVICE,
        0,
        6_000,
        10,
        List.of(new PromptPart(shared, 5_000), new PromptPart("own", 1_000)),
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        Set.of());
  }

  @ParameterizedTest
  @ValueSource(ints = {3, LARGE_REGION_ENTRIES})
  void allEntriesReceiveLoadAndPrefixes(int entries) throws Exception {
    try (Fleet fleet = new Fleet(entries)) {
      PlacementRequest request = prompt("contract");
      fleet.recordServed(fleet.north.get(1), request);
      for (FleetHarness.Entry entry : fleet.all()) {
        fleet.await(
            entry, e -> fleet.endpoint(e).fetchableTokens(request) == request.sharedTokens());
      }
      for (FleetHarness.Entry entry : fleet.north) {
        fleet.await(entry, e -> fleet.endpoint(e).totalInFlight(Instant.now()) == 1);
      }
    }
  }

  /**
   * Guards against load reports of endpoints that reach only the entry that received them, or an
   * entry of another region, and against more than one message per interval.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, LARGE_REGION_ENTRIES})
  void allEntriesOfRegionReceiveReportedLoad(int entries) throws Exception {
    try (Fleet fleet = new Fleet(entries)) {
      final long startNanos = System.nanoTime();
      for (int i = 0; i < 40; i++) {
        fleet.recordReportedLoad(fleet.north.get(1), new ReportedLoad(8, i, 8, 130, Instant.now()));
        TimeUnit.MILLISECONDS.sleep(5);
      }
      final long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      for (FleetHarness.Entry entry : fleet.north) {
        fleet.await(entry, e -> fleet.endpoint(e).room(Instant.now()) == EndpointRoom.QUEUE);
      }
      assertThat(fleet.endpoint(fleet.south).room(Instant.now()), is(EndpointRoom.UNKNOWN));
      TimeUnit.MILLISECONDS.sleep(500);
      int receivers = entries == LARGE_REGION_ENTRIES ? 1 : entries - 1;
      // A part of an interval at the start and one at the end.
      long maxMessages = receivers * (elapsedMillis / REPORT_INTERVAL_MILLIS + 2);
      assertThat(
          fleet.sentOfKind(fleet.north.get(1), "EndpointReports"), lessThanOrEqualTo(maxMessages));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {LARGE_REGION_ENTRIES})
  void largeRegionSendsNoDirectUpdates(int entries) throws Exception {
    try (Fleet fleet = new Fleet(entries)) {
      TimeUnit.MILLISECONDS.sleep(700);
      final long directBefore = fleet.messageCountOfKind(fleet.north.get(0), "LoadReport");
      final long before = fleet.messageCount(fleet.north.get(0));
      for (int i = 0; i < 20; i++) {
        for (FleetHarness.Entry entry : fleet.north) {
          fleet.recordServed(entry, prompt("p" + i));
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
      long direct = fleet.messageCountOfKind(fleet.north.get(0), "LoadReport") - directBefore;
      assertThat(direct, is(0L));
      long all = fleet.messageCount(fleet.north.get(0)) - before;
      // 20 updates sent immediately, at most one digest per 40 ms, entry reports and heartbeat
      // replies.
      assertThat(all, lessThan(120L));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {LARGE_REGION_ENTRIES})
  void entriesSendDirectUpdatesWithoutControlInstances(int entries) throws Exception {
    try (Fleet fleet = new Fleet(entries)) {
      fleet.harness.control().close();
      TimeUnit.MILLISECONDS.sleep(1_500);
      fleet.recordServed(fleet.north.get(0), prompt("contract"));
      for (FleetHarness.Entry entry : fleet.north) {
        fleet.await(entry, e -> fleet.endpoint(e).totalInFlight(Instant.now()) == 1);
      }
    }
  }
}
