package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;

/**
 * Tests which region is returned as the best candidate, and with which estimated wait, given the
 * reports and the requests relayed since.
 */
class RegionLoadsTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final String NONE = "none";

  /**
   * A test case.
   *
   * @param farWait the wait that the region "far" reported at the start, in ms
   * @param nearWait the wait that the region "near" reported at the start, in ms
   * @param relayedToNear the number of requests of 6,000 tokens relayed to "near" since
   * @param senders the number of entries of this region
   * @param unreachable a region that could not be reached at the start
   * @param laterMillis the time of the placement, in ms after the start
   * @param expected the expected region and wait
   */
  record Row(
      String name,
      long farWait,
      long nearWait,
      int relayedToNear,
      int senders,
      String unreachable,
      long laterMillis,
      String expected) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("shortest wait", 300, 100, 0, 1, NONE, 500, "near 100"),
        new Row("own relays add to the wait", 300, 100, 1, 1, NONE, 500, "near 150"),
        new Row(
            "relays of the region's other entries are estimated",
            300,
            100,
            1,
            4,
            NONE,
            500,
            "far 300"),
        new Row("unreachable region", 300, 100, 0, 1, "near", 500, "far 300"),
        new Row("still unreachable", 300, 100, 0, 1, "near", 1_250, "far 300"),
        new Row("two reports missing", 300, 100, 0, 1, NONE, 1_300, NONE));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void offersRegionWithShortestWait(Row row) {
    RegionLoads loads = new RegionLoads();
    loads.update("far", load(row.farWait()), START);
    loads.update("near", load(row.nearWait()), START);
    PlacementRequest request =
        new PlacementRequest(
            "s", 0, 6_000, 0, List.of(), Duration.ofSeconds(1), Duration.ofSeconds(9), Set.of());
    for (int i = 0; i < row.relayedToNear(); i++) {
      loads.recordRelayed("near", request, row.senders());
    }
    if (!row.unreachable().equals(NONE)) {
      loads.recordUnreachable(row.unreachable(), START);
    }
    String offered =
        loads
            .best(request, Set.of(), Set.of(), START.plusMillis(row.laterMillis()))
            .map(o -> o.region() + " " + Math.round(o.waitMillis()))
            .orElse(NONE);
    assertThat(offered, equalTo(row.expected()));
  }

  /**
   * Returns the load of a service with two endpoints, which prefill 60 tokens per millisecond each.
   */
  private static ServiceLoad load(long waitMillis) {
    long[] waits = new long[EndpointTracker.PRIORITY_COUNT];
    Arrays.fill(waits, waitMillis);
    return new ServiceLoad("s", 2, waits, 10);
  }
}
