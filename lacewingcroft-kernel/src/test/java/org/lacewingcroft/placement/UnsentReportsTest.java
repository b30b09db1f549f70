package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;

/** Guards against reports that are sent again and again, or that others stop using too early. */
class UnsentReportsTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /** A test case: what happens after a first report was sent, and how many are then sent. */
  record Row(String name, long atMillis, BiConsumer<EndpointTracker, Instant> event, int sent) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static ReportedLoad load(int running, Instant at) {
    return new ReportedLoad(running, 0, 12, 100, at);
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("nothing new", 120, (t, now) -> {}, 0),
        new Row("changed", 120, (t, now) -> t.recordReportedLoad(load(4, now)), 1),
        new Row("same values", 120, (t, now) -> t.recordReportedLoad(load(3, now)), 0),
        new Row("same values after 1 s", 1_000, (t, now) -> t.recordReportedLoad(load(3, now)), 1),
        new Row("received by a peer", 120, (t, now) -> t.recordPeerReportedLoad(load(9, now)), 0),
        new Row("too old to be used", 2_000, (t, now) -> t.recordReportedLoad(load(4, START)), 0));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void sendsChangedReports(Row row) {
    EndpointTracker tracker =
        new EndpointTracker(
            new EndpointRecord("e", 0, "s", "10.0.0.1:1", "a", 12, EndpointState.READY, 1, 0),
            START);
    UnsentReports unsent = new UnsentReports();
    tracker.recordReportedLoad(load(3, START));
    assertThat(unsent.take(List.of(tracker), START).size(), is(1));
    Instant now = START.plusMillis(row.atMillis());
    row.event().accept(tracker, now);
    assertThat(unsent.take(List.of(tracker), now).size(), is(row.sent()));
  }
}
