package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetMessage.EndpointLoad;
import org.lacewingcroft.fleet.FleetMessage.LoadReport;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.fleet.FleetMessage.PrefixPart;
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;

class UpdateBufferTest {
  private static final Instant START = Instant.EPOCH.plusSeconds(100);

  private static LoadReport report(String from, boolean complete, int running) {
    return new LoadReport(
        from, complete, List.of(new EndpointLoad("e1", running, List.of(), Optional.empty())));
  }

  private static News loadUpdate(LoadReport report) {
    return new News(List.of(report), List.of(), List.of());
  }

  private static News prefixUpdate(String endpoint, String part) {
    PrefixRead read = new PrefixRead(endpoint, List.of(new PrefixPart(part, 500)));
    return new News(List.of(), List.of(read), List.of());
  }

  private static News regionLoadUpdate(String region) {
    return new News(List.of(), List.of(), List.of(new RegionLoad(region, List.of())));
  }

  static Stream<Arguments> batchTimes() {
    return Stream.of(
        Arguments.of(
            "updates wait for the batch interval",
            loadUpdate(report("a", true, 1)),
            false,
            119,
            120),
        Arguments.of(
            "urgent updates wait for the urgent interval",
            loadUpdate(report("a", false, 1)),
            true,
            39,
            40),
        Arguments.of("an empty batch is sent as a heartbeat", News.NONE, false, 479, 480));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("batchTimes")
  void sendsBatchesWhenDue(
      String name, News updates, boolean urgent, long notYetMillis, long dueMillis) {
    UpdateBuffer buffer = new UpdateBuffer();
    buffer.drainIfDue(START);
    buffer.add(updates, urgent);
    assertThat(buffer.drainIfDue(START.plusMillis(notYetMillis)), is(Optional.empty()));
    assertThat(buffer.drainIfDue(START.plusMillis(dueMillis)), is(Optional.of(updates)));
    assertThat(buffer.drainIfDue(START.plusMillis(dueMillis + 120)), is(Optional.empty()));
  }

  @Test
  void laterReportReplacesEarlierOnes() {
    UpdateBuffer buffer = new UpdateBuffer();
    buffer.add(loadUpdate(report("a", true, 1)), false);
    buffer.add(loadUpdate(report("b", true, 2)), false);
    buffer.add(loadUpdate(report("a", true, 3)), false);
    buffer.add(loadUpdate(report("a", false, 4)), false);
    buffer.add(regionLoadUpdate("south"), false);
    buffer.add(regionLoadUpdate("south"), false);
    News updates = buffer.drainIfDue(START).orElseThrow();
    assertThat(
        updates.loads(),
        contains(report("b", true, 2), report("a", true, 3), report("a", false, 4)));
    assertThat(updates.regionLoads().size(), is(1));
  }

  @Test
  void sendsPrefixToOtherRegionsOncePerInterval() {
    RemoteUpdateBuffer buffer = new RemoteUpdateBuffer();
    buffer.add(prefixUpdate("e1", "p"), START);
    buffer.add(prefixUpdate("e2", "p"), START);
    buffer.add(prefixUpdate("e2", "q"), START);
    buffer.add(loadUpdate(report("a", true, 1)), START);
    News first = buffer.drainIfDue(START).orElseThrow();
    assertThat(
        first.prefixes(),
        contains(
            prefixUpdate("e1", "p").prefixes().get(0), prefixUpdate("e2", "q").prefixes().get(0)));
    assertThat(first.loads(), is(List.of()));
    buffer.add(prefixUpdate("e3", "p"), START.plusMillis(4_000));
    assertThat(buffer.drainIfDue(START.plusMillis(4_500)), is(Optional.empty()));
    buffer.add(regionLoadUpdate("north"), START.plusMillis(5_200));
    buffer.drainIfDue(START.plusMillis(5_200));
    buffer.add(prefixUpdate("e3", "p"), START.plusMillis(5_300));
    assertThat(buffer.drainIfDue(START.plusMillis(5_399)), is(Optional.empty()));
    assertThat(buffer.drainIfDue(START.plusMillis(5_400)).orElseThrow().prefixes().size(), is(1));
  }
}
