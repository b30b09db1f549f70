package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventGapTest {
  /**
   * Guards against prompts that are queued at a slow engine although its streams then pause for
   * longer than their objective, and against a limit on engines whose steps are short enough.
   */
  @ParameterizedTest
  @CsvSource({
    "600, 10, 12000, 33, 0",
    "600, 10, 18000, 33, 524",
    "600, 10, 60000, 33, 1125",
    "600, 10, 60000, 55, 0",
    "600, 10, 60000, 88, 0",
    "400, 12, 60000, 101, 0",
    "400, 12, 60000, 60, 717",
    ", 10, 60000, 10, 0"
  })
  void onlyPausesBeyondTheObjectiveAreCharged(
      Long objectiveMillis, int eventTokens, double queued, double speed, double expected) {
    EventGap gap =
        new EventGap(Optional.ofNullable(objectiveMillis).map(Duration::ofMillis), eventTokens);
    assertThat(gap.penaltyMillis(queued, speed), closeTo(expected, 1));
  }
}
