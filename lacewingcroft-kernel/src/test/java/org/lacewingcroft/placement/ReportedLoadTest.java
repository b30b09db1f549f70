package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.FleetMessage;

/** Guards against load headers that are misread, or that change estimates although malformed. */
class ReportedLoadTest {
  private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");

  record Row(String value, int running, int waiting, int slots, int pacePercent) {}

  static Stream<Row> rows() {
    return Stream.of(
        new Row("0,0,12", 0, 0, 12, 100),
        new Row("12,36,12", 12, 36, 12, 100),
        new Row("3,0,64,87", 3, 0, 64, 87),
        new Row(" 3,0,64,250 ", 3, 0, 64, 250),
        new Row("99999,99999,99999,10000", 99_999, 99_999, 99_999, 10_000),
        new Row("007,0,1,1", 7, 0, 1, 1));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void parsesHeader(Row row) {
    assertThat(
        ReportedLoad.parse(row.value(), NOW),
        is(
            Optional.of(
                new ReportedLoad(
                    row.running(), row.waiting(), row.slots(), row.pacePercent(), NOW))));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        ",",
        ",,",
        "3",
        "3,0",
        "3,0,",
        "3,0,12,",
        "3,0,12,100,1",
        "-1,0,12",
        "3,-1,12",
        "3,0,-12",
        "3,0,0",
        "3,0,12,0",
        "3,0,12,-5",
        "3,0,12,10001",
        "100000,0,12",
        "3,0,999999",
        "99999999999999999999,0,12",
        "3.5,0,12",
        "3;0;12",
        "+3,0,12",
        "0x3,0,12",
        "three,0,12",
        "٣,0,12",
        "NaN,0,12",
        "3,0,12,1e3"
      })
  void malformedHeaderIsNotUsed(String value) {
    assertThat(ReportedLoad.parse(value, NOW), is(Optional.empty()));
  }

  /** A message of a peer may contain any numbers. */
  static Stream<FleetMessage.EndpointReport> invalidReports() {
    return Stream.of(
        new FleetMessage.EndpointReport("e", -1, 0, 12, 100, 0),
        new FleetMessage.EndpointReport("e", 0, -1, 12, 100, 0),
        new FleetMessage.EndpointReport("e", 0, 0, 0, 100, 0),
        new FleetMessage.EndpointReport("e", 0, 0, 12, 0, 0),
        new FleetMessage.EndpointReport("e", 0, 0, 12, 10_001, 0),
        new FleetMessage.EndpointReport("e", 100_000, 0, 12, 100, 0));
  }

  @ParameterizedTest
  @MethodSource("invalidReports")
  void invalidReportOfPeerIsNotUsed(FleetMessage.EndpointReport report) {
    assertThat(ReportedLoad.fromPeer(report, NOW), is(Optional.empty()));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 180, 1_400})
  void reportKeepsItsAgeOnTheWay(long ageMillis) {
    ReportedLoad load = new ReportedLoad(3, 1, 12, 120, NOW);
    Instant later = NOW.plusMillis(ageMillis);
    assertThat(ReportedLoad.fromPeer(load.toMessage("e", later), later), is(Optional.of(load)));
  }
}
