package org.lacewingcroft.logs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a filter returns exactly the lines of its subject, in order. */
class TimelineFilterTest {
  private static final List<LogLine> LINES =
      Stream.of(
              SampleLog.line(0, "north-1", "endpoint.changed", "endpoint", "i-1", "state", "LOST"),
              SampleLog.line(9_000, "north-1", "routing.in_force", "version", 7, "revision", 9),
              SampleLog.line(9_100, "south-1", "endpoint.changed", "endpoint", "i-1"),
              SampleLog.line(9_200, "north-1", "endpoint.changed", "endpoint", "i-1"),
              SampleLog.line(9_300, "north-1", "endpoint.changed", "endpoint", "i-2"),
              SampleLog.placed(10_000, "north-1", "r-1", "i-1"),
              SampleLog.placed(10_001, "north-1", "r-2", "i-1"),
              SampleLog.line(10_100, "north-1", "request.try_failed", "request", "r-1"),
              SampleLog.finished(10_200, "north-1", "r-1", "served", 200, true),
              SampleLog.line(10_300, "north-1", "endpoint.changed", "endpoint", "i-1"),
              SampleLog.line(10_400, "south-1", "routing.in_force", "version", 7))
          .map(text -> LogFiles.parse(text).orElseThrow())
          .toList();

  static Stream<Arguments> selections() {
    return Stream.of(
        selection(
            "a request, with the updates that its entry applied",
            f -> f.ofRequest("r-1"),
            1,
            3,
            5,
            7,
            8),
        selection("another request", f -> f.ofRequest("r-2"), 1, 3, 6),
        selection("no such request", f -> f.ofRequest("r-9")),
        selection("an endpoint", f -> f.ofEndpoint("i-1"), 0, 2, 3, 9),
        selection("a configuration version", f -> f.ofVersion("7"), 1, 10));
  }

  private static Arguments selection(
      String name, Function<TimelineFilter, List<LogLine>> selector, Integer... expected) {
    return Arguments.of(name, selector, List.of(expected));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("selections")
  void selectsLinesOfSubject(
      String name, Function<TimelineFilter, List<LogLine>> selector, List<Integer> expected) {
    List<LogLine> lines = selector.apply(new TimelineFilter(LINES));
    assertThat(lines.stream().map(LINES::indexOf).toList(), is(expected));
  }
}
