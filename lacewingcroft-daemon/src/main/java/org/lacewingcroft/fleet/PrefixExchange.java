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
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.PlacementMechanism;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.placement.PromptPart;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Tracks which prompt prefixes the endpoints cache: entries of all regions report prefilled
 * prefixes to each other. After a restart, a few entries request the list from the endpoints
 * themselves and report it to the others. Placement uses it to select an endpoint for a prompt and
 * the endpoint from which to fetch its prefix.
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

  /**
   * Number of entries of a region that request the list of one endpoint after a restart: a second
   * one, because the first may stop or fail before it has reported the list.
   */
  private static final int LISTING_ENTRIES = 2;

  /**
   * Number of engines of a region up to which each entry requests all lists immediately: these few
   * calls cost less than the requests that are placed before other entries' reports arrive.
   */
  private static final int MAX_ENGINES_LISTED_BY_ALL = 8;

  /**
   * Number of heartbeat intervals from the first known endpoint within which lists are requested. A
   * running endpoint announces itself once per interval; one may be lost.
   */
  private static final int DISCOVERY_HEARTBEATS = 3;

  private final FleetSettings settings;
  private final PrefixListing listing;
  private final InstantSource clock;
  private final Supplier<Collection<EndpointTracker>> trackers;
  private final Function<String, Optional<EndpointTracker>> trackerOf;
  private final Supplier<UpdateChannel> channel;
  private final Function<String, Optional<ServiceSpec.Engine>> engineOfService;
  private final Map<String, Instant> reportedAt = new LinkedHashMap<>();
  private final Set<String> listingRequested = new HashSet<>();

  /** Endpoints whose lists other entries request, as long as the known entries do not change. */
  private final Set<String> listedByOthers = new HashSet<>();

  private List<String> listingEntries = List.of();
  private Optional<Instant> firstEndpointAt = Optional.empty();
  private boolean listedByAll;

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
      report(tracker, request.sharedParts());
    }
  }

  private void report(EndpointTracker tracker, List<PromptPart> parts) {
    List<FleetMessage.PrefixPart> reported =
        parts.stream().map(p -> new FleetMessage.PrefixPart(p.id(), p.tokens())).toList();
    channel.get().sendPrefixRead(new FleetMessage.PrefixRead(tracker.record().id(), reported));
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
   * Requests the lists of cached prefixes for which this entry is responsible, once per endpoint,
   * and reports them to the other entries. Each list is requested by {@link #LISTING_ENTRIES}
   * entries of the region, and all lists by an entry that knows of no other. At a deployment's
   * first start no endpoint caches anything, and nothing is requested. In a region of few engines
   * each entry requests all lists.
   *
   * <p>After all entries crash at the same time, the endpoints still cache every prefix, and an
   * entry that has not received them assumes a long prefill for each request. In one such case, 30
   * of the 35 long prompts of the first two seconds were placed on that assumption, and 41 requests
   * were rejected.
   *
   * @param regionEntries the names of the region's known entries, including this one; a new list
   *     after each change
   */
  void requestListings(List<String> regionEntries) {
    if (settings.firstStart()
        || settings.disabledMechanisms().contains(PlacementMechanism.PREFIX_LISTING)) {
      return;
    }
    listedByAll =
        trackers.get().stream().filter(this::isEngineOfRegion).count() <= MAX_ENGINES_LISTED_BY_ALL;
    if (!isListingTime()) {
      return;
    }
    if (listingEntries != regionEntries) {
      listingEntries = regionEntries;
      listedByOthers.clear();
    }
    trackers.get().stream().filter(this::tryStartListing).forEach(this::requestListing);
  }

  /**
   * Returns whether lists are requested now: from one heartbeat interval after the first endpoint
   * is known, when the entries that started at the same time are likely to be known, until all
   * running endpoints have announced themselves. Without the wait, the first entries that are ready
   * after a crash of all entries would each request all lists. In a region of few engines there is
   * no wait.
   */
  private boolean isListingTime() {
    Instant now = clock.instant();
    if (firstEndpointAt.isEmpty() && !trackers.get().isEmpty()) {
      firstEndpointAt = Optional.of(now);
    }
    Duration heartbeat = settings.endpointHeartbeat();
    return firstEndpointAt
        .filter(at -> listedByAll || !at.plus(heartbeat).isAfter(now))
        .filter(at -> at.plus(heartbeat.multipliedBy(DISCOVERY_HEARTBEATS)).isAfter(now))
        .isPresent();
  }

  /**
   * Returns whether this entry is responsible for the endpoint's list and has yet to request it,
   * and marks it as requested.
   */
  private boolean tryStartListing(EndpointTracker tracker) {
    EndpointRecord record = tracker.record();
    return !listingRequested.contains(record.id())
        && !listedByOthers.contains(record.id())
        && record.state() == EndpointState.READY
        && isEngineOfRegion(tracker)
        && (listedByAll || isResponsibleFor(record.id()))
        && listingRequested.add(record.id());
  }

  private boolean isEngineOfRegion(EndpointTracker tracker) {
    return settings.inOwnRegion(tracker.record().failureDomain())
        && engineOfService
            .apply(tracker.record().service())
            .filter(ServiceSpec.Engine::supportsKvFetch)
            .isPresent();
  }

  private boolean isResponsibleFor(String endpoint) {
    List<String> ranked = Rendezvous.rank(listingEntries, name -> name, endpoint);
    boolean responsible =
        ranked.stream().limit(LISTING_ENTRIES).anyMatch(settings.nodeName()::equals);
    if (!responsible) {
      listedByOthers.add(endpoint);
    }
    return responsible;
  }

  private void requestListing(EndpointTracker tracker) {
    listing
        .list(tracker.record().address())
        .onSuccess(parts -> applyListing(tracker, parts))
        .onComplete(response -> logListing(tracker.record(), response));
  }

  private void applyListing(EndpointTracker tracker, List<PromptPart> parts) {
    if (!parts.isEmpty()) {
      tracker.recordPrefix(parts, kvCapacityOf(tracker));
      report(tracker, parts);
    }
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
