package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.fleet.EntryMembership;

/**
 * Simulates entries that take all extra sends that they may, while regions are partitioned and
 * entries restart together, and checks the sum over all entries in each window.
 */
class FleetExtraSendsTest {
  private static final double RATIO = 0.2;
  private static final double SLACK = 56;
  private static final int WINDOW_SECONDS = 10;
  private static final int RUN_SECONDS = 80;
  private static final int PARTITION_START_SECONDS = 25;
  private static final int PARTITION_END_SECONDS = 55;
  private static final int TICKS_PER_SECOND = 10;

  /** Time from the start of an entry until the others receive it in their lists. */
  private static final int START_TICKS = 10;

  private final List<Entry> entries = new ArrayList<>();
  private final int[] grants = new int[RUN_SECONDS * TICKS_PER_SECOND];
  private final int[] requests = new int[RUN_SECONDS * TICKS_PER_SECOND];

  private static final class Entry {
    private final EntryInfo info;
    private EntryMembership membership;
    private ExtraSendBudget budget;
    private int startedTick;

    private Entry(String name, String region) {
      info = new EntryInfo(name, region, region, name + ":1", name + ":2", name + ":3");
      start(-START_TICKS);
    }

    private void start(int tick) {
      Duration window = Duration.ofSeconds(WINDOW_SECONDS);
      membership = new EntryMembership(info.name(), window, Duration.ofSeconds(8));
      budget = new ExtraSendBudget(RATIO, SLACK, window);
      startedTick = tick;
    }

    private boolean isListed(int tick) {
      return startedTick + START_TICKS <= tick;
    }
  }

  @ParameterizedTest
  @CsvSource({
    // entries, restart interval (s), regions in the majority during the partition, requests/s
    "8, 0, 3, 0",
    "8, 0, 0, 0",
    "8, 0, 2, 0",
    "8, 0, 0, 5",
    "8, 8, 3, 5",
    "8, 8, 0, 5",
    "8, 12, 0, 5",
    "8, 12, 2, 0",
    "8, 16, 1, 5",
    "8, 24, 2, 0",
    "24, 0, 0, 2",
    "24, 12, 2, 2",
  })
  void staysWithinTheBudgetOfTheFleet(
      int entryCount, int restartSeconds, int majorityRegions, int requestsPerSecond) {
    IntStream.range(0, entryCount).forEach(i -> entries.add(new Entry("e" + i, "r" + i % 3)));
    for (int tick = 0; tick < RUN_SECONDS * TICKS_PER_SECOND; tick++) {
      boolean restart = restartSeconds > 0 && tick % (restartSeconds * TICKS_PER_SECOND) == 1;
      for (Entry entry : entries) {
        if (restart) {
          entry.start(tick);
        }
        step(entry, tick, majorityRegions, requestsPerSecond);
      }
    }
    checkWindows();
  }

  private void step(Entry entry, int tick, int majorityRegions, int requestsPerSecond) {
    Instant now =
        Instant.parse("2030-01-01T00:00:00Z").plusMillis(tick * 1_000L / TICKS_PER_SECOND);
    boolean partitioned =
        tick >= PARTITION_START_SECONDS * TICKS_PER_SECOND
            && tick < PARTITION_END_SECONDS * TICKS_PER_SECOND;
    if (tick % (TICKS_PER_SECOND / 2) == 0) {
      entry.membership.update(
          entries.stream()
              .filter(e -> e.isListed(tick))
              .filter(e -> !partitioned || sameSide(e, entry, majorityRegions))
              .map(e -> e.info)
              .toList(),
          now);
      if (!partitioned || isInMajority(entry, majorityRegions)) {
        entry.membership.onMajorityContact(now);
      }
    }
    if (tick * requestsPerSecond % TICKS_PER_SECOND < requestsPerSecond) {
      entry.budget.recordFirstSend("s", now);
      requests[tick]++;
    }
    while (entry.budget.tryTake("s", entry.membership.size(), now).granted()) {
      grants[tick]++;
    }
  }

  private static boolean isInMajority(Entry entry, int majorityRegions) {
    return Integer.parseInt(entry.info.region().substring(1)) < majorityRegions;
  }

  private static boolean sameSide(Entry one, Entry other, int majorityRegions) {
    return one.info.region().equals(other.info.region())
        || isInMajority(one, majorityRegions) && isInMajority(other, majorityRegions);
  }

  private void checkWindows() {
    int windowTicks = WINDOW_SECONDS * TICKS_PER_SECOND;
    for (int from = 0; from + windowTicks <= grants.length; from++) {
      double allowed = RATIO * sum(requests, from, from + windowTicks) + SLACK;
      assertThat(
          "extra sends from second " + from / (double) TICKS_PER_SECOND,
          (double) sum(grants, from, from + windowTicks),
          lessThanOrEqualTo(allowed));
    }
    assertThat("extra sends", sum(grants, 0, grants.length), greaterThan(0));
  }

  private static int sum(int[] counts, int from, int until) {
    return IntStream.range(from, until).map(i -> counts[i]).sum();
  }
}
