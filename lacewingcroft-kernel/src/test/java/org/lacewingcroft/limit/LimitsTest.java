package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the admission limiter, the retry budget and the backoff. */
class LimitsTest {
  private static final Instant START = Instant.EPOCH;

  static Stream<Arguments> arrivals() {
    return Stream.of(
        Arguments.of("no limit", 0, List.of(0, 0, 0, 0), List.of(true, true, true, true)),
        Arguments.of("burst of one second", 2, List.of(0, 0, 0), List.of(true, true, false)),
        Arguments.of("refills", 2, List.of(0, 0, 499, 500), List.of(true, true, false, true)),
        Arguments.of(
            "accumulates no more than the burst",
            1,
            List.of(0, 60_000, 60_000),
            List.of(true, true, false)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("arrivals")
  void admitsAtTheOrganisationsRate(
      String name, int perSecond, List<Integer> atMillis, List<Boolean> expected) {
    AdmissionLimiter limiter = new AdmissionLimiter();
    List<Boolean> actual =
        atMillis.stream()
            .map(at -> limiter.admit("org", perSecond, START.plusMillis(at)).isEmpty())
            .toList();
    assertThat(actual, is(expected));
  }

  @Test
  void returnsRetryDelayAndLimitsOrganisationsSeparately() {
    AdmissionLimiter limiter = new AdmissionLimiter();
    limiter.admit("org", 4, START);
    for (int i = 0; i < 3; i++) {
      limiter.admit("org", 4, START);
    }
    assertThat(limiter.admit("org", 4, START).orElseThrow(), is(Duration.ofMillis(250)));
    assertThat(limiter.admit("other", 4, START).isEmpty(), is(true));
    assertThat(limiter.admit("org", 8, START).isEmpty(), is(true));
  }

  @ParameterizedTest
  @CsvSource({"0, 5", "10, 6", "100, 15", "1000, 105"})
  void withdrawsNoMoreRetriesThanReserveAndDeposits(int requests, int maxRetries) {
    RetryBudget budget = new RetryBudget(0.1, 5, START);
    int withdrawn = 0;
    for (int i = 0; i < 5; i++) {
      withdrawn += budget.tryWithdraw(START) ? 1 : 0;
    }
    for (int i = 0; i < requests; i++) {
      budget.deposit(START);
      withdrawn += budget.tryWithdraw(START) ? 1 : 0;
    }
    assertThat(withdrawn, is(lessThanOrEqualTo(maxRetries)));
  }

  @ParameterizedTest
  @CsvSource({"1, 20", "2, 40", "3, 80", "10, 100"})
  void delayStaysWithinTheBound(int retry, long boundMillis) {
    Backoff backoff = new Backoff(Duration.ofMillis(20), Duration.ofMillis(100));
    Random random = new Random(1);
    for (int i = 0; i < 100; i++) {
      assertThat(backoff.delay(retry, random).toMillis(), is(lessThanOrEqualTo(boundMillis)));
    }
  }
}
