package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.misc.ClockReadings;

class StateLeaseTest {
  private static final Duration VALIDITY = Duration.ofSeconds(3);

  /**
   * Returns clock readings some time after the start, with the wall clock adjusted by a given step.
   */
  private static ClockReadings at(long monotonicMillis, long stepMillis) {
    return new ClockReadings(
        Instant.ofEpochMilli(monotonicMillis),
        Instant.ofEpochSecond(1_000_000).plusMillis(monotonicMillis + stepMillis));
  }

  static Stream<Arguments> checks() {
    return Stream.of(
        Arguments.of("immediately after the report", 0, 0, true),
        Arguments.of("just before it expires", 2_999, 0, true),
        Arguments.of("when it expires", 3_000, 0, false),
        Arguments.of("small clock drift", 1_000, 100, true),
        Arguments.of("machine suspended in between", 1_000, 4_000, false),
        Arguments.of("wall clock set back", 1_000, -4_000, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("checks")
  void isValidForLimitedTimeFromReport(
      String name, long passedMillis, long stepMillis, boolean valid) {
    StateLease lease = new StateLease(VALIDITY);
    lease.confirm(lease.startReport(at(100, 0)));
    assertThat(lease.isValid(at(100 + passedMillis, stepMillis)), is(valid));
  }

  @Test
  void isExpiredUntilFirstReply() {
    StateLease lease = new StateLease(VALIDITY);
    assertThat(lease.isValid(at(0, 0)), is(false));
    lease.startReport(at(0, 0));
    lease.confirm(0);
    lease.confirm(99);
    assertThat(lease.isValid(at(0, 0)), is(false));
  }

  @Test
  void delayedReplyConfirmsFromItsReport() {
    StateLease lease = new StateLease(VALIDITY);
    long early = lease.startReport(at(0, 0));
    long late = lease.startReport(at(2_000, 0));
    lease.confirm(late);
    lease.confirm(early);
    assertThat(lease.isValid(at(4_900, 0)), is(true));
    lease.confirm(early);
    assertThat(lease.isValid(at(5_000, 0)), is(false));
  }

  @Test
  void replyToReportFromBeforeSuspensionConfirmsNothing() {
    StateLease lease = new StateLease(VALIDITY);
    long before = lease.startReport(at(0, 0));
    lease.confirm(before);
    assertThat(lease.isValid(at(10, 5_000)), is(false));
    lease.confirm(lease.startReport(at(20, 5_000)));
    assertThat(lease.isValid(at(30, 5_000)), is(true));
  }
}
