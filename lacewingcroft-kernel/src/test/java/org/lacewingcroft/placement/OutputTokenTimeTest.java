package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the time per output token estimated from the intervals between events. */
class OutputTokenTimeTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final int TOKENS_PER_EVENT = 4;

  /**
   * A test case: the intervals between events, the age of the last event, and the expected
   * estimate.
   */
  record Row(String name, List<Integer> intervalsMillis, int ageMillis, double expectedMillis) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("no samples", List.of(), 0, OutputTokenTime.INITIAL_MILLIS),
        new Row("one event has the same weight as the initial assumption", List.of(120), 0, 20),
        new Row("busy engine", repeated(240, 20), 0, 49),
        new Row("idle again after being busy", repeated(240, 20), 4_000, 10.5),
        new Row("newest events dominate", join(repeated(240, 20), repeated(40, 40)), 0, 11),
        new Row("long interval is bounded", List.of(60_000), 0, 255));
  }

  private static List<Integer> repeated(int millis, int times) {
    return Stream.generate(() -> millis).limit(times).toList();
  }

  private static List<Integer> join(List<Integer> first, List<Integer> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  @ParameterizedTest
  @MethodSource("rows")
  void estimatesFromEvents(Row row) {
    OutputTokenTime outputTokenTime = new OutputTokenTime();
    Instant now = START;
    for (int interval : row.intervalsMillis()) {
      now = now.plusMillis(interval);
      outputTokenTime.addSample(
          Duration.ofMillis(interval), TOKENS_PER_EVENT, OptionalDouble.empty(), now);
    }
    double estimate =
        outputTokenTime.millisPerToken(OptionalDouble.empty(), now.plusMillis(row.ageMillis()));
    assertThat(estimate, closeTo(row.expectedMillis(), 0.1 * row.expectedMillis()));
  }
}
