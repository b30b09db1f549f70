package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.forward.RequestTiming.Stage;

/** Tests that each millisecond until the first byte belongs to exactly one stage. */
class RequestTimingTest {
  private static final Instant ARRIVAL = Instant.parse("2030-01-01T00:00:00Z");

  /**
   * Each row: the stages that begin, each after the number of ms since arrival, the end, and the
   * resulting ms by stage in order of their declaration.
   */
  @ParameterizedTest
  @CsvSource({
    "'PLACEMENT 5, CONNECT 7, ENDPOINT 17', 117, '5 2 10 100 0'",
    "'PLACEMENT 5, CONNECT 7, RELAY 17', 117, '5 2 10 0 100'",
    "'PLACEMENT 5, CONNECT 7, RELAY 8, PLACEMENT 38, CONNECT 40, ENDPOINT 41', 51, '5 4 2 10 30'",
    "'', 12, '12 0 0 0 0'"
  })
  void stagesAddUp(String begins, long endMillis, String expected) {
    RequestTiming timing = new RequestTiming(ARRIVAL);
    Arrays.stream(begins.split(", "))
        .filter(begin -> !begin.isEmpty())
        .map(begin -> begin.split(" "))
        .forEach(b -> timing.begin(Stage.valueOf(b[0]), at(Long.parseLong(b[1]))));
    timing.end(at(endMillis));
    timing.begin(Stage.PLACEMENT, at(endMillis + 100));
    timing.end(at(endMillis + 200));
    List<String> millis =
        Arrays.stream(Stage.values()).map(stage -> Long.toString(timing.millis(stage))).toList();
    assertThat(String.join(" ", millis), equalTo(expected));
  }

  private static Instant at(long millis) {
    return ARRIVAL.plusMillis(millis);
  }
}
