package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Tests single decisions: which conditions exclude an endpoint, and when a request is sent to
 * another region.
 */
class PlacerTest {
  private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");

  /**
   * A test case: the state of this region's only endpoint, the wait in the other region (-1 if it
   * reports none), and the expected placement.
   */
  record Row(
      String name,
      EndpointState state,
      int backlogTokens,
      long remoteWaitMillis,
      Set<String> allowedRegions,
      long promptTokens,
      String outcome) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    EndpointState ready = EndpointState.READY;
    Set<String> anyRegion = Set.of();
    return Stream.of(
        new Row("idle", ready, 0, 0, anyRegion, 2_000, "here"),
        new Row("short queue", ready, 8_000, 0, anyRegion, 2_000, "here"),
        new Row("long queue", ready, 200_000, 0, anyRegion, 2_000, "elsewhere"),
        new Row("long queue in both regions", ready, 200_000, 5_000, anyRegion, 2_000, "refused"),
        new Row("only this region allowed", ready, 200_000, 0, Set.of("here"), 2_000, "refused"),
        new Row("only the other region allowed", ready, 0, 0, Set.of("there"), 2_000, "elsewhere"),
        new Row("draining", EndpointState.DRAINING, 0, 0, anyRegion, 2_000, "elsewhere"),
        new Row("gone, no other region", EndpointState.GONE, 0, -1, anyRegion, 2_000, "refused"),
        new Row("long prompt, idle", ready, 0, 0, anyRegion, 54_000, "here"),
        new Row(
            "plain service in the other region",
            EndpointState.GONE,
            0,
            0,
            anyRegion,
            0,
            "elsewhere"));
  }

  private static EndpointTracker tracker(String id, EndpointState state, long coldMillis) {
    EndpointRecord record =
        new EndpointRecord(id, 0, "s", "10.0.0.1:1", "a", 32, state, 1, coldMillis);
    return new EndpointTracker(record, NOW);
  }

  private static PlacementRequest request(long promptTokens) {
    return new PlacementRequest(
        "s",
        1,
        promptTokens,
        0,
        List.of(),
        Duration.ofMillis(300),
        Duration.ofSeconds(5),
        Set.of());
  }

  private static String outcome(Placement placement) {
    return placement instanceof Placement.ToEndpoint
        ? "here"
        : placement instanceof Placement.ToRegion ? "elsewhere" : "refused";
  }

  private static Placer.Context context(
      List<EndpointTracker> endpoints,
      RegionLoads loads,
      Set<String> allowedRegions,
      String entry) {
    return new Placer.Context(
        endpoints,
        entry,
        List.of("e1", "e2", "e3", "e4", "e5", "e6"),
        100,
        Optional.of(loads),
        allowedRegions,
        Set.of(),
        /* relayed= */ false,
        /* hasNeighbour= */ () -> false,
        "here",
        List.of(),
        Optional.empty(),
        Set.of(),
        Optional.empty());
  }

  @ParameterizedTest
  @MethodSource("rows")
  void placesWhereServedOnTime(Row row) {
    EndpointTracker endpoint = tracker("i-1", row.state(), 0);
    if (row.backlogTokens() > 0) {
      endpoint.startRequest(request(row.backlogTokens()), 0, 400_000, NOW);
    }
    RegionLoads loads = new RegionLoads();
    if (row.remoteWaitMillis() >= 0) {
      long[] waits = {row.remoteWaitMillis(), row.remoteWaitMillis()};
      loads.update("there", new ServiceLoad("s", 2, waits, 10, Optional.empty()), NOW);
    }
    Placement placement =
        new Placer(3, new Random(1))
            .place(
                request(row.promptTokens()),
                context(List.of(endpoint), loads, row.allowedRegions(), "e1"),
                NOW);
    assertThat(outcome(placement), equalTo(row.outcome()));
  }

  @Test
  void limitsRequestsOfAllEntriesToColdEndpoint() {
    Placer placer = new Placer(3, new Random(1));
    List<EndpointTracker> trackers = new ArrayList<>();
    for (int e = 1; e <= 6; e++) {
      trackers.add(tracker("i-1", EndpointState.READY, 10_000));
    }
    int maxInSecond = 0;
    List<Instant> sent = new ArrayList<>();
    for (int ms = 0; ms < 5_000; ms += 10) {
      Instant now = NOW.plusMillis(ms);
      for (int e = 1; e <= 6; e++) {
        EndpointTracker tracker = trackers.get(e - 1);
        Placement placement =
            placer.place(
                request(0), context(List.of(tracker), new RegionLoads(), Set.of(), "e" + e), now);
        if (placement instanceof Placement.ToEndpoint) {
          tracker.startRequest(request(0), 0, 0, now).finish(EndpointTracker.Outcome.ANSWERED, now);
          sent.add(now);
        }
      }
      maxInSecond =
          Math.max(
              maxInSecond, (int) sent.stream().filter(t -> t.isAfter(now.minusSeconds(1))).count());
    }
    assertThat("three senders, one request per second each", maxInSecond, equalTo(3));
  }

  /**
   * A test case: what this region's only endpoint has advertised, and the expected placement of a
   * request sent afterwards.
   */
  record AdvertisedRow(
      String name, Duration pause, OptionalDouble perSecond, long laterMillis, String outcome) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<AdvertisedRow> advertisedRows() {
    Duration noPause = Duration.ZERO;
    Duration pause = Duration.ofSeconds(3);
    OptionalDouble unlimited = OptionalDouble.empty();
    OptionalDouble twoPerSecond = OptionalDouble.of(2);
    return Stream.of(
        new AdvertisedRow("nothing", noPause, unlimited, 0, "here"),
        new AdvertisedRow(
            "end of the pause", pause, unlimited, 2_999, "refused, retry after 300 ms"),
        new AdvertisedRow(
            "start of the pause", pause, unlimited, 0, "refused, retry after 1666 ms"),
        new AdvertisedRow("after the pause", pause, unlimited, 3_000, "here"),
        new AdvertisedRow(
            "rate exceeded", noPause, twoPerSecond, 500, "refused, retry after 1500 ms"),
        new AdvertisedRow("rate not exceeded", noPause, twoPerSecond, 2_000, "here"),
        new AdvertisedRow("both", pause, twoPerSecond, 2_500, "refused, retry after 500 ms"));
  }

  @ParameterizedTest
  @MethodSource("advertisedRows")
  void respectsAdvertisedConditions(AdvertisedRow row) {
    EndpointTracker endpoint = tracker("i-1", EndpointState.READY, 0);
    row.perSecond()
        .ifPresent(r -> endpoint.rateLimit().updateFromResponse(row.perSecond(), NOW, NOW));
    endpoint.conditions().pause(row.pause(), NOW);
    endpoint.markFull(NOW.plusMillis(row.laterMillis()));
    Placement placement =
        new Placer(3, new Random(1))
            .place(
                request(0),
                context(List.of(endpoint), new RegionLoads(), Set.of(), rateSender()),
                NOW.plusMillis(row.laterMillis()));
    String outcome = outcome(placement);
    if (placement instanceof Placement.Refused refused) {
      assertThat(refused.reason(), equalTo(Placement.Reason.PACED));
      outcome += ", retry after " + refused.retryAfter().toMillis() + " ms";
    }
    assertThat(outcome, equalTo(row.outcome()));
  }

  /** Returns one of the entries that share a low rate at the endpoint of these tests. */
  private static String rateSender() {
    return Rendezvous.rank(List.of("e1", "e2", "e3", "e4", "e5", "e6"), n -> n, "i-1").get(0);
  }

  @Test
  void avoidsUnresponsiveEndpoint() {
    EndpointTracker unresponsive = tracker("i-1", EndpointState.READY, 0);
    EndpointTracker healthy = tracker("i-2", EndpointState.READY, 0);
    unresponsive.startRequest(request(100), 0, 1_000, NOW);
    Instant later = NOW.plusSeconds(1);
    for (int i = 0; i < 20; i++) {
      Placement placement =
          new Placer(3, new Random(i))
              .place(
                  request(100 + i),
                  context(List.of(unresponsive, healthy), new RegionLoads(), Set.of(), "e1"),
                  later);
      assertThat(((Placement.ToEndpoint) placement).endpoint().record().id(), equalTo("i-2"));
    }
  }
}
