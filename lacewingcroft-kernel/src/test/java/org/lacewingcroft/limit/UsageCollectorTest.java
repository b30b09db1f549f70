package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against usage that an aggregator loses or counts twice. */
class UsageCollectorTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);

  private static UsageReport report(long counter, long ageMillis, long total) {
    return new UsageReport("north", counter, ageMillis, 1, 1, Map.of("desk", total), Map.of());
  }

  private static long sumOf(UsageCollector collector, Instant now) {
    return collector.reportIfDue(now).orElseThrow().totals().getOrDefault("desk", 0L);
  }

  static Stream<Arguments> deliveries() {
    return Stream.of(
        Arguments.of("each once", new long[] {1, 2, 3}, 30L),
        Arguments.of("the first lost", new long[] {2, 3}, 30L),
        Arguments.of("all but the last lost", new long[] {3}, 30L),
        Arguments.of("repeated", new long[] {1, 1, 2, 2, 3, 3}, 30L),
        Arguments.of("out of order", new long[] {3, 1, 2}, 30L),
        Arguments.of("the last lost", new long[] {1, 2}, 20L));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("deliveries")
  void sumIsThatOfTheLatestReport(String delivery, long[] reports, long sum) {
    UsageCollector collector = new UsageCollector("north", 9);
    for (long number : reports) {
      collector.add("front-1", report(5, 120 * number, 10 * number), START);
    }
    assertThat(sumOf(collector, START), is(sum));
  }

  /** The entry has reported its earlier usage to another aggregator. */
  @Test
  void earlierUsageOfAnOldCounterIsNotAdded() {
    UsageCollector collector = new UsageCollector("north", 9);
    collector.add("front-1", report(5, 3_600_000, 1_000), START);
    collector.add("front-1", report(5, 3_600_120, 1_030), START);
    assertThat(sumOf(collector, START), is(30L));
  }

  @Test
  void countsEntriesThatHaveReportedRecently() {
    UsageCollector collector = new UsageCollector("north", 9);
    collector.add("front-1", report(5, 1, 0), START);
    collector.add("front-2", report(6, 1, 0), START);
    collector.add("front-1", report(7, 1, 0), START.plusSeconds(3));
    UsageReport sum = collector.reportIfDue(START.plusSeconds(3)).orElseThrow();
    assertThat(sum.entryCount(), is(1));
    assertThat(sum.knownEntryCount(), is(2));
    assertThat(sum.includedAgeMillis(), is(Map.of(5L, 1L, 6L, 1L, 7L, 1L)));
  }
}
