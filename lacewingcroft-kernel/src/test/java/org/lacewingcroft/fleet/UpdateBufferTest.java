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
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.ReadPart;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;

class UpdateBufferTest {
  private static final Instant START = Instant.EPOCH.plusSeconds(100);

  private static LoadReport report(String from, boolean whole, int running) {
    return new LoadReport(
        from, whole, List.of(new EndpointLoad("e1", running, List.of(), Optional.empty())));
  }

  private static News work(LoadReport report) {
    return new News(List.of(report), List.of(), List.of());
  }

  private static News prefix(String endpoint, String part) {
    PrefixRead read = new PrefixRead(endpoint, List.of(new ReadPart(part, 500)));
    return new News(List.of(), List.of(read), List.of());
  }

  private static News load(String region) {
    return new News(List.of(), List.of(), List.of(new RegionLoad(region, List.of())));
  }

  static Stream<Arguments> digestTimes() {
    return Stream.of(
        Arguments.of("updates wait for the digest interval", work(report("a", true, 1)), false, 119, 120),
        Arguments.of("urgent updates wait for the urgent interval", work(report("a", false, 1)), true, 39, 40),
        Arguments.of("an empty digest is sent as a heartbeat", News.NONE, false, 479, 480));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("digestTimes")
  void digestsAreDue(String name, News news, boolean urgent, long notYetMillis, long dueMillis) {
    UpdateBuffer buffer = new UpdateBuffer();
    buffer.take(START);
    buffer.add(news, urgent);
    assertThat(buffer.take(START.plusMillis(notYetMillis)), is(Optional.empty()));
    assertThat(buffer.take(START.plusMillis(dueMillis)), is(Optional.of(news)));
    assertThat(buffer.take(START.plusMillis(dueMillis + 120)), is(Optional.empty()));
  }

  @Test
  void laterWordReplacesEarlier() {
    UpdateBuffer buffer = new UpdateBuffer();
    buffer.add(work(report("a", true, 1)), false);
    buffer.add(work(report("b", true, 2)), false);
    buffer.add(work(report("a", true, 3)), false);
    buffer.add(work(report("a", false, 4)), false);
    buffer.add(load("south"), false);
    buffer.add(load("south"), false);
    News news = buffer.take(START).orElseThrow();
    assertThat(
        news.loads(), contains(report("b", true, 2), report("a", true, 3), report("a", false, 4)));
    assertThat(news.regionLoads().size(), is(1));
  }

  @Test
  void otherRegionsHearOfPrefixOnce() {
    RemoteUpdateBuffer buffer = new RemoteUpdateBuffer();
    buffer.add(prefix("e1", "p"), START);
    buffer.add(prefix("e2", "p"), START);
    buffer.add(prefix("e2", "q"), START);
    buffer.add(work(report("a", true, 1)), START);
    News first = buffer.take(START).orElseThrow();
    assertThat(
        first.prefixes(),
        contains(prefix("e1", "p").prefixes().get(0), prefix("e2", "q").prefixes().get(0)));
    assertThat(first.loads(), is(List.of()));
    buffer.add(prefix("e3", "p"), START.plusMillis(4_000));
    assertThat(buffer.take(START.plusMillis(4_500)), is(Optional.empty()));
    buffer.add(load("north"), START.plusMillis(5_200));
    buffer.take(START.plusMillis(5_200));
    buffer.add(prefix("e3", "p"), START.plusMillis(5_300));
    assertThat(buffer.take(START.plusMillis(5_399)), is(Optional.empty()));
    assertThat(buffer.take(START.plusMillis(5_400)).orElseThrow().prefixes().size(), is(1));
  }
}
