package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/** Tests entries that share a region's capacity between organisations. */
class FairSharesTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final String REGION = "north";
  private static final String SERVICE = "model";
  private static final int ENTRIES = 30;
  private static final int ORGANISATIONS = 16;

  /** The organisations with the lowest indices send eight times their usual load. */
  private static final int HEAVY = 2;

  private static final int HEAVY_FACTOR = 8;
  private static final FairShares.Peers PEERS = new FairShares.Peers(ENTRIES, true);

  private static List<Organisation> organisations() {
    return IntStream.range(0, ORGANISATIONS).mapToObj(FairSharesTest::organisation).toList();
  }

  private static Organisation organisation(int index) {
    Quota quota = new Quota(100_000, 100_000, Quota.Unit.TOKENS, 200);
    return new Organisation(
        "o" + index, Set.of("k" + index), OptionalInt.empty(), Optional.of(quota), Set.of());
  }

  private static FairShares shares() {
    FairShares shares = new FairShares(REGION);
    shares.configure(organisations());
    return shares;
  }

  private static FairShares.Request request(int organisation, String caller) {
    return new FairShares.Request("o" + organisation, SERVICE, 0, 1_000, caller);
  }

  /**
   * A region at its peak: 30 entries, an engine service that serves tokens at a fixed rate and
   * placement that refuses while more than 250 ms of work waits. Callers send quick questions (most
   * urgent) and long briefs, 5 to 1. Those of the large organisations repeat a refused request
   * once, after 100 ms, whatever delay they are told.
   */
  private static final class Region {
    private static final Duration STEP = Duration.ofMillis(20);
    private static final int STEPS_PER_REPORT = 6;
    private static final Duration REPORT_DELAY = Duration.ofMillis(400);
    private static final Duration REPEAT_DELAY = Duration.ofMillis(100);
    private static final double MAX_WAIT_SECONDS = 0.25;
    private static final long QUICK_TOKENS = 2_368;
    private static final long BRIEF_TOKENS = 11_992;
    private static final double REQUESTS_PER_SECOND = 24;
    private static final double TOKENS_PER_SECOND =
        REQUESTS_PER_SECOND * (5 * QUICK_TOKENS + BRIEF_TOKENS) / 6;

    private final Random random;
    private final boolean sharing;
    private final double capacityPerSecond;
    private final List<FairShares> entries;
    private final Deque<Report> inTransit = new ArrayDeque<>();
    private final Deque<Repeat> repeats = new ArrayDeque<>();
    private final Map<String, long[]> askedAndServed = new HashMap<>();
    private int heavyFactor = HEAVY_FACTOR;
    private double waitingTokens;
    private double possibleTokens;
    private int refusedByShares;
    private Instant now = START;

    private record Report(Instant sentAt, Map<String, Long> usage) {}

    private record Repeat(Instant at, int entry, FairShares.Request request) {}

    /** Creates a region whose capacity is a multiple of an organisation's usual load. */
    private Region(long seed, boolean sharing, double capacityInUsualLoads) {
      this.random = new Random(seed);
      this.sharing = sharing;
      this.capacityPerSecond = capacityInUsualLoads * TOKENS_PER_SECOND;
      this.entries = IntStream.range(0, ENTRIES).mapToObj(i -> shares()).toList();
    }

    private void run(int seconds) {
      Instant end = now.plusSeconds(seconds);
      for (long step = 0; now.isBefore(end); step++) {
        now = now.plus(STEP);
        double stepSeconds = STEP.toMillis() / 1e3;
        waitingTokens = Math.max(0, waitingTokens - capacityPerSecond * stepSeconds);
        possibleTokens += capacityPerSecond * stepSeconds;
        List<Runnable> arrivals = new ArrayList<>();
        while (!repeats.isEmpty() && !repeats.peek().at().isAfter(now)) {
          Repeat repeat = repeats.remove();
          arrivals.add(() -> send(repeat.entry(), repeat.request(), false));
        }
        for (int o = 0; o < ORGANISATIONS; o++) {
          double expected = REQUESTS_PER_SECOND * stepSeconds * (o < HEAVY ? heavyFactor : 1);
          int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
          int organisation = o;
          arrivals.addAll(Collections.nCopies(count, () -> sendNew(organisation)));
        }
        Collections.shuffle(arrivals, random);
        arrivals.forEach(Runnable::run);
        exchange(step);
      }
    }

    private void sendNew(int organisation) {
      boolean brief = random.nextInt(6) == 0;
      FairShares.Request request =
          new FairShares.Request(
              "o" + organisation,
              SERVICE,
              brief ? 1 : 0,
              brief ? BRIEF_TOKENS : QUICK_TOKENS,
              "c" + random.nextInt(1_000));
      count(request, 0);
      send(random.nextInt(ENTRIES), request, organisation < HEAVY);
    }

    private void count(FairShares.Request request, int index) {
      askedAndServed.computeIfAbsent(request.organisation(), o -> new long[2])[index] +=
          request.cost();
      askedAndServed
              .computeIfAbsent(
                  request.organisation() + " priority " + request.priority(), p -> new long[2])[
              index] +=
          request.cost();
      askedAndServed.computeIfAbsent("priority " + request.priority(), p -> new long[2])[index] +=
          request.cost();
    }

    private void send(int entry, FairShares.Request request, boolean repeated) {
      FairShares shares = entries.get(entry);
      boolean admitted = !sharing || shares.admit(request, PEERS, now).isEmpty();
      if (!admitted) {
        refusedByShares++;
      } else if (waitingTokens > MAX_WAIT_SECONDS * capacityPerSecond) {
        admitted = false;
        if (sharing) {
          shares.recordOverload(SERVICE, now);
          shares.refund(request, now);
        }
      }
      if (admitted) {
        waitingTokens += request.cost();
        count(request, 1);
      } else if (repeated) {
        repeats.add(new Repeat(now.plus(REPEAT_DELAY), entry, request));
      }
    }

    private void exchange(long step) {
      if (step % STEPS_PER_REPORT == 0) {
        Map<String, Long> usage = new HashMap<>();
        entries.forEach(
            e -> e.drainUnreportedUsage(now).forEach((k, v) -> usage.merge(k, v, Long::sum)));
        inTransit.add(new Report(now, usage));
      }
      while (!inTransit.isEmpty() && !inTransit.peek().sentAt().plus(REPORT_DELAY).isAfter(now)) {
        Map<String, Long> usage = inTransit.remove().usage();
        entries.forEach(e -> e.applyFleetUsage(usage, now));
      }
    }

    private double servedPart(String key) {
      long[] amounts = askedAndServed.get(key);
      return amounts[1] / (double) amounts[0];
    }

    private double lowestPartOfOthers() {
      return IntStream.range(HEAVY, ORGANISATIONS)
          .mapToDouble(o -> servedPart("o" + o))
          .min()
          .orElseThrow();
    }

    private long served() {
      return askedAndServed.get("priority 0")[1] + askedAndServed.get("priority 1")[1];
    }

    @Override
    public String toString() {
      return String.format(
          "others at least %.2f, large %.2f and %.2f, quick %.2f, briefs %.2f, capacity used %.2f",
          lowestPartOfOthers(),
          servedPart("o0"),
          servedPart("o1"),
          servedPart("priority 0"),
          servedPart("priority 1"),
          served() / possibleTokens);
    }
  }

  /**
   * Two of 16 organisations ask for 16 of 30 usual loads while the region serves 18. The others ask
   * for less than their share and are served; the large ones get the rest, 2 of 8 loads each.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void othersAreServedWhileTwoOrganisationsSendEightTimesTheirLoad(long seed) {
    Region region = new Region(seed, true, 18);
    region.run(12);
    String outcome = region.toString();
    assertThat(outcome, region.lowestPartOfOthers(), greaterThan(0.9));
    assertThat(outcome, region.servedPart("o0"), greaterThan(0.15));
    assertThat(outcome, region.servedPart("o1"), greaterThan(0.15));
    assertThat(outcome, region.served() / region.possibleTokens, greaterThan(0.85));
    assertThat(
        outcome,
        region.servedPart("priority 0"),
        greaterThanOrEqualTo(region.servedPart("priority 1")));
    assertThat(
        "urgent requests of a large organisation",
        region.servedPart("o0 priority 0"),
        greaterThanOrEqualTo(region.servedPart("o0 priority 1")));
    assertThat(
        "its largest requests are not starved",
        region.servedPart("o0 priority 1"),
        greaterThan(0.03));
  }

  /** The estimate of the capacity does not keep an organisation limited after its burst. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void nothingIsRefusedSoonAfterTheBurst(long seed) {
    Region region = new Region(seed, true, 18);
    region.run(12);
    region.heavyFactor = 1;
    region.run(4);
    int refusedBefore = region.refusedByShares;
    region.run(6);
    assertThat(region.refusedByShares, is(refusedBefore));
  }

  /** The earlier decision, placement alone, refuses all organisations alike. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void placementAloneLetsTwoOrganisationsTakeTheCapacity(long seed) {
    Region region = new Region(seed, false, 18);
    region.run(12);
    assertThat(region.toString(), region.lowestPartOfOthers(), lessThan(0.7));
  }

  /** Below saturation an organisation may send any multiple of its usual load. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void nothingIsRefusedBelowSaturation(long seed) {
    Region region = new Region(seed, true, 40);
    region.run(12);
    assertThat(region.refusedByShares, is(0));
    assertThat(region.lowestPartOfOthers(), is(1.0));
    assertThat(region.servedPart("o0"), is(1.0));
  }

  /** Makes a service saturated, with one organisation that asks for more than its share. */
  private static FairShares saturated(Instant now) {
    FairShares shares = shares();
    for (int i = 0; i < 20; i++) {
      shares.admit(request(0, "a" + i), PEERS, now);
    }
    for (int i = 0; i < 15; i++) {
      shares.refund(request(0, "a" + i), now);
    }
    shares.recordOverload(SERVICE, now);
    return shares;
  }

  private static long admittedOf(int count, FairShares shares, FairShares.Peers peers) {
    return IntStream.range(0, count)
        .filter(i -> shares.admit(request(0, "b" + i), peers, START).isEmpty())
        .count();
  }

  @Test
  void saturationEndsTwoSecondsAfterTheLastRefusal() {
    FairShares shares = saturated(START);
    Instant end = START.plus(FairShares.SATURATION_TIME);
    assertThat(shares.saturatedServices(end.minusMillis(1)), is(Set.of(SERVICE)));
    assertThat(shares.saturatedServices(end), is(empty()));
    assertThat(shares.admit(request(0, "b"), PEERS, end), is(Optional.empty()));
  }

  /** An entry without recent reports takes its own usage as a sample of that of all entries. */
  @Test
  void withoutReportsOwnUsageStandsForThatOfAllEntries() {
    assertThat(admittedOf(100, saturated(START), PEERS), lessThan(50L));
  }

  @Test
  void isolatedEntryAdmitsAll() {
    FairShares.Peers none = new FairShares.Peers(ENTRIES, false);
    assertThat(admittedOf(100, saturated(START), none), is(100L));
  }

  @Test
  void withoutOrganisationsAllIsAdmittedAndNothingReported() {
    FairShares shares = saturated(START);
    shares.configure(List.of());
    shares.recordOverload(SERVICE, START);
    assertThat(admittedOf(100, shares, PEERS), is(100L));
    assertThat(shares.drainUnreportedUsage(START), is(anEmptyMap()));
  }

  /** Organisations that ask for the same are admitted in proportion to their quotas. */
  @Test
  void sharesAreWeightedByQuota() {
    FairShares shares = new FairShares(REGION);
    Quota large = new Quota(300, 300, Quota.Unit.TOKENS, 200);
    Quota small = new Quota(100, 100, Quota.Unit.TOKENS, 200);
    shares.configure(
        List.of(
            new Organisation("o0", Set.of(), OptionalInt.empty(), Optional.of(large), Set.of()),
            new Organisation("o1", Set.of(), OptionalInt.empty(), Optional.of(small), Set.of())));
    for (int i = 0; i < 200; i++) {
      FairShares.Request request = request(i % 2, "a" + i);
      shares.admit(request, PEERS, START);
      if (i >= 40) {
        shares.refund(request, START);
      }
    }
    shares.recordOverload(SERVICE, START);
    int[] admitted = new int[2];
    for (int i = 0; i < 200; i++) {
      boolean admits = shares.admit(request(i % 2, "b" + i), PEERS, START).isEmpty();
      admitted[i % 2] += admits ? 1 : 0;
    }
    assertThat(admitted[0], greaterThan(2 * admitted[1]));
    assertThat(admitted[1], greaterThan(0));
  }

  /** The first request of an organisation that sends rarely is not refused for what others send. */
  @Test
  void rareOrganisationIsAdmitted() {
    assertThat(
        saturated(START).admit(request(ORGANISATIONS - 1, "rare"), PEERS, START),
        is(Optional.empty()));
  }

  /** Callers that wait for the stated time are admitted more often than those that do not. */
  @Test
  void waitingForTheStatedTimeIsBetterThanRepeating() {
    int[] admitted = new int[2];
    for (int waits = 0; waits <= 1; waits++) {
      FairShares shares = saturated(START);
      for (int i = 0; i < 200; i++) {
        FairShares.Request request = request(0, "c" + i);
        Optional<Duration> delay = shares.admit(request, PEERS, START);
        if (delay.isPresent()) {
          Instant again = START.plus(waits == 1 ? delay.get() : Duration.ofMillis(1));
          admitted[waits] += shares.admit(request, PEERS, again).isEmpty() ? 1 : 0;
        }
      }
    }
    assertThat(admitted[1], greaterThan(admitted[0]));
  }

  /** Usage of another region's callers, of quotas and of later builds does not count. */
  @ParameterizedTest
  @CsvSource({"DEMAND,south,0", "LATER,north,0", "DEMAND,north,x"})
  void foreignUsageIsIgnored(String kind, String region, String priority) {
    String key = "\u0001" + String.join("\u0001", kind, region, SERVICE, priority, "o0");
    FairShares shares = saturated(START);
    shares.applyPeerUsage(Map.of(key, 1_000_000L, "o0", 1_000_000L), START);
    assertThat(admittedOf(100, shares, PEERS), is(admittedOf(100, saturated(START), PEERS)));
  }
}
