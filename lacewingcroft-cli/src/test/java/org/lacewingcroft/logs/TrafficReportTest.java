package org.lacewingcroft.logs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that cumulative message counters are summed across instances and restarts. */
class TrafficReportTest {
  /** An instance's logged counters of the digests that it received, 100 bytes and 2 ms each. */
  private record LoggedCounters(String node, long received) {}

  static Stream<Arguments> logs() {
    return Stream.of(
        Arguments.of("none", List.of(), Map.of()),
        Arguments.of("the last totals of one start", loggedCounters("a 3 a 5"), digests(5)),
        Arguments.of("several instances", loggedCounters("a 3 b 4 a 5"), digests(9)),
        Arguments.of("a restart", loggedCounters("a 5 a 2 a 4"), digests(9)));
  }

  private static List<LoggedCounters> loggedCounters(String text) {
    String[] words = text.split(" ");
    List<LoggedCounters> counters = new ArrayList<>();
    for (int i = 0; i < words.length; i += 2) {
      counters.add(new LoggedCounters(words[i], Long.parseLong(words[i + 1])));
    }
    return counters;
  }

  private static Map<String, TrafficReport.Totals> digests(long received) {
    return Map.of(
        "NewsDigest", new TrafficReport.Totals(0, 0, received, 100 * received, 2_000 * received));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("logs")
  void sumsTheLastTotalsOfEachStart(
      String name, List<LoggedCounters> counters, Map<String, TrafficReport.Totals> expected) {
    List<LogLine> lines = new ArrayList<>();
    for (LoggedCounters logged : counters) {
      String text =
          SampleLog.line(
              lines.size(),
              logged.node(),
              "peer.traffic",
              "kind",
              "NewsDigest",
              "sent",
              0,
              "sentBytes",
              0,
              "received",
              logged.received(),
              "receivedBytes",
              100 * logged.received(),
              "workMicros",
              2_000 * logged.received());
      lines.add(LogFiles.parse(text).orElseThrow());
    }
    TrafficReport report = new TrafficReport(lines);
    assertThat(report.byKind(), is(expected));
    assertThat(report.text(), containsString(expected.isEmpty() ? "" : "NewsDigest"));
  }
}
