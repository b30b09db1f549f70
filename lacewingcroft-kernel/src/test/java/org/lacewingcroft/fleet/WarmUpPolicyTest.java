package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a warm-up that delays callers or the readiness of an entry. */
class WarmUpPolicyTest {
  @ParameterizedTest(name = "{0} requests, state {1}, caller {2}, {3} ms after the start: {4}")
  @CsvSource({
    "300, false, false, 100, WAIT",
    "300, true, false, 100, BEGIN",
    "300, true, false, 9000, BEGIN",
    "300, true, false, 9001, SKIP",
    "300, false, false, 9001, SKIP",
    "300, true, true, 100, SKIP",
    "0, true, false, 100, SKIP"
  })
  void beginsOnlyInTimeAndWithoutCallers(
      int requests, boolean state, boolean caller, long millis, WarmUpPolicy.Start expected) {
    assertThat(
        new WarmUpPolicy(requests).decideStart(state, caller, Duration.ofMillis(millis)),
        is(expected));
  }

  @ParameterizedTest(name = "{0} sent, {1} failed, caller {2}, after {3} ms: {4}")
  @CsvSource({
    "0, 0, false, 0, CONTINUE",
    "99, 2, false, 2999, CONTINUE",
    "100, 0, false, 10, COMPLETE",
    "50, 0, false, 3000, TIMEOUT",
    "50, 0, true, 10, CALLER",
    "50, 3, false, 10, FAILED",
    "100, 3, false, 3000, FAILED"
  })
  void endsAtItsBoundsAndForCallers(
      int sent, int failed, boolean caller, long millis, WarmUpPolicy.Verdict expected) {
    assertThat(
        new WarmUpPolicy(100).decideNext(sent, failed, caller, Duration.ofMillis(millis)),
        is(expected));
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, 301})
  void rejectsAnotherNumberOfRequests(int requests) {
    assertThrows(IllegalArgumentException.class, () -> new WarmUpPolicy(requests));
  }
}
