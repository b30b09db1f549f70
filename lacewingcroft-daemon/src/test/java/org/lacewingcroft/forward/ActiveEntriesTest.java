package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.EntryCapacity;
import org.lacewingcroft.peer.PeerTraffic;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Checks the list of a region with entries on standby, with entries in this process. */
class ActiveEntriesTest {
  private static final String SERVICE = "plain";
  private static final int ENTRIES = 12;
  private static final EntryCapacity CAPACITY = new EntryCapacity(1, 875_000, 300L << 20, 4_100);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

  @TempDir private Path dataDir;

  private final class Fleet implements AutoCloseable {
    private final FleetHarness harness;
    private final List<FleetHarness.Entry> entries = new ArrayList<>();

    private Fleet(int count) throws Exception {
      RouteTable table =
          new RouteTable(
              1,
              List.of(
                  FleetHarness.routeTo(
                      SERVICE, RouteKind.IDEMPOTENT, true, 1, Duration.ofSeconds(5))),
              List.of(FleetHarness.serviceNamed(SERVICE)),
              RequestLimits.DEFAULT);
      harness = new FleetHarness(dataDir, Map.of(1L, table));
      harness.activateRouteTable(1);
      for (int i = 0; i < count; i++) {
        entries.add(harness.startEntry("north-" + i, "north", CAPACITY));
      }
      harness.startEntry("south-0", "south", CAPACITY);
      harness.keepAnnouncing("e1", SERVICE, "north", 1);
      for (FleetHarness.Entry entry : entries) {
        harness.awaitReady(entry);
      }
    }

    private Set<String> listed() throws Exception {
      return harness.onContext(
          () ->
              Future.succeededFuture(
                  new HashSet<>(harness.control().entriesFor("127.0.0.1", "north", 64))));
    }

    private boolean isListed(FleetHarness.Entry entry, Set<String> listed) {
      return listed.contains(address(entry));
    }

    private boolean isStandby(FleetHarness.Entry entry) throws Exception {
      return harness.onContext(() -> Future.succeededFuture(entry.node().isStandby()));
    }

    private long digests(FleetHarness.Entry entry) {
      PeerTraffic.Totals totals = entry.node().traffic().totals().get("NewsDigest");
      return totals == null ? 0 : totals.received();
    }

    @Override
    public void close() throws Exception {
      harness.close();
    }
  }

  private static String address(FleetHarness.Entry entry) {
    return "127.0.0.1:" + entry.publicPort();
  }

  private interface Check {
    boolean holds() throws Exception;
  }

  private static void await(String what, Check check) throws Exception {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    while (!check.holds()) {
      if (Instant.now().isAfter(deadline)) {
        throw new AssertionError("not in time: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /**
   * Guards against a list that keeps a lost entry, or loses capacity with it because no entry on
   * standby takes its place.
   */
  @ParameterizedTest
  @ValueSource(ints = {ENTRIES})
  void entryOnStandbyReplacesLostEntry(int count) throws Exception {
    try (Fleet fleet = new Fleet(count)) {
      await("a restricted list", () -> fleet.listed().size() == count / 3);
      final Set<String> before = fleet.listed();
      for (FleetHarness.Entry entry : fleet.entries) {
        await(
            entry.node().name() + " learns whether it is on standby",
            () -> fleet.isStandby(entry) != fleet.isListed(entry, before));
      }
      FleetHarness.Entry lost =
          fleet.entries.stream().filter(e -> fleet.isListed(e, before)).findFirst().orElseThrow();
      fleet.harness.stopEntry(lost);
      final Instant lostAt = Instant.now();
      await("a list without the lost entry", () -> !fleet.isListed(lost, fleet.listed()));
      assertThat(
          Duration.between(lostAt, Instant.now()), lessThanOrEqualTo(Duration.ofMillis(2_500)));
      Set<String> after = fleet.listed();
      assertThat(after, hasSize(before.size()));
      assertThat(after, not(hasItem(address(lost))));
      Set<String> added = new HashSet<>(after);
      added.removeAll(before);
      assertThat(added, hasSize(1));
      FleetHarness.Entry replacement =
          fleet.entries.stream().filter(e -> fleet.isListed(e, added)).findFirst().orElseThrow();
      await("the replacement is active", () -> !fleet.isStandby(replacement));
    }
  }

  /**
   * Guards against an entry on standby that exchanges messages as an active one does, and against
   * one that no longer receives changes of endpoints.
   */
  @ParameterizedTest
  @ValueSource(ints = {ENTRIES})
  void entryOnStandbyNeedsFewMessages(int count) throws Exception {
    try (Fleet fleet = new Fleet(count)) {
      await("a restricted list", () -> fleet.listed().size() == count / 3);
      Set<String> listed = fleet.listed();
      FleetHarness.Entry standby =
          fleet.entries.stream().filter(e -> !fleet.isListed(e, listed)).findFirst().orElseThrow();
      await("the entry is on standby", () -> fleet.isStandby(standby));
      FleetHarness.Entry active =
          fleet.entries.stream().filter(e -> fleet.isListed(e, listed)).findFirst().orElseThrow();
      await("the entry is active", () -> !fleet.isStandby(active));
      final long standbyBefore = fleet.digests(standby);
      final long activeBefore = fleet.digests(active);
      TimeUnit.SECONDS.sleep(4);
      long standbyDigests = fleet.digests(standby) - standbyBefore;
      assertThat(standbyDigests, lessThanOrEqualTo(5L));
      assertThat(standbyDigests * 3 / 2, lessThanOrEqualTo(fleet.digests(active) - activeBefore));
      assertThat(
          fleet.harness.onContext(() -> Future.succeededFuture(standby.node().relayPartners())),
          is(empty()));
      fleet.harness.keepAnnouncing("e2", SERVICE, "north", 2);
      fleet.harness.awaitEndpoints(standby, SERVICE, 2);
    }
  }

  /** Guards against a small region whose list or messages change. */
  @ParameterizedTest
  @ValueSource(ints = {8})
  void smallRegionListsAllAndReportsNoPressure(int count) throws Exception {
    try (Fleet fleet = new Fleet(count)) {
      await("all entries are listed", () -> fleet.listed().size() == count);
      Instant end = Instant.now().plusSeconds(5);
      while (Instant.now().isBefore(end)) {
        assertThat(fleet.listed(), hasSize(count));
        TimeUnit.MILLISECONDS.sleep(50);
      }
      for (FleetHarness.Entry entry : fleet.entries) {
        Set<String> kinds = entry.node().traffic().totals().keySet();
        assertThat(kinds, not(hasItem("PressureReport")));
        assertThat(kinds, not(hasItem("ActiveEntries")));
      }
    }
  }
}
