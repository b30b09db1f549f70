package org.lacewingcroft.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.request.RequestFingerprint;

/** Tests when a quarantined content is run as a trial, and by which entry. */
class QuarantineTrialsTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);
  private static final List<String> ENTRIES =
      IntStream.range(0, 88).mapToObj(i -> "entry-" + i).toList();

  /**
   * Returns evidence of the given number of endpoints that crashed one after the other.
   *
   * @param lastAge the time since the last crash
   */
  private static Suspicion quarantined(int endpoints, Duration lastAge) {
    Set<EndpointCrash> crashes = new HashSet<>();
    for (int i = 0; i < endpoints; i++) {
      crashes.add(new EndpointCrash("e" + i, lastAge.plusSeconds(10L * i), false));
    }
    return new Suspicion(CONTENT, crashes, Optional.empty());
  }

  static Stream<Arguments> states() {
    Duration due = QuarantineTrials.TRIAL_DELAY;
    return Stream.of(
        Arguments.of("too early", 3, due.minusMillis(1), false),
        Arguments.of("no crash for the trial delay", 3, due, true),
        Arguments.of("one trial failed", 4, due, true),
        Arguments.of(
            "maximum number of trials failed", 3 + QuarantineTrials.MAX_FAILED_TRIALS, due, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("states")
  void oneEntryRunsTrialAfterDelayWithoutCrash(
      String name, int crashes, Duration lastAge, boolean expectsTrial) {
    Suspicion suspicion = quarantined(crashes, lastAge);
    long trials =
        ENTRIES.stream()
            .filter(
                e ->
                    new QuarantineTrials()
                        .tryStartTrial(List.of(suspicion), false, e, ENTRIES, NOW))
            .count();
    assertThat(trials, is(expectsTrial ? 1L : 0L));
  }

  static Stream<Arguments> ambiguousStates() {
    Duration delay = QuarantineTrials.AMBIGUOUS_TRIAL_DELAY;
    int maxCrashes = 3 + QuarantineTrials.MAX_FAILED_AMBIGUOUS_TRIALS;
    return Stream.of(
        Arguments.of("too early", 3, delay.minusMillis(1), false),
        Arguments.of("no crash for the delay", 3, delay, true),
        Arguments.of(
            "too early after a failed trial", 4, delay.multipliedBy(2).minusMillis(1), false),
        Arguments.of("twice the delay after a failed trial", 4, delay.multipliedBy(2), true),
        Arguments.of(
            "maximum number of trials failed", maxCrashes, QuarantineTrials.TRIAL_DELAY, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("ambiguousStates")
  void trialsStartEarlyWhileEvidenceIsAmbiguous(
      String name, int crashes, Duration lastAge, boolean expectsTrial) {
    Suspicion suspicion = quarantined(crashes, lastAge);
    long trials =
        ENTRIES.stream()
            .filter(
                e ->
                    new QuarantineTrials().tryStartTrial(List.of(suspicion), true, e, ENTRIES, NOW))
            .count();
    assertThat(trials, is(expectsTrial ? 1L : 0L));
  }

  /** A request that also has what is not due for a trial must not run. */
  @Test
  void trialNeedsAllQuarantinedPartsToBeDue() {
    Suspicion due = quarantined(3, QuarantineTrials.TRIAL_DELAY);
    Suspicion recent =
        new Suspicion(
            new RequestFingerprint(8),
            quarantined(3, Duration.ofSeconds(1)).crashes(),
            Optional.empty());
    List<String> self = List.of("entry");
    assertThat(
        new QuarantineTrials().tryStartTrial(List.of(due, recent), false, "entry", self, NOW),
        is(false));
    assertThat(
        new QuarantineTrials().tryStartTrial(List.of(due), false, "entry", self, NOW), is(true));
  }

  /** Callers send to any entry, so entries take turns, with at most one trial per turn. */
  @Test
  void entriesTakeTurns() {
    Map<String, QuarantineTrials> trials = new HashMap<>();
    ENTRIES.forEach(e -> trials.put(e, new QuarantineTrials()));
    Set<String> triedBy = new HashSet<>();
    int turns = 300;
    int runs = 0;
    for (int i = 0; i < turns * 4; i++) {
      Duration elapsed = QuarantineTrials.TURN_DURATION.dividedBy(4).multipliedBy(i);
      Suspicion suspicion = quarantined(3, QuarantineTrials.TRIAL_DELAY.plus(elapsed));
      for (String entry : ENTRIES) {
        if (trials
            .get(entry)
            .tryStartTrial(List.of(suspicion), false, entry, ENTRIES, NOW.plus(elapsed))) {
          triedBy.add(entry);
          runs++;
        }
      }
    }
    assertThat(runs, lessThanOrEqualTo(turns));
    assertThat(triedBy.size(), greaterThanOrEqualTo(ENTRIES.size() / 2));
  }
}
