package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.limit.UsageReport;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.PromptPart;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Guards against entries that request the same lists of cached prefixes many times at a start, and
 * against entries that do not learn the lists that others have requested.
 */
class PrefixExchangeTest {
  private static final Duration HEARTBEAT = Duration.ofMillis(300);
  private static final int ENDPOINTS = 50;
  private static final List<PromptPart> HELD =
      List.of(new PromptPart("a", 2_000), new PromptPart("b", 500));

  private Instant now = Instant.EPOCH;

  /** Number of requests for the list of each endpoint address. */
  private final Map<String, Integer> requests = new HashMap<>();

  private Future<List<PromptPart>> response = Future.succeededFuture(HELD);

  /** The prefix exchange of one entry, with its endpoints and the updates that it sends. */
  private final class Entry {
    final List<FleetMessage.PrefixRead> sent = new ArrayList<>();
    final Map<String, EndpointTracker> trackers = new HashMap<>();
    final PrefixExchange exchange;

    Entry(String name, boolean firstStart) {
      this(name, firstStart, ENDPOINTS);
    }

    Entry(String name, boolean firstStart, int endpoints) {
      for (int i = 0; i < endpoints; i++) {
        String id = "engine-" + i;
        EndpointRecord record =
            new EndpointRecord(
                id, 0, "s", "10.0.0." + i + ":80", "north-a", 8, EndpointState.READY, 1, 0);
        trackers.put(id, new EndpointTracker(record, now));
      }
      Collection<EndpointTracker> all = trackers.values();
      exchange =
          new PrefixExchange(
              settings(name, firstStart),
              address -> {
                requests.merge(address, 1, Integer::sum);
                return response;
              },
              () -> now,
              () -> all,
              id -> Optional.ofNullable(trackers.get(id)),
              () -> new RecordingChannel(sent),
              service -> Optional.of(new ServiceSpec.Engine(8, 100_000, 1, 1_000, 1_000)));
    }

    /** Requests the lists at the first message and again after the entries are discovered. */
    void requestListings(List<String> regionEntries) {
      exchange.requestListings(regionEntries);
      now = now.plus(HEARTBEAT);
      exchange.requestListings(regionEntries);
    }
  }

  /** Records the prefixes that an entry reports. */
  private record RecordingChannel(List<FleetMessage.PrefixRead> sent) implements UpdateChannel {
    @Override
    public long reportIntervalMillis() {
      return 120;
    }

    @Override
    public void sendLoad(FleetMessage.LoadReport report, boolean urgent) {}

    @Override
    public void sendServiceUsage(Map<String, Long> usage) {}

    @Override
    public Duration quotaUsageInterval() {
      return Duration.ofSeconds(1);
    }

    @Override
    public void sendQuotaUsage(UsageReport report) {}

    @Override
    public void sendPrefixRead(FleetMessage.PrefixRead read) {
      sent.add(read);
    }

    @Override
    public void sendRegionLoad(FleetMessage.RegionLoad load) {}

    @Override
    public void sendEndpointReports(List<FleetMessage.EndpointReport> reports) {}
  }

  @ParameterizedTest(name = "first start: {0}, entries: {1}, requests of each list: {2}")
  @CsvSource({"true, 1, 0", "true, 24, 0", "false, 1, 1", "false, 2, 2", "false, 24, 2"})
  void eachListIsRequestedByAtMostTwoEntriesAndNotAtTheFirstStart(
      boolean firstStart, int entries, int requestsPerEndpoint) {
    List<String> names = names(entries);
    for (String name : names) {
      new Entry(name, firstStart).requestListings(names);
    }
    assertThat(
        requests.values().stream().collect(Collectors.toSet()),
        is(requestsPerEndpoint == 0 ? Set.of() : Set.of(requestsPerEndpoint)));
    assertThat(requests.keySet(), hasSize(requestsPerEndpoint == 0 ? 0 : ENDPOINTS));
  }

  @Test
  void listsAreNotRequestedBeforeTheOtherEntriesAreLikelyToBeKnown() {
    Entry entry = new Entry("entry-0", false);
    entry.exchange.requestListings(names(1));
    now = now.plus(HEARTBEAT.minusMillis(1));
    entry.exchange.requestListings(names(1));
    assertThat(requests.keySet(), empty());
  }

  @Test
  void listsAreNotRequestedAfterTheStart() {
    Entry entry = new Entry("entry-0", false);
    entry.exchange.requestListings(names(1));
    now = now.plus(HEARTBEAT.multipliedBy(3));
    entry.exchange.requestListings(names(1));
    assertThat(requests.keySet(), empty());
  }

  @Test
  void theListOfAnEntryThatLeavesIsRequestedByTheNextOne() {
    Entry entry = new Entry("entry-0", false);
    entry.requestListings(names(24));
    entry.exchange.requestListings(names(1));
    assertThat(requests.keySet(), hasSize(ENDPOINTS));
    assertThat(Set.copyOf(requests.values()), is(Set.of(1)));
  }

  @Test
  void theOtherEntriesReceiveTheList() {
    Entry entry = new Entry("entry-0", false);
    entry.requestListings(names(2));
    List<FleetMessage.PrefixPart> held =
        List.of(new FleetMessage.PrefixPart("a", 2_000), new FleetMessage.PrefixPart("b", 500));
    assertThat(entry.sent, hasSize(ENDPOINTS));
    assertThat(
        entry.sent.stream().map(FleetMessage.PrefixRead::parts).distinct().toList(),
        contains(held));
  }

  @Test
  void anEndpointThatDoesNotRespondOrHoldsNothingIsNotReported() {
    Entry first = new Entry("entry-0", false);
    response = Future.failedFuture("timeout");
    first.requestListings(names(1));
    Entry second = new Entry("entry-0", false);
    response = Future.succeededFuture(List.of());
    second.requestListings(names(1));
    assertThat(first.sent, empty());
    assertThat(second.sent, empty());
  }

  /**
   * Guards against a restarted entry of a region of few engines that places its first requests
   * without the lists, while it waits for the other entries.
   */
  @ParameterizedTest(name = "endpoints: {0}, requests at the first message: {1}")
  @CsvSource({"3, 3", "8, 8", "9, 0"})
  void listsOfFewEnginesAreRequestedByEachEntryImmediately(int endpoints, int requested) {
    new Entry("entry-7", false, endpoints).exchange.requestListings(names(24));
    assertThat(requests.keySet(), hasSize(requested));
  }

  private static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(i -> "entry-" + i).toList();
  }

  private static FleetSettings settings(String name, boolean firstStart) {
    return EntrySettings.of(
        name, Map.of("north-a", "north"), 1, 2, firstStart, HEARTBEAT, EntrySettings.BOUNDS);
  }
}
