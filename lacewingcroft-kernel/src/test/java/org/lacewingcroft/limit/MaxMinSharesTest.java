package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against shares that leave capacity unused or starve an organisation. */
class MaxMinSharesTest {
  static Stream<Arguments> cases() {
    return Stream.of(
        Arguments.of(
            "enough for all", 10, Map.of("a", 3.0, "b", 4.0), Map.of(), Map.of("a", 3.0, "b", 4.0)),
        Arguments.of(
            "the rest goes to the larger one",
            10,
            Map.of("a", 3.0, "b", 20.0),
            Map.of(),
            Map.of("a", 3.0, "b", 7.0)),
        Arguments.of(
            "divided by weight",
            12,
            Map.of("a", 20.0, "b", 20.0),
            Map.of("a", 2.0, "b", 1.0),
            Map.of("a", 8.0, "b", 4.0)),
        Arguments.of(
            "a quarter of the mean share whatever the weight",
            8,
            Map.of("a", 20.0, "b", 20.0),
            Map.of("a", 99.0, "b", 1.0),
            Map.of("a", 7.92, "b", 1.0)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void dividesCapacity(
      String name,
      double capacity,
      Map<String, Double> demands,
      Map<String, Double> weights,
      Map<String, Double> expected) {
    assertThat(MaxMinShares.of(capacity, demands, weights), is(expected));
  }
}
