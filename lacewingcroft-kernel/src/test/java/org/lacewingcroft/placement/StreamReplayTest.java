package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests placement of long responses while some engines prefill prompts most of the time: their
 * first bytes arrive early from every engine, but the tokens after them arrive fast only from
 * engines with little prefill load.
 */
class StreamReplayTest {
  private static final Duration DURATION = Duration.ofSeconds(40);
  private static final double MEAN_OUTPUT_TOKENS = 60;

  /**
   * A test case: the prompt tokens per millisecond that other callers send to each engine, the rate
   * of requests per second, the minimum share of responses that complete before the deadline, and
   * the maximum share while estimates do not include the time per output token.
   */
  record Row(
      String name,
      List<Double> backgroundTokensPerMilli,
      double requestsPerSecond,
      double minOnTimeShare,
      double maxOnTimeShareWithout) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("no background load", List.of(0.0, 0.0), 60, 0.99, 1),
        new Row("one of two engines always prefills", List.of(45.0, 0.0), 60, 0.97, 0.95),
        new Row("two of three engines always prefill", List.of(45.0, 45.0, 0.0), 60, 0.95, 0.9));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void responsesCompleteOnTime(Row row) {
    assertThat(onTimeShare(row, Set.of()), greaterThanOrEqualTo(row.minOnTimeShare()));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void fewerResponsesCompleteOnTimeByFirstByteAlone(Row row) {
    double onTimeShareWithout = onTimeShare(row, EnumSet.of(PlacementMechanism.TOKEN_PACE));
    assertThat(onTimeShareWithout, lessThanOrEqualTo(row.maxOnTimeShareWithout()));
  }

  private static double onTimeShare(Row row, Set<PlacementMechanism> disabled) {
    return new StreamReplay(row.backgroundTokensPerMilli(), disabled, 7)
        .run(row.requestsPerSecond(), MEAN_OUTPUT_TOKENS, DURATION);
  }
}
