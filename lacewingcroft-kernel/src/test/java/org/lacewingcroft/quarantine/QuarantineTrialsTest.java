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

class QuarantineTrialsTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);
  private static final List<String> ENTRIES =
      IntStream.range(0, 88).mapToObj(i -> "entry-" + i).toList();

  /**
   * A content under which so many endpoints ended one after the other, the last one so long ago.
   */
  private static Suspicion quarantined(int endpoints, Duration lastAge) {
    Set<EndpointCrash> ends = new HashSet<>();
    for (int i = 0; i < endpoints; i++) {
      ends.add(new EndpointCrash("e" + i, lastAge.plusSeconds(10L * i), false));
    }
    return new Suspicion(CONTENT, ends, Optional.empty());
  }

  static Stream<Arguments> states() {
    Duration due = QuarantineTrials.AFTER;
    return Stream.of(
        Arguments.of("too early", 3, due.minusMillis(1), false),
        Arguments.of("long without an end", 3, due, true),
        Arguments.of("one trial failed", 4, due, true),
        Arguments.of("several failed", 3 + QuarantineTrials.MOST_FAILED, due, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("states")
  void oneEntryTriesWhatHasEndedNothingForLong(
      String name, int ends, Duration lastAge, boolean tried) {
    Suspicion known = quarantined(ends, lastAge);
    long trying =
        ENTRIES.stream()
            .filter(e -> new QuarantineTrials().tryStartTrial(known, e, ENTRIES, NOW))
            .count();
    assertThat(trying, is(tried ? 1L : 0L));
  }

  /** Callers ask at any entry; each is to have its turn, and none tries twice within one. */
  @Test
  void entriesTakeTurns() {
    Map<String, QuarantineTrials> trials = new HashMap<>();
    ENTRIES.forEach(e -> trials.put(e, new QuarantineTrials()));
    Set<String> tried = new HashSet<>();
    int turns = 300;
    int runs = 0;
    for (int i = 0; i < turns * 4; i++) {
      Duration passed = QuarantineTrials.TURN.dividedBy(4).multipliedBy(i);
      Suspicion known = quarantined(3, QuarantineTrials.AFTER.plus(passed));
      for (String entry : ENTRIES) {
        if (trials.get(entry).tryStartTrial(known, entry, ENTRIES, NOW.plus(passed))) {
          tried.add(entry);
          runs++;
        }
      }
    }
    assertThat(runs, lessThanOrEqualTo(turns));
    assertThat(tried.size(), greaterThanOrEqualTo(ENTRIES.size() / 2));
  }
}
