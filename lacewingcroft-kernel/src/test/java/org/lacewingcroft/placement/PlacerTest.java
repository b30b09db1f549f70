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
 * Single decisions: which conditions keep an endpoint from getting requests, and when a request is
 * sent to another region.
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
      long elsewhereMillis,
      Set<String> homes,
      long promptTokens,
      String goes) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    EndpointState ready = EndpointState.READY;
    Set<String> anywhere = Set.of();
    return Stream.of(
        new Row("idle", ready, 0, 0, anywhere, 2_000, "here"),
        new Row("short queue", ready, 8_000, 0, anywhere, 2_000, "here"),
        new Row("long queue", ready, 200_000, 0, anywhere, 2_000, "elsewhere"),
        new Row("long queue in both regions", ready, 200_000, 5_000, anywhere, 2_000, "refused"),
        new Row("only this region allowed", ready, 200_000, 0, Set.of("here"), 2_000, "refused"),
        new Row("only the other region allowed", ready, 0, 0, Set.of("there"), 2_000, "elsewhere"),
        new Row("draining", EndpointState.DRAINING, 0, 0, anywhere, 2_000, "elsewhere"),
        new Row("gone, no other region", EndpointState.GONE, 0, -1, anywhere, 2_000, "refused"),
        new Row("long prompt, idle", ready, 0, 0, anywhere, 54_000, "here"),
        new Row("plain service in the other region", EndpointState.GONE, 0, 0, anywhere, 0, "elsewhere"));
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

  private static String where(Placement placement) {
    return placement instanceof Placement.ToEndpoint
        ? "here"
        : placement instanceof Placement.ToRegion ? "elsewhere" : "refused";
  }

  private static Placer.Context around(
      List<EndpointTracker> endpoints, RegionLoads loads, Set<String> homes, String entry) {
    return new Placer.Context(
        endpoints,
        entry,
        List.of("e1", "e2", "e3", "e4", "e5", "e6"),
        100,
        Optional.of(loads),
        homes,
        Set.of(),
        "here",
        List.of(),
        Optional.empty(),
        Set.of());
  }

  @ParameterizedTest
  @MethodSource("rows")
  void goesWhereItIsServedInTime(Row row) {
    EndpointTracker endpoint = tracker("i-1", row.state(), 0);
    if (row.backlogTokens() > 0) {
      endpoint.startRequest(request(row.backlogTokens()), 0, 400_000, NOW);
    }
    RegionLoads loads = new RegionLoads();
    if (row.elsewhereMillis() >= 0) {
      long[] waits = {row.elsewhereMillis(), row.elsewhereMillis()};
      loads.update("there", new ServiceLoad("s", 2, waits, 10), NOW);
    }
    Placement placement =
        new Placer(3, new Random(1))
            .place(
                request(row.promptTokens()),
                around(List.of(endpoint), loads, row.homes(), "e1"),
                NOW);
    assertThat(where(placement), equalTo(row.goes()));
  }

  @Test
  void coldEndpointsGetFewRequestsFromAllEntriesTogether() {
    Placer placer = new Placer(3, new Random(1));
    List<EndpointTracker> views = new ArrayList<>();
    for (int e = 1; e <= 6; e++) {
      views.add(tracker("i-1", EndpointState.READY, 10_000));
    }
    int mostInSecond = 0;
    List<Instant> sent = new ArrayList<>();
    for (int ms = 0; ms < 5_000; ms += 10) {
      Instant now = NOW.plusMillis(ms);
      for (int e = 1; e <= 6; e++) {
        EndpointTracker view = views.get(e - 1);
        Placement placement =
            placer.place(
                request(0), around(List.of(view), new RegionLoads(), Set.of(), "e" + e), now);
        if (placement instanceof Placement.ToEndpoint) {
          view.startRequest(request(0), 0, 0, now).finish(EndpointTracker.Outcome.ANSWERED, now);
          sent.add(now);
        }
      }
      mostInSecond =
          Math.max(
              mostInSecond,
              (int) sent.stream().filter(t -> t.isAfter(now.minusSeconds(1))).count());
    }
    assertThat("three senders, one request a second each", mostInSecond, equalTo(3));
  }

  /**
   * A test case: what this region's only endpoint has advertised, and the expected placement of a
   * request sent afterwards.
   */
  record Stated(
      String name, Duration pause, OptionalDouble perSecond, long laterMillis, String goes) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Stated> statedRows() {
    Duration none = Duration.ZERO;
    Duration pause = Duration.ofSeconds(3);
    OptionalDouble any = OptionalDouble.empty();
    OptionalDouble two = OptionalDouble.of(2);
    return Stream.of(
        new Stated("nothing", none, any, 0, "here"),
        new Stated("end of the pause", pause, any, 2_999, "refused, back in 300 ms"),
        new Stated("start of the pause", pause, any, 0, "refused, back in 1666 ms"),
        new Stated("after the pause", pause, any, 3_000, "here"),
        new Stated("rate exceeded", none, two, 500, "refused, back in 1500 ms"),
        new Stated("rate not exceeded", none, two, 2_000, "here"),
        new Stated("both", pause, two, 2_500, "refused, back in 500 ms"));
  }

  @ParameterizedTest
  @MethodSource("statedRows")
  void nothingIsSentAgainstWhatTheOnlyEndpointStates(Stated row) {
    EndpointTracker endpoint = tracker("i-1", EndpointState.READY, 0);
    row.perSecond()
        .ifPresent(r -> endpoint.rateLimit().updateFromResponse(row.perSecond(), NOW, NOW));
    endpoint.conditions().pause(row.pause(), NOW);
    endpoint.markFull(NOW.plusMillis(row.laterMillis()));
    Placement placement =
        new Placer(3, new Random(1))
            .place(
                request(0),
                around(List.of(endpoint), new RegionLoads(), Set.of(), rateSender()),
                NOW.plusMillis(row.laterMillis()));
    String goes = where(placement);
    if (placement instanceof Placement.Refused refused) {
      assertThat(refused.reason(), equalTo(Placement.Reason.PACED));
      goes += ", back in " + refused.retryAfter().toMillis() + " ms";
    }
    assertThat(goes, equalTo(row.goes()));
  }

  /** Returns one of the entries that share a low rate at the endpoint of these tests. */
  private static String rateSender() {
    return Rendezvous.rank(List.of("e1", "e2", "e3", "e4", "e5", "e6"), n -> n, "i-1").get(0);
  }

  @Test
  void silentEndpointThatOwesAnswersIsAvoided() {
    EndpointTracker silent = tracker("i-1", EndpointState.READY, 0);
    EndpointTracker sound = tracker("i-2", EndpointState.READY, 0);
    silent.startRequest(request(100), 0, 1_000, NOW);
    Instant later = NOW.plusSeconds(1);
    for (int i = 0; i < 20; i++) {
      Placement placement =
          new Placer(3, new Random(i))
              .place(
                  request(100 + i),
                  around(List.of(silent, sound), new RegionLoads(), Set.of(), "e1"),
                  later);
      assertThat(((Placement.ToEndpoint) placement).endpoint().record().id(), equalTo("i-2"));
    }
  }
}
