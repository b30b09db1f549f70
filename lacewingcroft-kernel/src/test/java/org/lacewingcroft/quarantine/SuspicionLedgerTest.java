package org.lacewingcroft.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.quarantine.IncompleteRuns.Kind;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * Tests which evidence quarantines a content, and how instances merge and expire it. Also tests the
 * classes that provide or retract the evidence: {@link RecentCompletions} and {@link
 * IncompleteRuns}.
 */
class SuspicionLedgerTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);

  private static final Duration CRASH_INTERVAL = Duration.ofSeconds(3);

  private static Suspicion suspicion(RequestFingerprint content, String endpoint) {
    return Suspicion.of(content, new EndpointCrash(endpoint, Duration.ZERO, false));
  }

  /** Returns a ledger with endpoints that crashed one after the other, the last one now. */
  private static SuspicionLedger ledger(String... endpoints) {
    return ledger(CRASH_INTERVAL, false, endpoints);
  }

  private static SuspicionLedger ledger(
      Duration interval, boolean detectedByTimeout, String... endpoints) {
    SuspicionLedger ledger = new SuspicionLedger();
    Duration age = interval.multipliedBy(Math.max(0, endpoints.length - 1));
    for (String endpoint : endpoints) {
      ledger.merge(Suspicion.of(CONTENT, new EndpointCrash(endpoint, age, detectedByTimeout)), NOW);
      age = age.minus(interval);
    }
    return ledger;
  }

  static Stream<Arguments> evidence() {
    return Stream.of(
        Arguments.of("none", List.of(), false),
        Arguments.of("two endpoints", List.of("a", "b"), false),
        Arguments.of("one endpoint, reported repeatedly", List.of("a", "a", "a", "a"), false),
        Arguments.of("two incarnations and another endpoint", List.of("a@1", "a@2", "b@1"), true),
        Arguments.of("three endpoints", List.of("a", "b", "c"), true),
        Arguments.of("many endpoints", List.of("a", "b", "c", "d", "e"), true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("evidence")
  void quarantinesContentOfSeveralCrashedIncarnations(
      String name, List<String> endpoints, boolean quarantined) {
    SuspicionLedger ledger = ledger(endpoints.toArray(String[]::new));
    assertThat(ledger.remainingQuarantine(CONTENT, NOW).isPresent(), is(quarantined));
    assertThat(ledger.remainingQuarantine(new RequestFingerprint(8), NOW).isPresent(), is(false));
    assertThat(
        ledger.withCrashesOrCleared(Suspicion.QUARANTINE_THRESHOLD, NOW),
        hasSize(quarantined ? 1 : 0));
    assertThat(ledger.allQuarantineEvidence(NOW), hasSize(quarantined ? 1 : 0));
  }

  /**
   * Cases of crashes of one content. Simultaneous crashes are assumed to have a common cause,
   * independent of what the endpoints were running.
   */
  static Stream<Arguments> crashTimings() {
    Duration window = Duration.ofMillis(100);
    return Stream.of(
        Arguments.of("all simultaneous", Duration.ZERO, false, 8, false),
        Arguments.of(
            "within the propagation time of updates", window.dividedBy(8), false, 8, false),
        Arguments.of("one after the other", window.plusMillis(1), false, 3, true),
        Arguments.of("retried immediately", Duration.ofMillis(60), false, 3, true),
        Arguments.of("timed out within one lease", Duration.ofMillis(300), true, 8, false),
        Arguments.of("timed out one after the other", Duration.ofSeconds(3), true, 3, true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("crashTimings")
  void simultaneousCrashesCountAtMostTwice(
      String name, Duration interval, boolean detectedByTimeout, int count, boolean quarantined) {
    String[] endpoints =
        IntStream.range(0, count).mapToObj(Integer::toString).toArray(String[]::new);
    SuspicionLedger ledger = ledger(interval, detectedByTimeout, endpoints);
    assertThat(ledger.remainingQuarantine(CONTENT, NOW).isPresent(), is(quarantined));
  }

  @Test
  void clearedContentIsQuarantinedOnlyAfterNewCrashes() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    Suspicion earlier = ledger.allQuarantineEvidence(NOW).get(0);
    Instant now = NOW.plusSeconds(1);
    ledger.merge(Suspicion.cleared(CONTENT), now);
    ledger.merge(earlier.agedBy(Duration.ofSeconds(5)), NOW.plusSeconds(5));
    assertThat(ledger.remainingQuarantine(CONTENT, NOW.plusSeconds(5)).isPresent(), is(false));
    for (String endpoint : List.of("d", "e", "f")) {
      now = now.plus(CRASH_INTERVAL);
      ledger.merge(suspicion(CONTENT, endpoint), now);
    }
    assertThat(ledger.remainingQuarantine(CONTENT, now).isPresent(), is(true));
  }

  @Test
  void retractedCrashIsNotEvidence() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    Suspicion earlier = ledger.allQuarantineEvidence(NOW).get(0);
    ledger.retractCrash("b", NOW.plusSeconds(1));
    ledger.merge(earlier.agedBy(Duration.ofSeconds(2)), NOW.plusSeconds(2));
    assertThat(ledger.remainingQuarantine(CONTENT, NOW.plusSeconds(2)).isPresent(), is(false));
    ledger.merge(suspicion(CONTENT, "b"), NOW.plusSeconds(3));
    assertThat(ledger.remainingQuarantine(CONTENT, NOW.plusSeconds(3)).isPresent(), is(true));
  }

  /** Events after which earlier reports of a crash of "b" no longer count. */
  static Stream<Arguments> invalidations() {
    Consumer<SuspicionLedger> incarnationReturned = l -> l.retractCrash("b", NOW.plusSeconds(1));
    Consumer<SuspicionLedger> contentCleared =
        l -> l.merge(Suspicion.cleared(CONTENT), NOW.plusSeconds(1));
    return Stream.of(
        Arguments.of("the incarnation returned", incarnationReturned),
        Arguments.of("the content was cleared", contentCleared));
  }

  /** Guards against an outdated report that removes the evidence of a later, real crash. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("invalidations")
  void outdatedReportLeavesLaterCrash(String name, Consumer<SuspicionLedger> invalidation) {
    SuspicionLedger ledger = ledger("b");
    invalidation.accept(ledger);
    Instant now = NOW;
    for (String endpoint : List.of("b", "c", "d")) {
      now = now.plus(CRASH_INTERVAL);
      ledger.merge(suspicion(CONTENT, endpoint), now);
    }
    Duration sinceOutdated = Duration.between(NOW, now);
    ledger.merge(suspicion(CONTENT, "b").agedBy(sinceOutdated), now);
    assertThat(ledger.remainingQuarantine(CONTENT, now).isPresent(), is(true));
  }

  @Test
  void removesExpiredEvidence() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    Instant expiry = NOW.plus(SuspicionLedger.RETENTION);
    assertThat(ledger.remainingQuarantine(CONTENT, expiry.minusMillis(1)).isPresent(), is(true));
    assertThat(ledger.remainingQuarantine(CONTENT, expiry).isPresent(), is(false));
    ledger.expire(expiry);
    assertThat(ledger.size(), is(0));
    assertThat(ledger.quarantinedDigest(), is(new SuspicionLedger().quarantinedDigest()));
  }

  @Test
  void expiredEvidenceIsNotMerged() {
    Suspicion expired =
        ledger("a", "b", "c").allQuarantineEvidence(NOW).get(0).agedBy(SuspicionLedger.RETENTION);
    SuspicionLedger ledger = new SuspicionLedger();
    assertThat(ledger.merge(expired, NOW).isPresent(), is(false));
    assertThat(ledger.size(), is(0));
  }

  @Test
  void evictsContentsWithFewestCrashes() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    for (int i = 0; i < 3 * SuspicionLedger.MAX_CONTENTS; i++) {
      ledger.merge(suspicion(new RequestFingerprint(1_000 + i), "d"), NOW);
    }
    assertThat(ledger.size(), lessThanOrEqualTo(SuspicionLedger.MAX_CONTENTS));
    assertThat(ledger.remainingQuarantine(CONTENT, NOW).isPresent(), is(true));
  }

  @Test
  void retainsBoundedNumberOfCrashesPerContent() {
    String[] many = IntStream.range(0, 1_000).mapToObj(Integer::toString).toArray(String[]::new);
    SuspicionLedger ledger = new SuspicionLedger();
    for (String endpoint : many) {
      ledger.merge(suspicion(CONTENT, endpoint), NOW);
    }
    ledger.merge(suspicion(CONTENT, "later"), NOW.plus(CRASH_INTERVAL));
    Suspicion suspicion = ledger.allQuarantineEvidence(NOW.plus(CRASH_INTERVAL)).get(0);
    assertThat(suspicion.crashes(), hasSize(SuspicionLedger.MAX_CRASHES_PER_CONTENT));
    assertThat(suspicion.crashedIncarnations(), hasItem("later"));
  }

  /** Guards against losing the independent crashes when many endpoints are lost together. */
  @Test
  void simultaneousCrashesDoNotEndTheQuarantine() {
    SuspicionLedger ledger = ledger("a", "b", "c");
    for (int i = 0; i < 2 * SuspicionLedger.MAX_CRASHES_PER_CONTENT; i++) {
      EndpointCrash crash = new EndpointCrash("lost-" + i, Duration.ZERO, true);
      ledger.merge(Suspicion.of(CONTENT, crash), NOW.plus(CRASH_INTERVAL));
      assertThat(ledger.quarantineEvidence(CONTENT, NOW).isPresent(), is(true));
    }
  }

  /**
   * Each row: the endpoints that crashed with a second part, and whether the first is ambiguous.
   */
  static Stream<Arguments> otherParts() {
    return Stream.of(
        Arguments.of(List.of(), false),
        Arguments.of(List.of("a", "b"), false),
        Arguments.of(List.of("a", "b", "d"), false),
        Arguments.of(List.of("a", "b", "c"), true),
        Arguments.of(List.of("a", "b", "c", "d"), true));
  }

  @ParameterizedTest
  @MethodSource("otherParts")
  void evidenceIsAmbiguousIfOthersExplainEachCrash(List<String> endpoints, boolean ambiguous) {
    SuspicionLedger ledger = ledger("a", "b", "c");
    RequestFingerprint other = new RequestFingerprint(8);
    for (int i = 0; i < endpoints.size(); i++) {
      Duration age = CRASH_INTERVAL.multipliedBy(i);
      ledger.merge(Suspicion.of(other, new EndpointCrash(endpoints.get(i), age, false)), NOW);
    }
    assertThat(ledger.isAmbiguous(CONTENT, NOW), is(ambiguous));
  }

  /** Guards against losing the part that recurs among prompts of which no two are alike. */
  @Test
  void recurringPartIsKeptWhileAllOthersAreNew() {
    SuspicionLedger ledger = new SuspicionLedger();
    for (int crash = 0; crash < 3; crash++) {
      Instant crashedAt = NOW.plus(CRASH_INTERVAL.multipliedBy(crash));
      ledger.merge(suspicion(CONTENT, "e" + crash), crashedAt);
      for (int i = 0; i < SuspicionLedger.MAX_CONTENTS / 2; i++) {
        RequestFingerprint unique =
            new RequestFingerprint(1_000L + crash * SuspicionLedger.MAX_CONTENTS + i);
        ledger.merge(suspicion(unique, "e" + crash), crashedAt);
      }
      assertThat(ledger.size(), lessThanOrEqualTo(SuspicionLedger.MAX_CONTENTS));
    }
    Instant now = NOW.plus(CRASH_INTERVAL.multipliedBy(3));
    assertThat(ledger.quarantineEvidence(CONTENT, now).isPresent(), is(true));
  }

  static Stream<Arguments> digests() {
    return Stream.of(
        Arguments.of("no crash and one crash", ledger(), ledger("a"), true, true),
        Arguments.of(
            "different recurring evidence", ledger("a", "b"), ledger("a", "c"), false, true),
        Arguments.of("different order", ledger("a", "b", "c"), ledger("c", "b", "a"), true, true),
        Arguments.of(
            "both quarantined, by crashes of different endpoints",
            ledger("a", "b", "c"),
            ledger("d", "e", "f"),
            true,
            true),
        Arguments.of(
            "one quarantined, one only recurring",
            ledger("a", "b", "c"),
            ledger("a", "b"),
            false,
            false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("digests")
  void digestsDifferOnlyIfRelevantEvidenceDiffers(
      String name,
      SuspicionLedger one,
      SuspicionLedger other,
      boolean sameRecurring,
      boolean sameQuarantined) {
    assertThat(one.recurringDigest() == other.recurringDigest(), is(sameRecurring));
    assertThat(one.quarantinedDigest() == other.quarantinedDigest(), is(sameQuarantined));
  }

  /**
   * Instances that receive the same crashes late, twice, in any order or not at all converge once
   * they have compared their digests and exchanged the recurring evidence.
   */
  @Property(tries = 300)
  void instancesConvergeDespiteLostUpdates(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int n) {
    Random random = new Random(seed);
    List<SuspicionLedger> ledgers =
        new ArrayList<>(IntStream.range(0, n).mapToObj(i -> new SuspicionLedger()).toList());
    Instant now = NOW;
    for (int crash = 0; crash < 40; crash++) {
      Suspicion suspicion =
          suspicion(new RequestFingerprint(random.nextInt(6)), "e" + random.nextInt(30));
      ledgers.get(random.nextInt(n)).merge(suspicion, now);
      for (SuspicionLedger ledger : ledgers) {
        int copies = random.nextInt(3);
        for (int copy = 0; copy < copies; copy++) {
          ledger.merge(suspicion, now);
        }
      }
      if (random.nextInt(15) == 0) {
        ledgers
            .get(random.nextInt(n))
            .merge(Suspicion.cleared(new RequestFingerprint(random.nextInt(6))), now);
      }
      if (random.nextInt(20) == 0) {
        ledgers.set(random.nextInt(n), new SuspicionLedger());
      }
      now = now.plusMillis(random.nextInt(400));
    }
    for (int round = 0; round < n; round++) {
      exchangeDifferingEvidence(ledgers, now);
    }
    for (SuspicionLedger ledger : ledgers) {
      assertThat(ledger.recurringDigest(), is(ledgers.get(0).recurringDigest()));
      assertThat(ledger.quarantinedDigest(), is(ledgers.get(0).quarantinedDigest()));
      for (int content = 0; content < 6; content++) {
        RequestFingerprint fingerprint = new RequestFingerprint(content);
        assertThat(
            ledger.remainingQuarantine(fingerprint, now).isPresent(),
            is(ledgers.get(0).remainingQuarantine(fingerprint, now).isPresent()));
      }
    }
  }

  private static void exchangeDifferingEvidence(List<SuspicionLedger> ledgers, Instant now) {
    for (SuspicionLedger from : ledgers) {
      for (SuspicionLedger to : ledgers) {
        if (from.recurringDigest() != to.recurringDigest()) {
          from.withCrashesOrCleared(SuspicionLedger.RECURRING_THRESHOLD, now)
              .forEach(s -> to.merge(s, now));
        }
      }
    }
  }

  static Stream<Arguments> completions() {
    Duration ttl = RecentCompletions.COMPLETION_TTL;
    return Stream.of(
        Arguments.of(Duration.ZERO, true),
        Arguments.of(ttl.minusMillis(1), true),
        Arguments.of(ttl, false));
  }

  @ParameterizedTest
  @MethodSource("completions")
  void recentCompletionClearsItsContentOnly(Duration age, boolean clears) {
    RecentCompletions completions = new RecentCompletions();
    completions.record(CONTENT, NOW.minus(age));
    assertThat(completions.isRecentlyCompleted(CONTENT, NOW), is(clears));
    assertThat(completions.isRecentlyCompleted(new RequestFingerprint(8), NOW), is(false));
  }

  @Test
  void retainsBoundedNumberOfCompletions() {
    RecentCompletions completions = new RecentCompletions();
    completions.record(CONTENT, NOW);
    for (int i = 0; i < RecentCompletions.MAX_COMPLETIONS; i++) {
      completions.record(new RequestFingerprint(1_000 + i), NOW);
    }
    assertThat(completions.isRecentlyCompleted(CONTENT, NOW), is(not(true)));
  }

  /** Cases of a run that was abandoned before its endpoint crashed. */
  static Stream<Arguments> abandonedRuns() {
    Duration second = Duration.ofSeconds(1);
    return Stream.of(
        Arguments.of("no response since before", second.negated(), second, true),
        Arguments.of(
            "responded to others for half a second more", second.dividedBy(2), second, true),
        Arguments.of("continued to respond", second.multipliedBy(2), second.multipliedBy(3), false),
        Arguments.of(
            "crashed after the retention time", second.negated(), IncompleteRuns.RETENTION, false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("abandonedRuns")
  void abandonedRunIsSuspectIfItsEndpointStoppedResponding(
      String name, Duration lastByteAfter, Duration crashedAfter, boolean suspect) {
    IncompleteRuns runs = new IncompleteRuns();
    assertThat(runs.record("e", CONTENT, Kind.GIVEN_UP, NOW).isPresent(), is(false));
    List<Suspicion> suspicions =
        runs.endpointCrashed("e", NOW.plus(lastByteAfter), NOW.plus(crashedAfter));
    List<RequestFingerprint> contents = suspicions.stream().map(Suspicion::content).toList();
    assertThat(contents, is(suspect ? List.of(CONTENT) : List.of()));
    assertThat(runs.endpointCrashed("e", NOW, NOW), is(List.of()));
  }

  @Test
  void onlyLostConnectionGivesExactCrashTime() {
    IncompleteRuns runs = new IncompleteRuns();
    RequestFingerprint other = new RequestFingerprint(8);
    runs.record("e", CONTENT, Kind.BROKEN_OFF, NOW);
    runs.record("e", other, Kind.GIVEN_UP, NOW);
    Duration later = Duration.ofSeconds(2);
    assertThat(
        runs.endpointCrashed("e", NOW, NOW.plus(later)),
        is(
            List.of(
                Suspicion.of(CONTENT, new EndpointCrash("e", later, false)),
                Suspicion.of(other, new EndpointCrash("e", Duration.ZERO, true)))));
  }

  @Test
  void runsAtRecoveredEndpointAreNotSuspect() {
    IncompleteRuns runs = new IncompleteRuns();
    runs.endpointCrashed("e", NOW, NOW);
    runs.endpointRecovered("e");
    assertThat(runs.record("e", CONTENT, Kind.BROKEN_OFF, NOW).isPresent(), is(false));
  }

  @Test
  void runAbandonedAfterCrashIsSuspectImmediately() {
    IncompleteRuns runs = new IncompleteRuns();
    runs.endpointCrashed("e", NOW, NOW);
    Instant late = NOW.plus(IncompleteRuns.RETENTION);
    Kind kind = Kind.GIVEN_UP;
    assertThat(runs.record("e", CONTENT, kind, NOW.plusSeconds(1)).isPresent(), is(true));
    assertThat(runs.record("e", CONTENT, kind, late).isPresent(), is(false));
    assertThat(runs.record("f", CONTENT, kind, NOW).isPresent(), is(false));
  }

  @Test
  void retainsBoundedNumberOfRunsForBoundedTime() {
    IncompleteRuns runs = new IncompleteRuns();
    for (int i = 0; i < 3 * IncompleteRuns.MAX_RUNS_PER_ENDPOINT; i++) {
      runs.record("e", new RequestFingerprint(i), Kind.GIVEN_UP, NOW);
    }
    assertThat(runs.endpointCrashed("e", NOW, NOW), hasSize(IncompleteRuns.MAX_RUNS_PER_ENDPOINT));
    runs.record("f", CONTENT, Kind.GIVEN_UP, NOW);
    for (int i = 0; i < IncompleteRuns.MAX_ENDPOINTS; i++) {
      runs.record("g" + i, CONTENT, Kind.GIVEN_UP, NOW);
    }
    assertThat(runs.endpointCrashed("f", NOW, NOW), is(List.of()));
    Instant later = NOW.plus(IncompleteRuns.RETENTION).plusMillis(1);
    runs.expire(later);
    assertThat(runs.endpointCrashed("g9", NOW, NOW), is(List.of()));
  }
}
