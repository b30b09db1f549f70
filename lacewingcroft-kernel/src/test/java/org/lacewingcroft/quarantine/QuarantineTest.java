package org.lacewingcroft.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/** Tests what the completion of a request says about its content and prompt parts. */
class QuarantineTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final RequestFingerprints REQUEST =
      RequestFingerprints.of(new RequestFingerprint(7), List.of("shared", "own"));
  private static final RequestFingerprint PART = REQUEST.promptParts().get(0);

  /** Each row: the time from a completion to the crashes, and whether it clears what crashed. */
  static Stream<Arguments> completions() {
    return Stream.of(
        Arguments.of(Duration.ofSeconds(5), true),
        Arguments.of(Duration.ofSeconds(12), true),
        Arguments.of(Duration.ofMinutes(30), true),
        Arguments.of(RecentCompletions.COMPLETION_TTL, false));
  }

  /** Guards against refusing content that was not requested in the last seconds. */
  @ParameterizedTest
  @MethodSource("completions")
  void completionClearsContentAndParts(Duration elapsed, boolean clears) {
    Quarantine quarantine = new Quarantine();
    quarantine.recordCompletion(REQUEST, /* successful= */ true, NOW);
    Instant later = NOW.plus(elapsed);
    crashEndpoints(quarantine, REQUEST.content(), later);
    crashEndpoints(quarantine, PART, later);
    assertThat(quarantine.clearing(REQUEST.content(), later).isPresent(), is(clears));
    assertThat(quarantine.clearing(PART, later).isPresent(), is(clears));
  }

  /** A rejection may be sent without running the prompt. */
  @ParameterizedTest
  @MethodSource("completions")
  void rejectionDoesNotClearParts(Duration elapsed, boolean clears) {
    Quarantine quarantine = new Quarantine();
    quarantine.recordCompletion(REQUEST, /* successful= */ false, NOW);
    Instant later = NOW.plus(elapsed);
    crashEndpoints(quarantine, PART, later);
    assertThat(quarantine.clearing(PART, later).isPresent(), is(false));
    assertThat(quarantine.remaining(REQUEST, later).isPresent(), is(true));
  }

  private static void crashEndpoints(
      Quarantine quarantine, RequestFingerprint fingerprint, Instant now) {
    for (int i = 0; i < Suspicion.QUARANTINE_THRESHOLD; i++) {
      EndpointCrash crash = new EndpointCrash("e" + i, Duration.ofSeconds(i), false);
      quarantine.merge(Suspicion.of(fingerprint, crash), now);
    }
  }
}
