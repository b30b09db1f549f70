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

  static Stream<Arguments> stories() {
    return Stream.of(
        story(
            "a request, with the updates that its entry received",
            f -> f.ofRequest("r-1"),
            1,
            3,
            5,
            7,
            8),
        story("another request", f -> f.ofRequest("r-2"), 1, 3, 6),
        story("no such request", f -> f.ofRequest("r-9")),
        story("an endpoint", f -> f.ofEndpoint("i-1"), 0, 2, 3, 9),
        story("a configuration version", f -> f.ofVersion("7"), 1, 10));
  }

  private static Arguments story(
      String name, Function<TimelineFilter, List<LogLine>> told, Integer... expected) {
    return Arguments.of(name, told, List.of(expected));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("stories")
  void storyIsTold(
      String name, Function<TimelineFilter, List<LogLine>> told, List<Integer> expected) {
    List<LogLine> lines = told.apply(new TimelineFilter(LINES));
    assertThat(lines.stream().map(LINES::indexOf).toList(), is(expected));
  }
}
