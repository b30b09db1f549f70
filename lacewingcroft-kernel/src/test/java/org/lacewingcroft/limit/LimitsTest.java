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

class LimitsTest {
  private static final Instant T0 = Instant.EPOCH;

  static Stream<Arguments> arrivals() {
    return Stream.of(
        Arguments.of("no limit", 0, List.of(0, 0, 0, 0), List.of(true, true, true, true)),
        Arguments.of("burst of a second", 2, List.of(0, 0, 0), List.of(true, true, false)),
        Arguments.of("refills", 2, List.of(0, 0, 499, 500), List.of(true, true, false, true)),
        Arguments.of(
            "saves up no more than the burst",
            1,
            List.of(0, 60_000, 60_000),
            List.of(true, true, false)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("arrivals")
  void admitsAtTheOrganisationsRate(
      String name, int perSecond, List<Integer> atMillis, List<Boolean> admitted) {
    AdmissionLimiter limiter = new AdmissionLimiter();
    List<Boolean> seen =
        atMillis.stream()
            .map(at -> limiter.admit("org", perSecond, T0.plusMillis(at)).isEmpty())
            .toList();
    assertThat(seen, is(admitted));
  }

  @Test
  void saysWhenToComeBackAndKeepsOrganisationsApart() {
    AdmissionLimiter limiter = new AdmissionLimiter();
    limiter.admit("org", 4, T0);
    for (int i = 0; i < 3; i++) {
      limiter.admit("org", 4, T0);
    }
    assertThat(limiter.admit("org", 4, T0).orElseThrow(), is(Duration.ofMillis(250)));
    assertThat(limiter.admit("other", 4, T0).isEmpty(), is(true));
    assertThat(limiter.admit("org", 8, T0).isEmpty(), is(true));
  }

  @ParameterizedTest
  @CsvSource({"0, 5", "10, 6", "100, 15", "1000, 105"})
  void spendsNoMoreRetriesThanEarned(int requests, int most) {
    RetryBudget budget = new RetryBudget(0.1, 5, T0);
    int spent = 0;
    for (int i = 0; i < 5; i++) {
      spent += budget.tryWithdraw(T0) ? 1 : 0;
    }
    for (int i = 0; i < requests; i++) {
      budget.deposit(T0);
      spent += budget.tryWithdraw(T0) ? 1 : 0;
    }
    assertThat(spent, is(lessThanOrEqualTo(most)));
  }

  @ParameterizedTest
  @CsvSource({"1, 20", "2, 40", "3, 80", "10, 100"})
  void backsOffWithinTheBound(int retry, long boundMillis) {
    Backoff backoff = new Backoff(Duration.ofMillis(20), Duration.ofMillis(100));
    Random random = new Random(1);
    for (int i = 0; i < 100; i++) {
      assertThat(backoff.delay(retry, random).toMillis(), is(lessThanOrEqualTo(boundMillis)));
    }
  }
}
