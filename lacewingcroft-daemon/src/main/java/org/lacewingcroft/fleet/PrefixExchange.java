package org.lacewingcroft.fleet;

import io.vertx.core.AsyncResult;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.PlacementMechanism;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.placement.PromptPart;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Tracks which prompt prefixes the endpoints cache: entries of all regions report prefilled
 * prefixes to each other, and an entry that has just started requests the list from the endpoints
 * themselves. Placement uses it to select an endpoint for a prompt and the endpoint from which to
 * fetch its prefix.
 *
 * <p>Confined to the event loop thread.
 */
final class PrefixExchange {
  private static final System.Logger LOG = System.getLogger(PrefixExchange.class.getName());

  /**
   * Minimum length of a shared prefix that entries report to each other; a shorter one is prefilled
   * as fast as it is reported.
   */
  private static final long MIN_REPORTED_PREFIX_TOKENS = 400;

  /**
   * Interval in which a prefix at one endpoint is reported at most once; the repeated report shows
   * that it is still in use.
   */
  private static final Duration PREFIX_REPORT_INTERVAL = Duration.ofSeconds(3);

  private final FleetSettings settings;
  private final PrefixListing listing;
  private final InstantSource clock;
  private final Supplier<Collection<EndpointTracker>> trackers;
  private final Function<String, Optional<EndpointTracker>> trackerOf;
  private final Supplier<UpdateChannel> channel;
  private final Function<String, Optional<ServiceSpec.Engine>> engineOfService;
  private final Map<String, Instant> reportedAt = new LinkedHashMap<>();
  private final Set<String> listingRequested = new HashSet<>();

  PrefixExchange(
      FleetSettings settings,
      PrefixListing listing,
      InstantSource clock,
      Supplier<Collection<EndpointTracker>> trackers,
      Function<String, Optional<EndpointTracker>> trackerOf,
      Supplier<UpdateChannel> channel,
      Function<String, Optional<ServiceSpec.Engine>> engineOfService) {
    this.settings = settings;
    this.listing = listing;
    this.clock = clock;
    this.trackers = trackers;
    this.trackerOf = trackerOf;
    this.channel = channel;
    this.engineOfService = engineOfService;
  }

  /**
   * Records that an endpoint has prefilled a prompt. A long shared prefix is reported to all
   * entries unless one of them has reported it recently.
   */
  void recordPrefix(EndpointTracker tracker, PlacementRequest request) {
    if (request.sharedTokens() < MIN_REPORTED_PREFIX_TOKENS) {
      return;
    }
    tracker.recordPrefix(request.sharedParts(), kvCapacityOf(tracker));
    if (recordIfDue(tracker.record().id(), request.sharedKey())) {
      List<FleetMessage.PrefixPart> parts =
          request.sharedParts().stream()
              .map(p -> new FleetMessage.PrefixPart(p.id(), p.tokens()))
              .toList();
      channel.get().sendPrefixRead(new FleetMessage.PrefixRead(tracker.record().id(), parts));
    }
  }

  /** Applies another entry's report of a prefilled prefix. */
  void onPrefixRead(FleetMessage.PrefixRead read) {
    List<PromptPart> parts =
        read.parts().stream().map(p -> new PromptPart(p.id(), p.tokens())).toList();
    trackerOf.apply(read.endpoint()).ifPresent(t -> t.recordPrefix(parts, kvCapacityOf(t)));
    recordIfDue(read.endpoint(), PlacementRequest.keyOf(parts));
  }

  private boolean recordIfDue(String endpoint, String prefix) {
    Instant now = clock.instant();
    evictExpired(now);
    return reportedAt.putIfAbsent(endpoint + '|' + prefix, now) == null;
  }

  /**
   * Evicts reports older than the interval. The map is in insertion order and no key is inserted
   * again before it is evicted, so the oldest come first.
   */
  private void evictExpired(Instant now) {
    Iterator<Instant> oldest = reportedAt.values().iterator();
    while (oldest.hasNext() && !oldest.next().plus(PREFIX_REPORT_INTERVAL).isAfter(now)) {
      oldest.remove();
    }
  }

  /**
   * Requests the list of cached prefixes from each endpoint of the region, once per endpoint. After
   * all entries crash at the same time, the endpoints still cache every prefix, and an entry that
   * has not received them assumes a long prefill for each request. In one such case, 30 of the 35
   * long prompts of the first two seconds were placed on that assumption, and 41 requests were
   * rejected.
   */
  void requestListings() {
    if (!settings.disabledMechanisms().contains(PlacementMechanism.PREFIX_LISTING)) {
      trackers.get().stream().filter(this::tryStartListing).forEach(this::requestListing);
    }
  }

  /** Returns whether the endpoint's list has yet to be requested, and marks it as requested. */
  private boolean tryStartListing(EndpointTracker tracker) {
    EndpointRecord record = tracker.record();
    return settings.inOwnRegion(record.failureDomain())
        && record.state() == EndpointState.READY
        && engineOfService
            .apply(record.service())
            .filter(ServiceSpec.Engine::supportsKvFetch)
            .isPresent()
        && listingRequested.add(record.id());
  }

  private void requestListing(EndpointTracker tracker) {
    listing
        .list(tracker.record().address())
        .onSuccess(parts -> tracker.recordPrefix(parts, kvCapacityOf(tracker)))
        .onComplete(response -> logListing(tracker.record(), response));
  }

  private long kvCapacityOf(EndpointTracker tracker) {
    return engineOfService
        .apply(tracker.record().service())
        .map(ServiceSpec.Engine::kvCapacityTokens)
        .orElse(0L);
  }

  private static void logListing(EndpointRecord record, AsyncResult<List<PromptPart>> response) {
    LOG.log(
        System.Logger.Level.INFO,
        "prefixes.listed",
        "endpoint",
        record.id(),
        "parts",
        response.succeeded() ? response.result().size() : 0,
        "outcome",
        response.succeeded() ? "answered" : String.valueOf(response.cause().getMessage()));
  }
}
