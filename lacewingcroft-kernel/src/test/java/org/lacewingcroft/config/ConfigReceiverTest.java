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

class ConfigReceiverTest {
  private static final Instant START = Instant.EPOCH;

  /**
   * One event after the start: a version that a peer reports or offers, or a timer tick, and the
   * active version after it.
   */
  private record Step(long atMillis, String kind, long version, long activeVersion) {}

  private static Step report(long atMillis, long version, long activeVersion) {
    return new Step(atMillis, "report", version, activeVersion);
  }

  private static Step offer(long atMillis, long version, long activeVersion) {
    return new Step(atMillis, "offer", version, activeVersion);
  }

  private static Step tick(long atMillis, long activeVersion) {
    return new Step(atMillis, "tick", 0, activeVersion);
  }

  static Stream<Arguments> schedules() {
    return Stream.of(
        Arguments.of(
            "holds back the first offer during the settling time",
            List.of(report(0, 5, 0), offer(10, 5, 0), tick(900, 0), tick(1_000, 5))),
        Arguments.of(
            "a lagging peer responds first",
            List.of(
                report(0, 5, 0),
                offer(10, 5, 0),
                report(500, 7, 0),
                tick(1_000, 0),
                offer(1_200, 7, 7))),
        Arguments.of(
            "the peer with the newest version becomes unreachable",
            List.of(
                report(0, 5, 0),
                offer(10, 5, 0),
                report(20, 7, 0),
                tick(4_999, 0),
                tick(5_000, 5))),
        Arguments.of(
            "applies newer versions immediately after settling",
            List.of(report(0, 5, 0), offer(1_000, 5, 5), offer(1_001, 6, 6), offer(1_002, 4, 6))),
        Arguments.of("no reports and no offers", List.of(tick(60_000, 0))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("schedules")
  void activatesOnlySettledVersions(String name, List<Step> steps) {
    ConfigStore configs = new ConfigStore();
    ConfigReceiver receiver = new ConfigReceiver(configs, Duration.ofSeconds(1));
    for (Step step : steps) {
      Instant now = START.plusMillis(step.atMillis());
      switch (step.kind()) {
        case "report" -> receiver.onReportedVersion(step.version(), now);
        case "offer" -> receiver.onOffer(step.version(), "selectors: []", now);
        default -> receiver.tick(now);
      }
      assertThat(step.toString(), configs.current().version(), is(step.activeVersion()));
    }
  }
}
