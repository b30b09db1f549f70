package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetMessage.EndpointReport;

/** Guards against outdated reports that replace newer ones, and against lost time in the buffer. */
class EndpointReportBufferTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /**
   * A test case: two reports, added 50 ms apart, the time of the message, and the numbers of
   * running requests and the ages in it.
   */
  record Row(
      String name,
      EndpointReport first,
      EndpointReport second,
      long drainMillis,
      List<Integer> running,
      List<Long> agesMillis) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static EndpointReport report(String endpoint, int running, long ageMillis) {
    return new EndpointReport(endpoint, running, 0, 12, 100, ageMillis);
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row(
            "newer one replaces",
            report("e", 1, 10),
            report("e", 2, 10),
            100,
            List.of(2),
            List.of(60L)),
        new Row(
            "older one that arrives later does not",
            report("e", 1, 10),
            report("e", 2, 90),
            100,
            List.of(1),
            List.of(110L)),
        new Row(
            "different endpoints",
            report("e", 1, 10),
            report("f", 2, 10),
            100,
            List.of(1, 2),
            List.of(110L, 60L)),
        new Row(
            "no longer used by receivers",
            report("e", 1, 1_420),
            report("f", 2, 10),
            100,
            List.of(2),
            List.of(60L)));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void keepsTheNewestReports(Row row) {
    EndpointReportBuffer buffer = new EndpointReportBuffer();
    buffer.add(List.of(row.first()), START);
    buffer.add(List.of(row.second()), START.plusMillis(50));
    Instant drainedAt = START.plusMillis(row.drainMillis());
    List<EndpointReport> drained = buffer.drainIfDue(drainedAt);
    assertThat(drained.stream().map(EndpointReport::running).toList(), is(row.running()));
    assertThat(drained.stream().map(EndpointReport::ageMillis).toList(), is(row.agesMillis()));
    buffer.add(List.of(report("e", 5, 0)), drainedAt);
    assertThat(
        "one message per interval", buffer.drainIfDue(drainedAt.plusMillis(119)).size(), is(0));
    assertThat(buffer.drainIfDue(drainedAt.plusMillis(120)).size(), is(1));
  }
}
