package org.lacewingcroft.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigLearningTest {
  private static final Instant START = Instant.EPOCH;

  /** One event after the start: what a peer reports or offers, and what is in force after it. */
  private record Step(long atMillis, String kind, long version, long inForce) {}

  private static Step report(long atMillis, long version, long inForce) {
    return new Step(atMillis, "report", version, inForce);
  }

  private static Step offer(long atMillis, long version, long inForce) {
    return new Step(atMillis, "offer", version, inForce);
  }

  private static Step tick(long atMillis, long inForce) {
    return new Step(atMillis, "tick", 0, inForce);
  }

  static Stream<Arguments> schedules() {
    return Stream.of(
        Arguments.of(
            "holds the first offer back while it listens",
            List.of(report(0, 5, 0), offer(10, 5, 0), tick(900, 0), tick(1_000, 5))),
        Arguments.of(
            "a lagging peer answers first",
            List.of(
                report(0, 5, 0),
                offer(10, 5, 0),
                report(500, 7, 0),
                tick(1_000, 0),
                offer(1_200, 7, 7))),
        Arguments.of(
            "the peer with the newest version vanishes",
            List.of(
                report(0, 5, 0),
                offer(10, 5, 0),
                report(20, 7, 0),
                tick(4_999, 0),
                tick(5_000, 5))),
        Arguments.of(
            "applies newer versions at once when settled",
            List.of(report(0, 5, 0), offer(1_000, 5, 5), offer(1_001, 6, 6), offer(1_002, 4, 6))),
        Arguments.of("nothing heard", List.of(tick(60_000, 0))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("schedules")
  void putsOnlySettledVersionsInForce(String name, List<Step> steps) {
    ConfigStore configs = new ConfigStore();
    ConfigReceiver learning = new ConfigReceiver(configs, Duration.ofSeconds(1));
    for (Step step : steps) {
      Instant now = START.plusMillis(step.atMillis());
      switch (step.kind()) {
        case "report" -> learning.onReportedVersion(step.version(), now);
        case "offer" -> learning.onOffer(step.version(), "selectors: []", now);
        default -> learning.tick(now);
      }
      assertThat(step.toString(), configs.current().version(), is(step.inForce()));
    }
  }
}
