package org.lacewingcroft.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.request.RequestFingerprint;

class SuspicionLedgerTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);

  private static Suspicion suspicion(RequestFingerprint content, String endpoint) {
    return new Suspicion(content, Set.of(endpoint), Duration.ZERO);
  }

  private static SuspicionLedger ledger(String... endpoints) {
    SuspicionLedger ledger = new SuspicionLedger();
    for (String endpoint : endpoints) {
      ledger.add(suspicion(CONTENT, endpoint), NOW);
    }
    return ledger;
  }

  static Stream<Arguments> evidence() {
    return Stream.of(
        Arguments.of("none", List.of(), false),
        Arguments.of("two endpoints", List.of("a", "b"), false),
        Arguments.of("one endpoint, told often", List.of("a", "a", "a", "a"), false),
        Arguments.of("two incarnations and another", List.of("a@1", "a@2", "b@1"), true),
        Arguments.of("three endpoints", List.of("a", "b", "c"), true),
        Arguments.of("many endpoints", List.of("a", "b", "c", "d", "e"), true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("evidence")
  void quarantinesWhatSeveralIncarnationsEndUnder(
      String name, List<String> endpoints, boolean quarantined) {
    SuspicionLedger ledger = ledger(endpoints.toArray(String[]::new));
    assertThat(ledger.quarantinedFor(CONTENT, NOW).isPresent(), is(quarantined));
    assertThat(ledger.quarantinedFor(new RequestFingerprint(8), NOW).isPresent(), is(false));
    assertThat(ledger.atLeast(SuspicionLedger.QUARANTINED, NOW), hasSize(quarantined ? 1 : 0));
  }

  @Test
  void forgetsOldEvidence() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    Instant end = NOW.plus(SuspicionLedger.MEMORY);
    assertThat(ledger.quarantinedFor(CONTENT, end.minusMillis(1)).isPresent(), is(true));
    assertThat(ledger.quarantinedFor(CONTENT, end).isPresent(), is(false));
    ledger.expire(end);
    assertThat(ledger.size(), is(0));
    assertThat(ledger.quarantinedDigest(), is(new SuspicionLedger().quarantinedDigest()));
  }

  @Test
  void whatWasForgottenDoesNotComeBack() {
    Suspicion old = new Suspicion(CONTENT, Set.of("a", "b", "c"), SuspicionLedger.MEMORY);
    SuspicionLedger ledger = new SuspicionLedger();
    assertThat(ledger.add(old, NOW).isPresent(), is(false));
    assertThat(ledger.size(), is(0));
  }

  @Test
  void keepsTheWorstWhenThereIsNoMoreRoom() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    for (int i = 0; i < 3 * SuspicionLedger.MOST_CONTENTS; i++) {
      ledger.add(suspicion(new RequestFingerprint(1_000 + i), "d"), NOW);
    }
    assertThat(ledger.size(), lessThanOrEqualTo(SuspicionLedger.MOST_CONTENTS));
    assertThat(ledger.quarantinedFor(CONTENT, NOW).isPresent(), is(true));
  }

  @Test
  void remembersNoMoreEndpointsThanItNeeds() {
    String[] many = IntStream.range(0, 1_000).mapToObj(Integer::toString).toArray(String[]::new);
    SuspicionLedger ledger = new SuspicionLedger();
    ledger.add(new Suspicion(CONTENT, Set.copyOf(Arrays.asList(many)), Duration.ZERO), NOW);
    Suspicion known = ledger.atLeast(SuspicionLedger.QUARANTINED, NOW).get(0);
    assertThat(known.endpoints(), hasSize(SuspicionLedger.QUARANTINED));
  }

  static Stream<Arguments> digests() {
    return Stream.of(
        Arguments.of("no evidence and little", ledger(), ledger("a"), true, true),
        Arguments.of("other recurring evidence", ledger("a", "b"), ledger("a", "c"), false, true),
        Arguments.of("another order", ledger("a", "b", "c"), ledger("c", "b", "a"), true, true),
        Arguments.of("other proof", ledger("a", "b", "c"), ledger("d", "e", "f"), true, true),
        Arguments.of("proof and none", ledger("a", "b", "c"), ledger("a", "b"), false, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("digests")
  void digestsTellWhetherNewsAreMissing(
      String name,
      SuspicionLedger one,
      SuspicionLedger other,
      boolean sameRecurring,
      boolean sameQuarantined) {
    assertThat(one.recurringDigest() == other.recurringDigest(), is(sameRecurring));
    assertThat(one.quarantinedDigest() == other.quarantinedDigest(), is(sameQuarantined));
  }

  /**
   * Instances that hear of the same ends late, twice, in any order or not at all agree once they
   * have compared their digests and told each other what recurs.
   */
  @Property(tries = 300)
  void instancesAgreeWhateverWasLost(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int n) {
    Random random = new Random(seed);
    List<SuspicionLedger> ledgers =
        new ArrayList<>(IntStream.range(0, n).mapToObj(i -> new SuspicionLedger()).toList());
    Instant now = NOW;
    for (int end = 0; end < 40; end++) {
      Suspicion suspicion =
          suspicion(new RequestFingerprint(random.nextInt(6)), "e" + random.nextInt(30));
      ledgers.get(random.nextInt(n)).add(suspicion, now);
      for (SuspicionLedger ledger : ledgers) {
        int copies = random.nextInt(3);
        for (int copy = 0; copy < copies; copy++) {
          ledger.add(suspicion, now);
        }
      }
      if (random.nextInt(20) == 0) {
        ledgers.set(random.nextInt(n), new SuspicionLedger());
      }
      now = now.plusMillis(random.nextInt(400));
    }
    for (int round = 0; round < n; round++) {
      exchangeWhatDiffers(ledgers, now);
    }
    for (SuspicionLedger ledger : ledgers) {
      assertThat(ledger.recurringDigest(), is(ledgers.get(0).recurringDigest()));
      assertThat(ledger.quarantinedDigest(), is(ledgers.get(0).quarantinedDigest()));
      for (int content = 0; content < 6; content++) {
        RequestFingerprint fingerprint = new RequestFingerprint(content);
        assertThat(
            ledger.quarantinedFor(fingerprint, now).isPresent(),
            is(ledgers.get(0).quarantinedFor(fingerprint, now).isPresent()));
      }
    }
  }

  private static void exchangeWhatDiffers(List<SuspicionLedger> ledgers, Instant now) {
    for (SuspicionLedger from : ledgers) {
      for (SuspicionLedger to : ledgers) {
        if (from.recurringDigest() != to.recurringDigest()) {
          from.atLeast(SuspicionLedger.RECURRING, now).forEach(s -> to.add(s, now));
        }
      }
    }
  }

  static Stream<Arguments> completions() {
    Duration valid = RecentCompletions.VALID;
    return Stream.of(
        Arguments.of(Duration.ZERO, true),
        Arguments.of(valid.minusMillis(1), true),
        Arguments.of(valid, false));
  }

  @ParameterizedTest
  @MethodSource("completions")
  void recentCompletionClearsItsContentOnly(Duration ago, boolean clears) {
    RecentCompletions completions = new RecentCompletions();
    completions.completed(CONTENT, NOW.minus(ago));
    assertThat(completions.clears(CONTENT, NOW), is(clears));
    assertThat(completions.clears(new RequestFingerprint(8), NOW), is(false));
  }

  @Test
  void completionsTakeBoundedRoom() {
    RecentCompletions completions = new RecentCompletions();
    completions.completed(CONTENT, NOW);
    for (int i = 0; i < RecentCompletions.MOST_CONTENTS; i++) {
      completions.completed(new RequestFingerprint(1_000 + i), NOW);
    }
    assertThat(completions.clears(CONTENT, NOW), is(not(true)));
  }

  /** What became of a run that was given up at an endpoint that ended. */
  static Stream<Arguments> givenUp() {
    Duration second = Duration.ofSeconds(1);
    return Stream.of(
        Arguments.of("silent since before", second.negated(), second, true),
        Arguments.of("answered others a moment longer", second.dividedBy(2), second, true),
        Arguments.of("went on answering", second.multipliedBy(2), second.multipliedBy(3), false),
        Arguments.of("ended long after", second.negated(), UnansweredRuns.VALID, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("givenUp")
  void runGivenUpIsSuspectIfItsEndpointSaidNothingMore(
      String name, Duration lastByteAfter, Duration endedAfter, boolean suspect) {
    UnansweredRuns runs = new UnansweredRuns();
    assertThat(runs.givenUp("e", CONTENT, NOW), is(false));
    List<RequestFingerprint> suspects =
        runs.ended("e", NOW.plus(lastByteAfter), NOW.plus(endedAfter));
    assertThat(suspects, is(suspect ? List.of(CONTENT) : List.of()));
    assertThat(runs.ended("e", NOW, NOW), is(List.of()));
  }

  @Test
  void runGivenUpAfterItsEndpointEndedIsSuspectAtOnce() {
    UnansweredRuns runs = new UnansweredRuns();
    runs.ended("e", NOW, NOW);
    assertThat(runs.givenUp("e", CONTENT, NOW.plusSeconds(1)), is(true));
    assertThat(runs.givenUp("e", CONTENT, NOW.plus(UnansweredRuns.VALID)), is(false));
    assertThat(runs.givenUp("f", CONTENT, NOW), is(false));
  }

  @Test
  void unansweredRunsTakeBoundedRoomAndTime() {
    UnansweredRuns runs = new UnansweredRuns();
    for (int i = 0; i < 3 * UnansweredRuns.MOST_RUNS; i++) {
      runs.givenUp("e", new RequestFingerprint(i), NOW);
    }
    assertThat(runs.ended("e", NOW, NOW), hasSize(UnansweredRuns.MOST_RUNS));
    runs.givenUp("f", CONTENT, NOW);
    for (int i = 0; i < UnansweredRuns.MOST_ENDPOINTS; i++) {
      runs.givenUp("g" + i, CONTENT, NOW);
    }
    assertThat(runs.ended("f", NOW, NOW), is(List.of()));
    Instant later = NOW.plus(UnansweredRuns.VALID).plusMillis(1);
    runs.expire(later);
    assertThat(runs.ended("g9", NOW, NOW), is(List.of()));
  }
}
