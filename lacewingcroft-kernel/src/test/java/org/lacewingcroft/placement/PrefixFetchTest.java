package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.route.ServiceSpec;

/** Tests from which endpoint a prompt prefix is fetched, and when it is prefilled instead. */
class PrefixFetchTest {
  private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");
  private static final long KV_TOKENS = 345_000;
  private static final double FAST_LINK_MBPS = 550_000;
  private static final PromptPart COMMON = new PromptPart("common", 2_000);
  private static final PromptPart CONTRACT = new PromptPart("contract", 11_000);
  private static final PromptPart NOTE = new PromptPart("note", 300);

  /**
   * A test case: the shared parts, which endpoints have prefilled which of them, the link speed,
   * and the expected source and number of fetched tokens.
   */
  record Row(
      String name,
      List<PromptPart> shared,
      Map<String, List<PromptPart>> prefilled,
      double linkMbps,
      Set<PlacementMechanism> disabled,
      String source,
      long tokens) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    List<PromptPart> bothParts = List.of(COMMON, CONTRACT);
    Set<PlacementMechanism> none = Set.of();
    return Stream.of(
        new Row("prefix cached nowhere", bothParts, Map.of(), FAST_LINK_MBPS, none, "none", 0),
        new Row(
            "prefix cached in another region",
            bothParts,
            Map.of("far", bothParts),
            FAST_LINK_MBPS,
            none,
            "far",
            13_000),
        new Row(
            "longest cached prefix is fetched",
            bothParts,
            Map.of("far", bothParts, "near", List.of(COMMON)),
            FAST_LINK_MBPS,
            none,
            "far",
            13_000),
        new Row(
            "source in the same failure domain is preferred",
            bothParts,
            Map.of("far", bothParts, "near", bothParts),
            FAST_LINK_MBPS,
            none,
            "near",
            13_000),
        new Row(
            "only missing tokens are fetched",
            bothParts,
            Map.of("far", bothParts, "target", List.of(COMMON)),
            FAST_LINK_MBPS,
            none,
            "far",
            11_000),
        new Row(
            "part without the parts before it is not fetched",
            bothParts,
            Map.of("far", List.of(CONTRACT)),
            FAST_LINK_MBPS,
            none,
            "none",
            0),
        new Row(
            "short prefix is prefilled",
            List.of(NOTE),
            Map.of("far", List.of(NOTE)),
            FAST_LINK_MBPS,
            none,
            "none",
            0),
        new Row(
            "prefilled if the link is slow",
            bothParts,
            Map.of("far", bothParts),
            20_000,
            none,
            "none",
            0),
        new Row(
            "prefilled without a link", bothParts, Map.of("far", bothParts), 0, none, "none", 0),
        new Row(
            "mechanism disabled",
            bothParts,
            Map.of("far", bothParts),
            FAST_LINK_MBPS,
            EnumSet.of(PlacementMechanism.PREFIX_FETCH),
            "none",
            0));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void fetchesPrefixFromCacheHolder(Row row) {
    Map<String, EndpointTracker> endpoints = new TreeMap<>();
    Map.of("target", "a", "near", "a", "far", "b")
        .forEach((id, domain) -> endpoints.put(id, tracker(id, domain)));
    row.prefilled().forEach((id, parts) -> endpoints.get(id).recordPrefix(parts, KV_TOKENS));
    Placer.Context context =
        context(
            List.of(endpoints.get("target")), endpoints.values(), row.linkMbps(), row.disabled());
    Placement placement =
        new Placer(3, new Random(1)).place(request(row.shared(), Set.of()), context, NOW);
    Optional<Placement.PrefixFetch> fetch = ((Placement.ToEndpoint) placement).fetch();
    assertThat(fetch.map(f -> f.source().record().id()).orElse("none"), equalTo(row.source()));
    assertThat(fetch.map(Placement.PrefixFetch::tokens).orElse(0L), equalTo(row.tokens()));
  }

  /**
   * A test case: an event at the only cache holder, and whether it is used as a source afterwards.
   */
  record HolderRow(String name, BiConsumer<EndpointTracker, Instant> event, boolean isSource) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<HolderRow> holders() {
    return Stream.of(
        new HolderRow("answers", (e, now) -> startRequest(e, now).bytesReceived(now), true),
        new HolderRow(
            "completes a response",
            (e, now) -> startRequest(e, now).finish(EndpointTracker.Outcome.ANSWERED, now),
            true),
        new HolderRow(
            "rejects a request because it is full",
            (e, now) -> startRequest(e, now).finish(EndpointTracker.Outcome.NOT_RUN, now),
            true),
        new HolderRow(
            "closes the connection during a response",
            (e, now) -> startRequest(e, now).finish(EndpointTracker.Outcome.FAILED, now),
            false),
        new HolderRow(
            "closed a connection during a response 5 s ago",
            (e, now) ->
                startRequest(e, now.minusSeconds(5))
                    .finish(EndpointTracker.Outcome.FAILED, now.minusSeconds(5)),
            true),
        new HolderRow(
            "has an overdue response", (e, now) -> startRequest(e, now.minusSeconds(2)), false),
        new HolderRow("refuses connections", (e, now) -> e.recordConnectFailure(now), false),
        new HolderRow(
            "is lost",
            (e, now) -> e.update(record(e.record().id(), "a", EndpointState.LOST), now),
            false));
  }

  @ParameterizedTest
  @MethodSource("holders")
  void onlyHealthyHoldersAreSources(HolderRow row) {
    EndpointTracker holder = tracker("holder", "a");
    row.event().accept(holder, NOW);
    assertThat(holder.isPrefixSource(NOW), equalTo(row.isSource()));
  }

  /**
   * After the connection to the cache holder was lost during a response, the endpoint of the next
   * attempt must not fetch from that holder.
   */
  @Test
  void excludedHolderIsNoSource() {
    EndpointTracker holder = tracker("holder", "a");
    holder.recordPrefix(List.of(COMMON, CONTRACT), KV_TOKENS);
    Placer.Context context =
        context(List.of(tracker("target", "a")), List.of(holder), FAST_LINK_MBPS, Set.of());
    PlacementRequest retry = request(List.of(COMMON, CONTRACT), Set.of("holder"));
    Placement.ToEndpoint placement =
        (Placement.ToEndpoint) new Placer(3, new Random(1)).place(retry, context, NOW);
    assertThat(placement.fetch().isPresent(), equalTo(false));
  }

  /**
   * An engine that caches three long prompts crashes at the peak, and the prompts are placed again
   * on the two remaining engines. Guards against estimates that still assume a fetch from the
   * crashed engine: the full prefill must be accounted for, so that it is distributed over both
   * engines and the requests that follow are not placed behind prefills missing from the estimates.
   */
  @Test
  void accountsForFullPrefillAfterCrash() {
    EndpointTracker crashed = tracker("crashed", "a");
    long[] contractTokens = {10_000, 17_000, 23_000};
    List<PlacementRequest> prompts = new ArrayList<>();
    for (long tokens : contractTokens) {
      prompts.add(request(List.of(new PromptPart("contract-" + tokens, tokens)), Set.of()));
    }
    List<EndpointTracker.InFlightRequest> requests = new ArrayList<>();
    for (PlacementRequest prompt : prompts) {
      requests.add(crashed.startRequest(prompt, 0, KV_TOKENS, NOW));
      crashed.recordPrefix(prompt.sharedParts(), KV_TOKENS);
    }
    requests.forEach(request -> request.finish(EndpointTracker.Outcome.FAILED, NOW));
    List<EndpointTracker> survivors = List.of(tracker("left-1", "a"), tracker("left-2", "a"));
    List<EndpointTracker> holders =
        Stream.concat(survivors.stream(), Stream.of(crashed))
            .filter(e -> e.isPrefixSource(NOW))
            .toList();
    long prefillTokens = 0;
    for (PlacementRequest prompt : prompts) {
      Placement.ToEndpoint placement =
          (Placement.ToEndpoint)
              new Placer(3, new Random(1))
                  .place(prompt, context(survivors, holders, FAST_LINK_MBPS, Set.of()), NOW);
      long fetched = placement.fetch().map(Placement.PrefixFetch::tokens).orElse(0L);
      prefillTokens +=
          placement.endpoint().startRequest(prompt, fetched, KV_TOKENS, NOW).prefillTokens();
    }
    assertThat(
        prefillTokens, equalTo(prompts.stream().mapToLong(PlacementRequest::promptTokens).sum()));
    for (EndpointTracker engine : survivors) {
      assertThat(engine.inFlight(), greaterThan(0));
    }
  }

  private static EndpointTracker.InFlightRequest startRequest(
      EndpointTracker endpoint, Instant at) {
    return endpoint.startRequest(request(List.of(COMMON), Set.of()), 0, KV_TOKENS, at);
  }

  private static Placer.Context context(
      Collection<EndpointTracker> endpoints,
      Collection<EndpointTracker> holders,
      double linkMbps,
      Set<PlacementMechanism> disabled) {
    return new Placer.Context(
        endpoints,
        "e1",
        List.of("e1"),
        100,
        Optional.empty(),
        Set.of(),
        Set.of(),
        /* relayed= */ false,
        /* hasNeighbour= */ () -> false,
        "here",
        holders,
        Optional.of(new ServiceSpec.Engine(128, KV_TOKENS, 4, 35_136, linkMbps)),
        disabled,
        Optional.empty());
  }

  private static EndpointTracker tracker(String id, String domain) {
    return new EndpointTracker(record(id, domain, EndpointState.READY), NOW.minusSeconds(10));
  }

  private static EndpointRecord record(String id, String domain, EndpointState state) {
    return new EndpointRecord(id, 0, "s", "10.0.0.1:1", domain, 128, state, 1, 0);
  }

  private static PlacementRequest request(List<PromptPart> shared, Set<String> excludedEndpoints) {
    List<PromptPart> parts =
        Stream.concat(shared.stream(), Stream.of(new PromptPart("own", 500))).toList();
    long tokens = parts.stream().mapToLong(PromptPart::tokens).sum();
    return new PlacementRequest(
        "s",
        0,
        tokens,
        100,
        parts,
        Duration.ofMillis(1_200),
        Duration.ofSeconds(10),
        excludedEndpoints);
  }
}
