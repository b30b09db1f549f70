package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the active entries of one region in virtual time, with callers that follow the list. */
class ActiveSetTest {
  private static final long STEP_MILLIS = 100;
  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final double[] CORES = {0.27, 0.36, 0.45, 0.54, 0.63, 0.72, 0.81, 0.9};

  /**
   * A region whose callers distribute their load evenly over the entries of the list that they
   * have, and entries that report every 500 ms the average of their use in the last second.
   */
  private static final class Region {
    private final ActiveSet activeSet = new ActiveSet();
    private final List<EntryInfo> entries = new ArrayList<>();
    private final Map<String, EntryCapacity> capacities = new HashMap<>();
    private final Map<String, Double> shares = new HashMap<>();
    private final Map<String, ReportedPressure> reports = new HashMap<>();
    private final Deque<Set<String>> lists = new ArrayDeque<>();
    private final List<Integer> sizes = new ArrayList<>();
    private Predicate<EntryInfo> alive = e -> true;
    private DoubleUnaryOperator usedCores = seconds -> 0;
    private double idleShare;
    private long listAgeMillis = 1_000;
    private int maxInFlight;
    private int inFlight = 3;
    private boolean reportsLost;
    private boolean frozen;
    private Set<String> current = Set.of();
    private ActiveSet.Cause cause;
    private long millis;
    private int changes;

    private Region(int count, int domains, double... cores) {
      for (int i = 0; i < count; i++) {
        String name = String.format("e%02d", i);
        EntryInfo info =
            new EntryInfo(name, "north", "d" + i % domains, name + ":1", name + ":2", name + ":3");
        entries.add(info);
        double share = cores[i / domains % cores.length];
        capacities.put(
            name, new EntryCapacity(share, Math.round(share * 2_400_000), 300L << 20, 4_100));
      }
    }

    private void run(Duration time) {
      for (long end = millis + time.toMillis(); millis < end; millis += STEP_MILLIS) {
        step();
      }
    }

    private void step() {
      applyLoad();
      Instant now = START.plusMillis(millis);
      if (millis % 500 == 0 && !reportsLost && !frozen) {
        entries.stream().filter(alive).forEach(e -> report(e, now));
      }
      if (frozen) {
        return;
      }
      ActiveSet.Decision decision =
          activeSet.update(
              entries.stream()
                  .filter(alive)
                  .map(e -> new ActiveSet.Member(e, Optional.ofNullable(reports.get(e.name()))))
                  .toList(),
              maxInFlight,
              now);
      if (!decision.names().equals(current)) {
        changes++;
        sizes.add(decision.names().size());
      }
      current = decision.names();
      cause = decision.cause();
      lists.addLast(current);
    }

    private void report(EntryInfo entry, Instant now) {
      double share = shares.getOrDefault(entry.name(), 0.0);
      EntryPressure pressure =
          new EntryPressure(Math.max(idleShare, share), share / 2, 0.1, share > 0 ? inFlight : 0);
      reports.put(entry.name(), new ReportedPressure(capacities.get(entry.name()), pressure, now));
    }

    private void applyLoad() {
      while (lists.size() > Math.max(1, listAgeMillis / STEP_MILLIS)) {
        lists.removeFirst();
      }
      Set<String> aliveNames =
          entries.stream().filter(alive).map(EntryInfo::name).collect(Collectors.toSet());
      Set<String> used = new HashSet<>(lists.isEmpty() ? aliveNames : lists.peekFirst());
      used.retainAll(aliveNames);
      double each = usedCores.applyAsDouble(millis / 1_000.0) / Math.max(1, used.size());
      for (String name : aliveNames) {
        double share = used.contains(name) ? Math.min(1, each / capacities.get(name).cores()) : 0;
        double weight = STEP_MILLIS / 500.0;
        shares.merge(name, share, (old, latest) -> old + (latest - old) * weight);
        shares.computeIfPresent(name, (n, s) -> s < 0.001 ? 0 : s);
      }
    }

    private double cores(Set<String> names) {
      return names.stream().mapToDouble(n -> capacities.get(n).cores()).sum();
    }

    private double allCores() {
      return cores(capacities.keySet());
    }

    private Map<String, Long> countByDomain() {
      return entries.stream()
          .filter(e -> current.contains(e.name()))
          .collect(Collectors.groupingBy(EntryInfo::failureDomain, Collectors.counting()));
    }
  }

  /**
   * Guards against a list that restricts a small region, and against a list of fewer than two
   * entries per failure domain or less than a third of the capacity.
   */
  @ParameterizedTest
  @CsvSource({"3, 2", "8, 2", "9, 2", "12, 1", "12, 6", "18, 6", "30, 2", "72, 6", "95, 6"})
  void idleRegionListsMinimum(int count, int domains) {
    Region region = new Region(count, domains, CORES);
    region.run(Duration.ofSeconds(30));
    if (count <= 8 || count <= 2 * domains) {
      assertThat(region.current, hasSize(count));
      return;
    }
    assertThat(region.current.size(), lessThan(count));
    assertThat(region.cores(region.current), greaterThanOrEqualTo(region.allCores() / 3));
    region.countByDomain().values().forEach(c -> assertThat(c, greaterThanOrEqualTo(2L)));
    assertThat(region.countByDomain().keySet(), hasSize(domains));
  }

  /** Guards against callers that are directed to entries that cannot serve an even share. */
  @ParameterizedTest
  @ValueSource(ints = {24, 72})
  void entriesWithLessThanHalfOfLargestCapacityComeLast(int count) {
    Region region = new Region(count, 2, CORES);
    region.run(Duration.ofSeconds(10));
    region.current.forEach(
        n -> assertThat(region.capacities.get(n).cores(), greaterThanOrEqualTo(0.45)));
  }

  /**
   * Guards against a control instance that has just started, or was suspended, and restricts the
   * list to the few entries whose reports it has received.
   */
  @ParameterizedTest
  @ValueSource(longs = {2_500, 6_000, 60_000})
  void restartedOrSuspendedInstanceListsAllFor3Seconds(long frozenMillis) {
    Region region = new Region(24, 2, 0.36);
    region.run(Duration.ofMillis(3_000));
    assertThat(region.current, hasSize(24));
    region.run(Duration.ofMillis(500));
    final Set<String> active = region.current;
    assertThat(active.size(), lessThan(24));
    region.frozen = true;
    region.run(Duration.ofMillis(frozenMillis));
    region.frozen = false;
    region.run(Duration.ofMillis(500));
    assertThat(region.current, hasSize(24));
    region.run(Duration.ofMillis(3_500));
    assertThat(region.current, equalTo(active));
  }

  /** Guards against a list that stays restricted while the load of the entries is unknown. */
  @ParameterizedTest
  @CsvSource({"2000, false", "5000, true", "30000, true"})
  void listsAllWhileReportsAreLost(long lostMillis, boolean listsAll) {
    Region region = new Region(24, 2, CORES);
    region.run(Duration.ofSeconds(5));
    final Set<String> active = region.current;
    region.reportsLost = true;
    region.run(Duration.ofMillis(lostMillis));
    assertThat(region.current.size() == 24, is(listsAll));
    region.reportsLost = false;
    region.run(Duration.ofMillis(4_000));
    assertThat(region.current, equalTo(active));
  }

  /** Guards against a mixed fleet in which entries of an older build receive no callers. */
  @ParameterizedTest
  @CsvSource({"4, false", "12, true"})
  void listsAllIfManyEntriesDoNotReport(int silent, boolean listsAll) {
    Region region = new Region(24, 2, CORES);
    region.entries.subList(0, silent).forEach(e -> region.capacities.remove(e.name()));
    ActiveSet activeSet = new ActiveSet();
    ActiveSet.Decision decision = null;
    for (int i = 0; i < 10; i++) {
      Instant now = START.plusMillis(500L * i);
      decision =
          activeSet.update(
              region.entries.stream()
                  .map(
                      e ->
                          new ActiveSet.Member(
                              e,
                              Optional.ofNullable(region.capacities.get(e.name()))
                                  .map(
                                      c ->
                                          new ReportedPressure(
                                              c, new EntryPressure(0, 0, 0, 0), now))))
                  .toList(),
              0,
              now);
    }
    assertThat(decision.names().size() == 24, is(listsAll));
  }

  /** Guards against a start whose class loading is mistaken for load of callers. */
  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1.0})
  void processorTimeWithoutRequestsIsNoLoad(double idleShare) {
    Region region = new Region(72, 6, 0.36);
    region.idleShare = idleShare;
    region.run(Duration.ofSeconds(6));
    assertThat(region.current, hasSize(24));
  }

  /**
   * Guards against a peak that finds a third of the capacity: the region peaks at 2.8 times its
   * mean after 0.17 of it, within 3 s. Two seconds after the peak is reached, enough entries are
   * active to serve it with at most 80 % of their capacity.
   */
  @ParameterizedTest
  @CsvSource({"24, 2, 0.20", "24, 2, 0.28", "72, 6, 0.28", "91, 6, 0.25"})
  void growsWithPeakThatRisesWithin3Seconds(int count, int domains, double meanShare) {
    Region region = new Region(count, domains, CORES);
    double mean = meanShare * region.allCores();
    region.usedCores =
        s -> mean * (s < 30 ? 0.17 : s < 33 ? 0.17 + (s - 30) / 3 * (2.8 - 0.17) : 2.8);
    region.run(Duration.ofSeconds(30));
    assertThat(region.current.size(), lessThanOrEqualTo(count / 2));
    final int changesBefore = region.changes;
    region.run(Duration.ofSeconds(5));
    assertThat(
        region.cores(region.current),
        greaterThanOrEqualTo(Math.min(1, 2.8 * meanShare / 0.8) * region.allCores() - 1e-9));
    region.run(Duration.ofSeconds(7));
    assertThat(region.changes - changesBefore, lessThanOrEqualTo(4));
  }

  /**
   * Guards against a list that contains lost entries, becomes empty or loses capacity with the
   * failure domain. All entries are listed if most of them are lost.
   */
  @ParameterizedTest
  @CsvSource({"24, 2, 1", "72, 6, 1", "72, 6, 3", "72, 6, 5"})
  void lostFailureDomainsAreReplaced(int count, int domains, int lost) {
    Region region = new Region(count, domains, CORES);
    region.usedCores = s -> 0.1 * region.allCores();
    region.run(Duration.ofSeconds(10));
    final int size = region.current.size();
    region.alive = e -> Integer.parseInt(e.failureDomain().substring(1)) >= lost;
    region.step();
    Set<String> alive =
        region.entries.stream()
            .filter(region.alive)
            .map(EntryInfo::name)
            .collect(Collectors.toCollection(TreeSet::new));
    assertThat(alive.containsAll(region.current), is(true));
    assertThat(region.current.size(), greaterThanOrEqualTo(Math.min(size, alive.size())));
    if (alive.size() * 2 < count) {
      assertThat(region.current, equalTo(alive));
      assertThat(region.cause, is(ActiveSet.Cause.MOST_ENTRIES_LOST));
    }
  }

  /** Guards against the loss of one entry that changes the list by more than one entry. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 6, 7})
  void lostEntryIsReplacedByOneOther(int index) {
    Region region = new Region(24, 2, 0.36);
    region.run(Duration.ofSeconds(5));
    final Set<String> before = region.current;
    EntryInfo lost = region.entries.get(index);
    assertThat(before.contains(lost.name()), is(true));
    region.alive = e -> !e.equals(lost);
    region.step();
    assertThat(region.current, not(before));
    Set<String> added = new HashSet<>(region.current);
    added.removeAll(before);
    assertThat(added, hasSize(1));
    assertThat(region.current, hasSize(before.size()));
    String domain = lost.failureDomain();
    assertThat(
        region.entries.stream()
            .filter(e -> added.contains(e.name()))
            .map(EntryInfo::failureDomain)
            .toList(),
        everyItem(equalTo(domain)));
  }

  /**
   * Guards against a list that follows a load which has not moved yet: callers that keep lists for
   * 15 s still load the entries of the older list.
   */
  @ParameterizedTest
  @CsvSource({"1000, 0.1", "15000, 0.1", "15000, 0.16", "15000, 0.3", "15000, 0.5"})
  void constantLoadCausesNoRepeatedChanges(long listAgeMillis, double share) {
    Region region = new Region(24, 2, CORES);
    region.listAgeMillis = listAgeMillis;
    region.usedCores = s -> share * region.allCores();
    region.run(Duration.ofSeconds(60));
    int settled = region.changes;
    region.run(Duration.ofMinutes(10));
    assertThat("changes " + region.sizes, region.changes - settled, lessThanOrEqualTo(2));
  }

  /** Guards against a list that changes with noise around a mean that the set serves. */
  @ParameterizedTest
  @CsvSource({"1, 0.08", "2, 0.12", "3, 0.16", "4, 0.25"})
  void noiseCausesFewChanges(long seed, double share) {
    Region region = new Region(72, 6, CORES);
    Random random = new Random(seed);
    double[] factors = random.doubles(2_000, 0.6, 1.4).toArray();
    region.usedCores = s -> share * factors[(int) s] * region.allCores();
    region.run(Duration.ofSeconds(60));
    int settled = region.changes;
    region.run(Duration.ofMinutes(10));
    assertThat("changes " + region.sizes, region.changes - settled, lessThanOrEqualTo(4));
  }

  /**
   * Guards against more than one shrink step per cycle where a region peaks for 12 s of every 36 s;
   * each step back up is caused by a peak.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.1, 0.2, 0.3})
  void recurringPeaksCauseAtMostOneShrinkStepEach(double meanShare) {
    Region region = new Region(24, 2, CORES);
    double mean = meanShare * region.allCores();
    region.usedCores = s -> mean * (s % 36 < 12 ? 2.8 : 0.17);
    region.run(Duration.ofSeconds(72));
    List<Integer> sizes = region.sizes;
    sizes.clear();
    region.run(Duration.ofSeconds(360));
    long shrinks = 0;
    for (int i = 1; i < sizes.size(); i++) {
      shrinks += sizes.get(i) < sizes.get(i - 1) ? 1 : 0;
    }
    assertThat("sizes " + sizes, shrinks, lessThanOrEqualTo(10L));
    assertThat("sizes " + sizes, sizes.size(), lessThanOrEqualTo(30));
  }

  /**
   * Guards against active entries that use up their share of the endpoints' connections, which is
   * divided by all entries, while their processors are idle.
   */
  @ParameterizedTest
  @CsvSource({"0, 40, 8", "100, 40, 8", "100, 51, 24", "100, 100, 24"})
  void growsBeforeSharesOfConnectionsAreUsedUp(int maxInFlight, int inFlight, int expected) {
    Region region = new Region(24, 2, 0.36);
    region.usedCores = s -> 0.02 * region.allCores();
    region.maxInFlight = maxInFlight;
    region.run(Duration.ofSeconds(6));
    assertThat(region.current, hasSize(8));
    region.inFlight = inFlight;
    region.run(Duration.ofSeconds(5));
    assertThat(region.current, hasSize(expected));
  }

  /** Guards against a set that never shrinks after a peak. */
  @ParameterizedTest
  @ValueSource(ints = {24, 72})
  void shrinksAfterLoadHasBeenLow(int count) {
    Region region = new Region(count, 2, 0.36);
    region.run(Duration.ofSeconds(5));
    final int size = region.current.size();
    region.usedCores = s -> s < 20 ? region.allCores() * 0.7 : region.allCores() * 0.02;
    region.run(Duration.ofSeconds(15));
    assertThat(region.current, hasSize(count));
    region.run(Duration.ofSeconds(15));
    assertThat(region.current, hasSize(count));
    region.run(Duration.ofSeconds(60));
    assertThat(region.current, hasSize(size));
  }
}
