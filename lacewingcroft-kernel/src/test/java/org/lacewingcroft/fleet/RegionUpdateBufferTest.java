package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.FleetMessage.News;

/** Tests that entries of both groups receive the updates of a region. */
class RegionUpdateBufferTest {
  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final long TICK_MILLIS = 40;
  private static final List<String> ENTRIES = List.of("a", "b", "c", "d");

  /**
   * Guards against usage that an entry receives twice, or not at all, when it becomes active or
   * goes on standby.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void eachEntryReceivesEachUpdateOnce(long seed) {
    Random random = new Random(seed);
    RegionUpdateBuffer buffer = new RegionUpdateBuffer();
    Map<String, Long> received = new HashMap<>();
    Set<String> standby = new TreeSet<>();
    long added = 0;
    for (int tick = 0; tick < 2_000; tick++) {
      if (tick < 1_950) {
        buffer.add(
            new News(List.of(), List.of(), List.of(), Map.of("org", 1L), List.of()), tick % 7 == 0);
        added++;
      }
      if (tick < 1_950 && random.nextInt(20) == 0) {
        String changed = ENTRIES.get(random.nextInt(ENTRIES.size()));
        if (!standby.remove(changed)) {
          standby.add(changed);
        }
      }
      drain(buffer, standby, tick)
          .forEach(
              b ->
                  b.receivers()
                      .forEach(
                          r ->
                              received.merge(
                                  r,
                                  b.updates().serviceUsage().getOrDefault("org", 0L),
                                  Long::sum)));
    }
    for (String entry : ENTRIES) {
      assertThat(entry, received.get(entry), is(added));
    }
  }

  /** Guards against an entry on standby that costs as much as an active one. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void entryOnStandbyReceivesOneBatchPerSecond(boolean urgent) {
    RegionUpdateBuffer buffer = new RegionUpdateBuffer();
    int batches = 0;
    long last = 0;
    for (int tick = 0; tick < 250; tick++) {
      buffer.add(new News(List.of(), List.of(), List.of(), Map.of("org", 1L), List.of()), urgent);
      boolean toStandby =
          drain(buffer, Set.of("d"), tick).stream().anyMatch(b -> b.receivers().contains("d"));
      if (toStandby) {
        batches++;
        assertThat((tick - last) * TICK_MILLIS, lessThanOrEqualTo(1_000L));
        last = tick;
      }
    }
    assertThat(batches, lessThanOrEqualTo(12));
  }

  private static List<RegionUpdateBuffer.Batch> drain(
      RegionUpdateBuffer buffer, Set<String> standby, int tick) {
    return buffer.drainDue(() -> ENTRIES, standby, START.plusMillis(tick * TICK_MILLIS));
  }
}
