package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests a late entry admits. */
class EntryAdmissionTest {
  private static final long SEED = 7;

  private final EntryAdmission admission = new EntryAdmission(new Random(SEED));

  private EntryAdmission.Decision decide(
      int waitMillis, int limitMillis, boolean repeatable, int iterationMillis) {
    return admission.decide(
        new EntryAdmission.Candidate(
            Duration.ofMillis(waitMillis),
            Duration.ofMillis(limitMillis),
            Duration.ofMillis(500),
            repeatable),
        Duration.ofMillis(iterationMillis));
  }

  /**
   * Guards against changes while the event loop is not late (rows with a wait below 100 ms), and
   * against refusing requests that still can be served.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 50, false, 900, 0",
    "99, 90, true, 900, 0",
    "100, 2500, true, 5, 100",
    "2000, 2500, true, 5, 2000",
    "2000, 4000, false, 5, 2000",
    "300, 2500, true, 300, 300"
  })
  void admitsWhatCanBeServed(
      int waitMillis, int limitMillis, boolean repeatable, int iterationMillis, int beforeMillis) {
    assertThat(
        decide(waitMillis, limitMillis, repeatable, iterationMillis),
        is(new EntryAdmission.Admitted(Duration.ofMillis(beforeMillis))));
  }

  /**
   * Guards against holding requests until their timeout, and against running a request that may run
   * only once when its response would be too late.
   */
  @ParameterizedTest
  @CsvSource({
    "2000, 1500, true, 5",
    "2000, 2000, true, 0",
    "1000, 2500, true, 800",
    "2000, 2500, false, 5",
    "100, 100, true, 0"
  })
  void refusesWhatCannotBeServed(
      int waitMillis, int limitMillis, boolean repeatable, int iterationMillis) {
    assertThat(
        decide(waitMillis, limitMillis, repeatable, iterationMillis),
        instanceOf(EntryAdmission.Refused.class));
  }

  /** Guards against refused callers that all return at the same time. */
  @Test
  void spreadsTheRepeats() {
    long[] millis =
        IntStream.range(0, 200)
            .mapToObj(i -> (EntryAdmission.Refused) decide(2_000, 1_000, true, 5))
            .mapToLong(refused -> refused.retryAfter().toMillis())
            .toArray();
    for (long value : millis) {
      assertThat(
          value,
          both(greaterThanOrEqualTo(EntryAdmission.MIN_RETRY_AFTER.toMillis()))
              .and(lessThanOrEqualTo(EntryAdmission.MAX_RETRY_AFTER.toMillis())));
    }
    assertThat(java.util.Arrays.stream(millis).distinct().count(), greaterThan(100L));
  }
}
