package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests placement by many entries at endpoints that report their load. Guards against entries that
 * all choose the same endpoint: the busiest one received 2.2 to 3.5 times the mean, and a plain
 * service refused four in ten arrivals during a burst. Each row states what the decision without
 * reports, the earlier one, does under the same load.
 */
class ReportedLoadReplayTest {
  private static final long SEED = 5;

  /** Results by row and silence, since several tests compare the same replays. */
  private static final Map<String, ReportedLoadReplay.Results> RESULTS = new HashMap<>();

  /**
   * A test case: endpoints, entries and load; the bounds of the result; and by which of them the
   * earlier decision fails.
   */
  record Row(
      String name,
      ReportedLoadReplay.Endpoints endpoints,
      int entries,
      List<ReportedLoadReplay.Kind> kinds,
      double burstFactor,
      double maxBusiest,
      double maxRefusedAsFull,
      double minOnTime) {
    @Override
    public String toString() {
      return name;
    }

    private ReportedLoadReplay.Results run(ReportedLoadReplay.Silence silence) {
      return RESULTS.computeIfAbsent(
          name + silence,
          key ->
              new ReportedLoadReplay(endpoints, entries, silence, SEED)
                  .run(kinds, Duration.ofSeconds(15), burstFactor));
    }

    private boolean isMetBy(ReportedLoadReplay.Results results) {
      return results.busiest() < maxBusiest
          && results.refusedShare() <= maxRefusedAsFull
          && results.onTimeShare() >= minOnTime;
    }
  }

  private static ReportedLoadReplay.Endpoints plain(List<Double> speeds, boolean variablePace) {
    return new ReportedLoadReplay.Endpoints(speeds, variablePace, 6, 24, 0, 73.5);
  }

  private static ReportedLoadReplay.Endpoints engines12() {
    return new ReportedLoadReplay.Endpoints(Collections.nCopies(20, 1.0), true, 12, 36, 101, 2.97);
  }

  private static ReportedLoadReplay.Endpoints engines64() {
    List<Double> speeds =
        IntStream.range(0, 30).mapToObj(i -> List.of(0.6, 1.0, 1.6).get(i % 3)).toList();
    return new ReportedLoadReplay.Endpoints(speeds, true, 64, 200, 55, 4);
  }

  private static List<ReportedLoadReplay.Kind> orders(double perSecond) {
    return List.of(
        new ReportedLoadReplay.Kind(
            "order", perSecond, 0, 0, 1, 0, 1, Duration.ofMillis(553), Duration.ofSeconds(4)));
  }

  private static List<ReportedLoadReplay.Kind> prompts(
      double longPerSecond, double shortPerSecond, long longObjectiveMillis) {
    return List.of(
        new ReportedLoadReplay.Kind(
            "long",
            longPerSecond,
            1,
            5_382,
            60,
            6_610,
            380,
            Duration.ofMillis(longObjectiveMillis),
            Duration.ofSeconds(10)),
        new ReportedLoadReplay.Kind(
            "short",
            shortPerSecond,
            0,
            568,
            200,
            1_800,
            24,
            Duration.ofMillis(510),
            Duration.ofMillis(2_500)));
  }

  static Stream<Row> rows() {
    List<Double> equal = Collections.nCopies(6, 1.0);
    List<Double> different = List.of(0.6, 0.6, 1.0, 1.0, 1.6, 1.6);
    return Stream.of(
        new Row(
            "36 slots, burst of 1.8", plain(equal, false), 91, orders(211), 1.8, 1.5, 0.005, 0.98),
        new Row(
            "36 slots at speeds of 0.6 to 1.6, burst of 1.8",
            plain(different, true),
            91,
            orders(211),
            1.8,
            1.5,
            0.005,
            0.98),
        new Row("36 slots, little load", plain(different, true), 91, orders(60), 1, 1.5, 0, 0.98),
        new Row(
            "engines with 12 slots, burst of 1.8",
            engines12(),
            30,
            prompts(80, 400, 1_519),
            1.8,
            1.5,
            0.015,
            0.81),
        new Row(
            "engines with 64 slots at speeds of 0.6 to 1.6",
            engines64(),
            30,
            prompts(54, 111, 1_226),
            1,
            1.5,
            0.005,
            0.98));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void spreadsLoadBySpeedAndSlots(Row row) {
    ReportedLoadReplay.Results results = row.run(ReportedLoadReplay.Silence.NONE);
    assertThat(results.toString(), results.busiest(), lessThan(row.maxBusiest()));
    assertThat(
        results.toString(), results.refusedShare(), lessThanOrEqualTo(row.maxRefusedAsFull()));
    assertThat(results.toString(), results.onTimeShare(), greaterThanOrEqualTo(row.minOnTime()));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void earlierDecisionFails(Row row) {
    ReportedLoadReplay.Results results = row.run(ReportedLoadReplay.Silence.ALWAYS);
    assertThat(results.toString(), row.isMetBy(results), is(false));
  }

  /** Guards against a balance that moves prompts from the endpoints that cache their prefixes. */
  @ParameterizedTest
  @MethodSource("rows")
  void prefixesAreNotPrefilledMuchMoreOften(Row row) {
    ReportedLoadReplay.Results with = row.run(ReportedLoadReplay.Silence.NONE);
    ReportedLoadReplay.Results without = row.run(ReportedLoadReplay.Silence.ALWAYS);
    assertThat(
        with + " against " + without,
        with.sharedTokensPrefilled,
        lessThanOrEqualTo(Math.round(1.5 * without.sharedTokensPrefilled)));
  }

  /** The headers are missing for 5 s around the start of the burst. */
  @ParameterizedTest
  @MethodSource("rows")
  void lostReportsAreNoWorseThanNone(Row row) {
    ReportedLoadReplay.Results lost = row.run(new ReportedLoadReplay.Silence(4_000, 9_000));
    ReportedLoadReplay.Results without = row.run(ReportedLoadReplay.Silence.ALWAYS);
    String both = lost + " against " + without;
    assertThat(both, lost.sent, greaterThan(0));
    assertThat(both, lost.busiest(), lessThanOrEqualTo(without.busiest() + 0.05));
    assertThat(both, lost.refusedShare(), lessThanOrEqualTo(without.refusedShare() + 0.005));
    assertThat(both, lost.onTimeShare(), greaterThanOrEqualTo(without.onTimeShare() - 0.01));
  }
}
