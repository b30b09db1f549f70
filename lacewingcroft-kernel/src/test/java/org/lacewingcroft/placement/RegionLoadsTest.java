package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetMessage.ServiceCapacity;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;

/**
 * Tests which region is returned as the best candidate, and with which estimated wait, given the
 * reports and the requests relayed since.
 */
class RegionLoadsTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final String NONE = "none";
  private static final PlacementRequest REQUEST =
      new PlacementRequest(
          "s", 0, 6_000, 0, List.of(), Duration.ofSeconds(1), Duration.ofSeconds(9), Set.of());

  /**
   * A test case.
   *
   * @param farWait the wait that the region "far" reported at the start, in ms
   * @param nearWait the wait that the region "near" reported at the start, in ms
   * @param relayedToNear the number of requests of 6,000 tokens relayed to "near" since
   * @param senders the number of entries of this region
   * @param spareTokensPerMilli the prefill speed that "near" reported to have to spare, of 120
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
      double spareTokensPerMilli,
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
        new Row("shortest wait", 300, 100, 0, 1, 0, NONE, 500, "near 100"),
        new Row("own relays add to the wait", 300, 100, 1, 1, 0, NONE, 500, "near 150"),
        new Row("own relays are prefilled meanwhile", 300, 100, 1, 1, 10, NONE, 500, "near 108"),
        new Row("others relay at the same rate", 300, 100, 1, 4, 0, NONE, 500, "near 195"),
        new Row("others exceed the capacity", 300, 100, 2, 31, 0, NONE, 500, "far 300"),
        new Row("one relay of many entries", 300, 100, 1, 31, 120, NONE, 500, "near 105"),
        new Row("many relays of many entries", 300, 100, 2, 31, 120, NONE, 500, "far 300"),
        new Row("unreachable region", 300, 100, 0, 1, 0, "near", 500, "far 300"),
        new Row("still unreachable", 300, 100, 0, 1, 0, "near", 1_250, "far 300"),
        new Row("two reports missing", 300, 100, 0, 1, 0, NONE, 1_300, NONE));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void offersRegionWithShortestWait(Row row) {
    RegionLoads loads = new RegionLoads();
    loads.update("far", load(row.farWait(), 0), START);
    loads.update("near", load(row.nearWait(), row.spareTokensPerMilli()), START);
    for (int i = 0; i < row.relayedToNear(); i++) {
      loads.recordRelayed("near", REQUEST, row.senders(), START);
    }
    if (!row.unreachable().equals(NONE)) {
      loads.recordUnreachable(row.unreachable(), START);
    }
    String offered =
        loads
            .best(REQUEST, Set.of(), Set.of(), START.plusMillis(row.laterMillis()))
            .map(o -> o.region() + " " + Math.round(o.waitMillis()))
            .orElse(NONE);
    assertThat(offered, equalTo(row.expected()));
  }

  /**
   * Returns the load of a service with two endpoints, which prefill 60 tokens per millisecond each.
   */
  private static ServiceLoad load(long waitMillis, double spareTokensPerMilli) {
    long[] waits = new long[EndpointTracker.PRIORITY_COUNT];
    Arrays.fill(waits, waitMillis);
    return new ServiceLoad(
        "s", 2, waits, 10, Optional.of(new ServiceCapacity(120, spareTokensPerMilli, 20, 5)));
  }

  @ParameterizedTest
  @CsvSource({"0, 0, 0.25", "5, 0, 0.5", "5, 500, 0.5", "20, 0, 1.25"})
  void occupiedShareIncludesRelaysSinceTheReport(int relayed, long laterMillis, double share) {
    RegionLoads loads = new RegionLoads();
    loads.update("near", load(0, 0), START);
    for (int i = 0; i < relayed; i++) {
      loads.recordRelayed("near", REQUEST, 1, START);
    }
    double occupied =
        loads
            .best(REQUEST, Set.of(), Set.of(), START.plusMillis(laterMillis))
            .flatMap(c -> c.occupiedShare().stream().boxed().findFirst())
            .orElseThrow();
    assertThat(occupied, equalTo(share));
  }

  /** A region of an earlier build reports no capacity: its endpoints are assumed to be busy. */
  @Test
  void regionWithoutCapacityIsAssumedToBeBusy() {
    RegionLoads loads = new RegionLoads();
    long[] waits = new long[EndpointTracker.PRIORITY_COUNT];
    loads.update("near", new ServiceLoad("s", 2, waits, 10, Optional.empty()), START);
    loads.recordRelayed("near", REQUEST, 1, START);
    RegionLoads.Candidate candidate =
        loads.best(REQUEST, Set.of(), Set.of(), START.plusMillis(500)).orElseThrow();
    assertThat(candidate.waitMillis(), equalTo(50.0));
    assertThat(candidate.occupiedShare(), equalTo(OptionalDouble.empty()));
  }
}
