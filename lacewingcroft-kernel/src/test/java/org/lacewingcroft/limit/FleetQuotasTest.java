package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/** Tests entries that share quotas by reporting their usage to each other. */
class FleetQuotasTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final int ENTRIES = 88;

  /** Delay until a usage update reaches the other entries. */
  private static final Duration UPDATE_DELAY = Duration.ofMillis(400);

  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration WINDOW = Duration.ofSeconds(8);
  private static final double MAX_OVERSHOOT_FACTOR = 1.1;
  private static final long SLACK_TOKENS = 140_000;

  private static Organisation organisation(double perSecond, double burst) {
    Quota quota = new Quota(perSecond, burst, Quota.Unit.TOKENS, 200);
    return new Organisation("desk", Set.of("k"), OptionalInt.empty(), Optional.of(quota), Set.of());
  }

  private static final String REGION = "uusimaa";

  /** Returns quotas of one of several entries, whose buckets are full if it hears from the rest. */
  private static FleetQuotas quotasOf(
      Organisation organisation, int entries, LongSupplier counterIds, Instant now) {
    FleetQuotas quotas = new FleetQuotas(REGION, counterIds);
    quotas.setEntries(Map.of(REGION, entries), true, now.minusSeconds(60));
    quotas.configure(List.of(organisation), now.minusSeconds(60));
    return quotas;
  }

  /** Returns quotas of a single entry that have been active for long enough for full buckets. */
  private static FleetQuotas quotasOf(Organisation organisation, Instant now) {
    return quotasOf(organisation, 1, new Random(1)::nextLong, now);
  }

  private static UsageReport peerReport(long counter, long ageMillis, long total) {
    return new UsageReport(REGION, counter, ageMillis, 1, 1, Map.of("desk", total), Map.of());
  }

  private record UsageUpdate(Instant sentAt, UsageReport report) {}

  /** A fleet whose entries receive each other's usage with a delay. */
  private static final class Fleet {
    private final Organisation organisation;
    private final Random random;
    private final List<FleetQuotas> entries;
    private final UsageCollector collector;
    private final Deque<UsageUpdate> inTransit = new ArrayDeque<>();
    private final Deque<long[]> admitted = new ArrayDeque<>();
    private long tokensInWindow;
    private long maxTokensInWindow;
    private int rejected;
    private Instant now;

    private Fleet(Organisation organisation, long seed) {
      this.organisation = organisation;
      this.random = new Random(seed);
      this.entries =
          IntStream.range(0, ENTRIES)
              .mapToObj(i -> quotasOf(organisation, ENTRIES, random::nextLong, START))
              .toList();
      this.collector = new UsageCollector(REGION, random.nextLong());
      for (now = START.minusSeconds(10); now.isBefore(START); now = now.plus(STEP)) {
        exchangeUsage();
      }
    }

    /**
     * Sends requests to random entries at the given rate, each of which costs between 1,000 and
     * 16,000 tokens.
     */
    private void run(Duration duration, double tokensPerSecond) {
      Instant end = now.plus(duration);
      double pendingTokens = 0;
      while (now.isBefore(end)) {
        now = now.plus(STEP);
        pendingTokens += tokensPerSecond * STEP.toMillis() / 1_000;
        while (pendingTokens > 0) {
          long cost = 1_000 + random.nextInt(15_000);
          pendingTokens -= cost;
          sendRequest(cost);
        }
        exchangeUsage();
        evictOutsideWindow();
      }
    }

    private void sendRequest(long cost) {
      FleetQuotas entry = entries.get(random.nextInt(ENTRIES));
      if (entry.charge(organisation, cost, now).isPresent()) {
        rejected++;
        return;
      }
      admitted.add(new long[] {now.toEpochMilli(), cost});
      tokensInWindow += cost;
      maxTokensInWindow = Math.max(maxTokensInWindow, tokensInWindow);
    }

    private void exchangeUsage() {
      for (int i = 0; i < ENTRIES; i++) {
        String name = "entry-" + i;
        entries
            .get(i)
            .reportIfDue(Duration.ofSeconds(1), now)
            .ifPresent(r -> collector.add(name, r, now));
      }
      collector.reportIfDue(now).ifPresent(r -> inTransit.add(new UsageUpdate(now, r)));
      while (!inTransit.isEmpty() && !inTransit.peek().sentAt().plus(UPDATE_DELAY).isAfter(now)) {
        UsageReport arrived = inTransit.remove().report();
        entries.forEach(e -> e.apply(List.of(arrived), now));
      }
    }

    private void evictOutsideWindow() {
      long oldest = now.minus(WINDOW).toEpochMilli();
      while (!admitted.isEmpty() && admitted.peek()[0] <= oldest) {
        tokensInWindow -= admitted.remove()[1];
      }
    }
  }

  static Stream<Arguments> loads() {
    List<Arguments> rows = new ArrayList<>();
    for (double perSecond : new double[] {50_000, 300_000, 1_800_000}) {
      for (long seed = 1; seed <= 3; seed++) {
        rows.add(Arguments.of(perSecond, seed));
      }
    }
    return rows.stream();
  }

  @ParameterizedTest
  @MethodSource("loads")
  void requestsBelowTheQuotaAreNeverRejected(double perSecond, long seed) {
    Fleet fleet = new Fleet(organisation(perSecond, perSecond), seed);
    fleet.run(Duration.ofSeconds(30), perSecond * 0.56);
    fleet.run(Duration.ofSeconds(2), perSecond * 0.9);
    fleet.run(Duration.ofSeconds(10), perSecond * 0.56);
    assertThat(fleet.rejected, is(0));
  }

  /** The load of an organisation suddenly rises to six times its usual load. */
  @ParameterizedTest
  @MethodSource("loads")
  void entriesTogetherStayWithinTheQuota(double perSecond, long seed) {
    Fleet fleet = new Fleet(organisation(perSecond, perSecond), seed);
    fleet.run(Duration.ofSeconds(10), perSecond * 0.56);
    fleet.run(Duration.ofSeconds(20), perSecond * 0.56 * 6);
    double allowed =
        (perSecond * WINDOW.toSeconds() + perSecond) * MAX_OVERSHOOT_FACTOR + SLACK_TOKENS;
    assertThat((double) fleet.maxTokensInWindow, lessThanOrEqualTo(allowed));
    assertThat(
        "quota is used",
        (double) fleet.maxTokensInWindow,
        greaterThan(perSecond * WINDOW.toSeconds() * 0.9));
  }

  /** Shows why quotas are not split: one bucket per entry with a fixed share of rate and burst. */
  @ParameterizedTest
  @MethodSource("loads")
  void fixedSharesRejectRequestsBelowTheQuota(double perSecond, long seed) {
    Random random = new Random(seed);
    double[] balances = new double[ENTRIES];
    Arrays.fill(balances, perSecond / ENTRIES);
    int rejected = 0;
    double pendingTokens = 0;
    for (Instant now = START; now.isBefore(START.plusSeconds(30)); now = now.plus(STEP)) {
      double share = perSecond / ENTRIES;
      for (int i = 0; i < ENTRIES; i++) {
        balances[i] = Math.min(share, balances[i] + share * STEP.toMillis() / 1_000);
      }
      pendingTokens += perSecond * 0.56 * STEP.toMillis() / 1_000;
      while (pendingTokens > 0) {
        long cost = 1_000 + random.nextInt(15_000);
        pendingTokens -= cost;
        int entry = random.nextInt(ENTRIES);
        if (balances[entry] < Math.min(cost, share)) {
          rejected++;
        } else {
          balances[entry] -= cost;
        }
      }
    }
    assertThat(rejected, greaterThan(0));
  }

  @Test
  void loweredQuotaAppliesImmediately() {
    Organisation desk = organisation(1_000, 10_000);
    FleetQuotas quotas = quotasOf(desk, START);
    assertThat(quotas.charge(desk, 1, START), is(Optional.empty()));
    Organisation lowered = organisation(100, 1_000);
    quotas.configure(List.of(lowered), START);
    assertThat(quotas.charge(lowered, 1_000, START), is(Optional.empty()));
    assertThat(quotas.charge(lowered, 100, START), is(Optional.of(Duration.ofSeconds(1))));
  }

  @Test
  void chargeOfRequestThatHasNotRunIsRefunded() {
    Organisation desk = organisation(100, 1_000);
    FleetQuotas quotas = quotasOf(desk, START);
    quotas.charge(desk, 1_000, START);
    quotas.refund(desk, 1_000, START);
    assertThat(quotas.charge(desk, 1_000, START), is(Optional.empty()));
    Duration interval = Duration.ofSeconds(1);
    assertThat(
        quotas.reportIfDue(interval, START).map(UsageReport::totals),
        is(Optional.of(Map.of("desk", 1_000L))));
    assertThat(quotas.reportIfDue(interval, START), is(Optional.empty()));
  }

  /** Such a request would never be admitted if the bucket had to hold its full cost. */
  @Test
  void requestLargerThanTheBurstIsAdmittedByFullBucket() {
    Organisation desk = organisation(100, 1_000);
    FleetQuotas quotas = quotasOf(desk, START);
    assertThat(quotas.charge(desk, 5_000, START), is(Optional.empty()));
    assertThat(quotas.charge(desk, 100, START), is(Optional.of(Duration.ofSeconds(41))));
  }

  @Test
  void peersAreAssumedToContinueBetweenReports() {
    Organisation desk = organisation(1_000, 1_000);
    FleetQuotas quotas = quotasOf(desk, 2, new Random(1)::nextLong, START);
    quotas.charge(desk, 1, START);
    Instant now = START;
    for (int i = 1; i <= 100; i++) {
      now = START.plusMillis(100 * i);
      quotas.apply(List.of(peerReport(7, 100 * i, 100 * i)), now);
    }
    Instant later = now.plusMillis(900);
    assertThat(quotas.charge(desk, 960, later).isPresent(), is(true));
  }

  /** A silent entry may use its share of the quota, so the others must not. */
  @Test
  void silentPeersAreAssumedToUseTheirShare() {
    Organisation desk = organisation(1_000, 1_000);
    FleetQuotas quotas = quotasOf(desk, 2, new Random(1)::nextLong, START);
    quotas.apply(List.of(peerReport(7, 100, 0)), START);
    quotas.charge(desk, 1, START);
    Instant silent = START.plusSeconds(5);
    assertThat(quotas.view(silent).current(), is(1));
    assertThat(quotas.charge(desk, 500, silent), is(Optional.empty()));
    assertThat(quotas.charge(desk, 500, silent), is(Optional.of(Duration.ofSeconds(1))));
  }

  /** Usage within the share that was reserved during the silence is not charged again. */
  @Test
  void usageDuringSilenceIsChargedOnceItExceedsTheShare() {
    Organisation desk = organisation(1_000, 1_000);
    FleetQuotas quotas = quotasOf(desk, 2, new Random(1)::nextLong, START);
    quotas.apply(List.of(peerReport(7, 100, 0)), START);
    Instant silent = START.plusSeconds(5);
    long reserved =
        500 * Duration.ofSeconds(5).minus(FleetQuotas.REPORT_TIMEOUT).toMillis() / 1_000;
    quotas.charge(desk, 1, silent);
    quotas.apply(List.of(peerReport(7, 5_100, reserved + 100)), silent);
    assertThat(quotas.charge(desk, 390, silent), is(Optional.empty()));
    assertThat(quotas.charge(desk, 390, silent).isPresent(), is(true));
  }

  /** Guards against requests refused for a part of the quota that returning entries have left. */
  @ParameterizedTest
  @CsvSource({"7, 7600, 0", "7, 7600, 400", "8, 0, 0", "8, 0, 400"})
  void returningPeersLeaveWhatTheyHaveNotUsed(long counter, long ageMillis, long used) {
    Organisation desk = organisation(1_000, 1_000);
    FleetQuotas quotas = quotasOf(desk, 2, new Random(1)::nextLong, START);
    Instant now = START;
    for (int i = 1; i <= 50; i++) {
      now = START.plusMillis(100 * i);
      quotas.apply(List.of(peerReport(7, 100 * i, 0)), now);
    }
    Instant silent = now.plusMillis(2_500);
    assertThat(quotas.view(silent).current(), is(1));
    Instant returned = now.plusMillis(2_600);
    quotas.apply(List.of(peerReport(counter, ageMillis, used)), returned);
    Duration restored = quotas.charge(desk, 1_000, returned).orElse(Duration.ZERO);
    assertThat(restored, is(Duration.ofMillis(used)));
  }

  /** Guards against usage that is lost, or counted twice, with the report that contains it. */
  @ParameterizedTest
  @ValueSource(strings = {"1", "1 2 3", "3", "1 3", "3 1 2", "2 2 3 3", "1 3 2 1"})
  void lostRepeatedAndDelayedReportsDoNotChangeTheUsage(String order) {
    Organisation desk = organisation(1_000, 1_000);
    FleetQuotas quotas = quotasOf(desk, 2, new Random(1)::nextLong, START);
    Instant now = START;
    for (int i = 1; i <= 50; i++) {
      now = START.plusMillis(100 * i);
      quotas.apply(List.of(peerReport(7, 100 * i, 0)), now);
    }
    long last = 0;
    for (String number : order.split(" ")) {
      long total = 300 * Long.parseLong(number);
      last = Math.max(last, total);
      quotas.apply(List.of(peerReport(7, 5_000 + total, total)), now);
    }
    Duration delay = quotas.charge(desk, 1_000, now).orElseThrow();
    assertThat(delay, is(Duration.ofMillis(last)));
  }

  /** An entry that has just started has not received the usage of the others. */
  @Test
  void newEntryStartsWithEmptyBucket() {
    FleetQuotas quotas = new FleetQuotas(REGION, new Random(1)::nextLong);
    quotas.setEntries(Map.of(REGION, 1), true, START);
    Organisation desk = organisation(1_000, 1_000);
    quotas.configure(List.of(desk), START);
    assertThat(quotas.charge(desk, 500, START), is(Optional.of(Duration.ofMillis(500))));
    assertThat(quotas.charge(desk, 500, START.plusMillis(500)), is(Optional.empty()));
  }

  static Stream<Arguments> costs() {
    return Stream.of(
        Arguments.of(Quota.Unit.TOKENS, 1_500, 1_500L),
        Arguments.of(Quota.Unit.TOKENS, 0, 200L),
        Arguments.of(Quota.Unit.REQUESTS, 1_500, 1L));
  }

  @ParameterizedTest
  @MethodSource("costs")
  void countsTokensOrRequests(Quota.Unit unit, long declaredTokens, long cost) {
    assertThat(new Quota(1, 1, unit, 200).costOf(declaredTokens), is(cost));
  }

  @Test
  void organisationWithoutQuotaIsNeverRejected() {
    Organisation unlimited =
        new Organisation("free", Set.of(), OptionalInt.empty(), Optional.empty(), Set.of());
    FleetQuotas quotas = quotasOf(unlimited, START);
    assertThat(quotas.charge(unlimited, Long.MAX_VALUE, START), is(Optional.empty()));
    assertThat(quotas.reportIfDue(Duration.ofSeconds(1), START), is(Optional.empty()));
  }
}
