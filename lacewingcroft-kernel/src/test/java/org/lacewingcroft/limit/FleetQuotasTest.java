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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/** Entries that share quotas by what they tell each other. */
class FleetQuotasTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final int ENTRIES = 88;

  /** How old the news of another entry is when it arrives. */
  private static final Duration NEWS_AGE = Duration.ofMillis(400);

  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration WINDOW = Duration.ofSeconds(8);
  private static final double OVERSHOOT = 1.1;
  private static final long SLACK = 140_000;

  private static Organisation organisation(double perSecond, double burst) {
    Quota quota = new Quota(perSecond, burst, Quota.Unit.TOKENS, 200);
    return new Organisation("desk", Set.of("k"), OptionalInt.empty(), Optional.of(quota), Set.of());
  }

  /** Quotas that were in force for long enough for the buckets to be full. */
  private static FleetQuotas quotasOf(Organisation organisation, Instant now) {
    FleetQuotas quotas = new FleetQuotas(now.minusSeconds(60));
    quotas.configure(List.of(organisation), now.minusSeconds(60));
    return quotas;
  }

  private record News(Instant at, Map<String, Long> uses) {}

  /** A fleet whose entries hear of each other's use some time later. */
  private static final class Fleet {
    private final Organisation organisation;
    private final Random random;
    private final List<FleetQuotas> entries;
    private final Deque<News> onTheWay = new ArrayDeque<>();
    private final Deque<long[]> admitted = new ArrayDeque<>();
    private long inWindow;
    private long mostInWindow;
    private int refused;
    private Instant now = START;

    private Fleet(Organisation organisation, long seed) {
      this.organisation = organisation;
      this.random = new Random(seed);
      this.entries =
          IntStream.range(0, ENTRIES).mapToObj(i -> quotasOf(organisation, START)).toList();
    }

    /** Has callers ask at any entry for so many tokens a second, each time for some thousand. */
    private void run(Duration time, double tokensPerSecond) {
      Instant end = now.plus(time);
      double owed = 0;
      while (now.isBefore(end)) {
        now = now.plus(STEP);
        owed += tokensPerSecond * STEP.toMillis() / 1_000;
        while (owed > 0) {
          long cost = 1_000 + random.nextInt(15_000);
          owed -= cost;
          ask(cost);
        }
        tell();
        forgetOld();
      }
    }

    private void ask(long cost) {
      FleetQuotas entry = entries.get(random.nextInt(ENTRIES));
      if (entry.charge(organisation, cost, now).isPresent()) {
        refused++;
        return;
      }
      admitted.add(new long[] {now.toEpochMilli(), cost});
      inWindow += cost;
      mostInWindow = Math.max(mostInWindow, inWindow);
    }

    private void tell() {
      Map<String, Long> uses = new HashMap<>();
      entries.forEach(
          e -> e.drainUnreportedUsage().forEach((n, use) -> uses.merge(n, use, Long::sum)));
      onTheWay.add(new News(now, uses));
      while (!onTheWay.isEmpty() && !onTheWay.peek().at().plus(NEWS_AGE).isAfter(now)) {
        Map<String, Long> arrived = onTheWay.remove().uses();
        entries.forEach(e -> e.applyFleetUsage(arrived, now));
      }
    }

    private void forgetOld() {
      long oldest = now.minus(WINDOW).toEpochMilli();
      while (!admitted.isEmpty() && admitted.peek()[0] <= oldest) {
        inWindow -= admitted.remove()[1];
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
  void whatIsBelowTheQuotaIsNeverRefused(double perSecond, long seed) {
    Fleet fleet = new Fleet(organisation(perSecond, perSecond), seed);
    fleet.run(Duration.ofSeconds(30), perSecond * 0.56);
    fleet.run(Duration.ofSeconds(2), perSecond * 0.9);
    fleet.run(Duration.ofSeconds(10), perSecond * 0.56);
    assertThat(fleet.refused, is(0));
  }

  /** An organisation that asks for six times its usual amount, at once and after calm. */
  @ParameterizedTest
  @MethodSource("loads")
  void allEntriesTogetherKeepTheQuota(double perSecond, long seed) {
    Fleet fleet = new Fleet(organisation(perSecond, perSecond), seed);
    fleet.run(Duration.ofSeconds(10), perSecond * 0.56);
    fleet.run(Duration.ofSeconds(20), perSecond * 0.56 * 6);
    double allowed = (perSecond * WINDOW.toSeconds() + perSecond) * OVERSHOOT + SLACK;
    assertThat((double) fleet.mostInWindow, lessThanOrEqualTo(allowed));
    assertThat(
        "used, not only refused",
        (double) fleet.mostInWindow,
        greaterThan(perSecond * WINDOW.toSeconds() * 0.9));
  }

  /** The other way to share a quota: each entry has a bucket with its part of rate and burst. */
  @ParameterizedTest
  @MethodSource("loads")
  void fixedSharesRefuseWhatIsBelowTheQuota(double perSecond, long seed) {
    Random random = new Random(seed);
    double[] levels = new double[ENTRIES];
    Arrays.fill(levels, perSecond / ENTRIES);
    int refused = 0;
    double owed = 0;
    for (Instant now = START; now.isBefore(START.plusSeconds(30)); now = now.plus(STEP)) {
      double share = perSecond / ENTRIES;
      for (int i = 0; i < ENTRIES; i++) {
        levels[i] = Math.min(share, levels[i] + share * STEP.toMillis() / 1_000);
      }
      owed += perSecond * 0.56 * STEP.toMillis() / 1_000;
      while (owed > 0) {
        long cost = 1_000 + random.nextInt(15_000);
        owed -= cost;
        int entry = random.nextInt(ENTRIES);
        if (levels[entry] < Math.min(cost, share)) {
          refused++;
        } else {
          levels[entry] -= cost;
        }
      }
    }
    assertThat(refused, greaterThan(0));
  }

  @Test
  void quotaThatIsLoweredBindsAtOnce() {
    Organisation desk = organisation(1_000, 10_000);
    FleetQuotas quotas = quotasOf(desk, START);
    assertThat(quotas.charge(desk, 1, START), is(Optional.empty()));
    Organisation lowered = organisation(100, 1_000);
    quotas.configure(List.of(lowered), START);
    assertThat(quotas.charge(lowered, 1_000, START), is(Optional.empty()));
    assertThat(quotas.charge(lowered, 100, START), is(Optional.of(Duration.ofSeconds(1))));
  }

  @Test
  void whatHasNotRunIsGivenBack() {
    Organisation desk = organisation(100, 1_000);
    FleetQuotas quotas = quotasOf(desk, START);
    quotas.charge(desk, 1_000, START);
    quotas.refund(desk, 1_000);
    assertThat(quotas.charge(desk, 1_000, START), is(Optional.empty()));
    assertThat(quotas.drainUnreportedUsage(), is(Map.of("desk", 1_000L)));
    assertThat(quotas.drainUnreportedUsage(), is(Map.of()));
  }

  /** A request larger than the burst would wait for ever. */
  @Test
  void requestLargerThanTheBurstTakesWhatThereIs() {
    Organisation desk = organisation(100, 1_000);
    FleetQuotas quotas = quotasOf(desk, START);
    assertThat(quotas.charge(desk, 5_000, START), is(Optional.empty()));
    assertThat(quotas.charge(desk, 100, START), is(Optional.of(Duration.ofSeconds(41))));
  }

  @Test
  void othersAreTakenToGoOnWhileNothingIsHeardOfThem() {
    Organisation desk = organisation(1_000, 1_000);
    FleetQuotas quotas = quotasOf(desk, START);
    quotas.charge(desk, 1, START);
    Instant now = START;
    for (int i = 0; i < 100; i++) {
      now = now.plusMillis(100);
      quotas.applyPeerUsage(Map.of("desk", 100L), now);
    }
    Instant later = now.plusSeconds(5);
    quotas.charge(desk, 1, later.minusSeconds(2));
    assertThat(quotas.charge(desk, 960, later).isPresent(), is(true));
  }

  /** An entry that has just started does not know what the others have used. */
  @Test
  void entryThatStartsBeginsWithNothing() {
    FleetQuotas quotas = new FleetQuotas(START);
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
  void countsTokensOrRequests(Quota.Unit unit, long stated, long cost) {
    assertThat(new Quota(1, 1, unit, 200).costOf(stated), is(cost));
  }

  @Test
  void organisationWithoutQuotaIsNeverRefused() {
    Organisation free =
        new Organisation("free", Set.of(), OptionalInt.empty(), Optional.empty(), Set.of());
    FleetQuotas quotas = quotasOf(free, START);
    assertThat(quotas.charge(free, Long.MAX_VALUE, START), is(Optional.empty()));
    assertThat(quotas.drainUnreportedUsage(), is(Map.of()));
  }
}
