package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import org.lacewingcroft.limit.FleetQuotas;
import org.lacewingcroft.peer.PeerTraffic;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.ExtraSendBudget;
import org.lacewingcroft.placement.Placement;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.placement.Placer;
import org.lacewingcroft.placement.RegionLoads;
import org.lacewingcroft.placement.TrackedEndpoints;
import org.lacewingcroft.route.InvalidRouteTableException;
import org.lacewingcroft.route.RouteDocumentParser;
import org.lacewingcroft.route.ServiceSpec;

/**
 * An entry of a fleet with the state that it has received: the routing state, the endpoints with their load, the other entries and the control instances. It reports to every control instance it knows, applies their updates, and continues with its current state while none is reachable.
 *
 * <p>All state is confined to the event loop thread.
 */
public final class EntryNode implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(EntryNode.class.getName());

  /** Interval at which an entry reports to the control instances. */
  private static final long REPORT_MILLIS = 500;

  /** Each report with a number divisible by this goes to all control instances, the others only to those that the entry follows. */
  private static final int REPORTS_BETWEEN = 3;

  /** Time without a reply from any control instance after which the entry also reports to the seed peers. */
  private static final Duration CONTROL_SILENCE = Duration.ofSeconds(2);

  /** Minimum interval between two requests for the routing state. */
  private static final Duration REQUEST_PAUSE = Duration.ofMillis(400);

  /** Added to a service's warm-up when an evacuation ends, to cover the delay of the routing update. */
  private static final Duration RETURN_SLACK = Duration.ofSeconds(1);

  /** Share of an endpoint's connections that all entries together use. */
  private static final double CONNECTION_SHARE = 0.8;

  /** Length of the state lease, as a share of the time for which a revoked key may still be accepted. */
  private static final double LEASE_SHARE = 0.6;

  /** Share of a cold endpoint's rate bound that the entries use together. */
  private static final double COLD_SHARE = 0.5;

  private final FleetSettings settings;
  private final EntryInfo self;
  private final InstantSource clock;
  private final Vertx vertx;
  private final FleetTransport transport;
  private final RouteDocumentParser parser;
  private final TrackedEndpoints endpoints = new TrackedEndpoints(new EndpointChanges());
  private final RegionLoads regionLoads = new RegionLoads();
  private final UnreachableEntries unreachable = new UnreachableEntries();
  private final AggregatorChoice aggregators;
  private final UpdateChannel direct;
  private final UpdateChannel aggregated;
  private final LoadExchange loads;
  private final PrefixExchange prefixes;
  private final ExtraSendBudget extraSends;
  private final ControlContacts contacts;
  private final RequestQuarantine quarantine;
  private final Instant startedAt;
  private final StateLease lease;
  private final FleetQuotas quotas;
  private final InstantSource wallClock = InstantSource.system();
  private volatile List<String> seeds;
  private List<String> controls = List.of();
  private List<EntryInfo> entries = List.of();
  private List<String> regionEntryNames;
  private boolean largeFleet;
  private volatile RoutingView routing = RoutingView.NONE;
  private Instant requestedAt = Instant.EPOCH;
  private boolean rosterKnown;
  private boolean reachedControl;
  private Optional<String> newsThrough = Optional.empty();
  private long reports;
  private boolean stopping;
  private boolean toldReady;

  /** Logs endpoint changes and forwards crashes and recoveries to the quarantine. */
  private final class EndpointChanges implements TrackedEndpoints.Listener {
    @Override
    public void changed(EndpointRecord record, String cause) {
      RosterLog.changed(record, cause);
    }

    @Override
    public void incarnationLost(EndpointTracker endpoint) {
      quarantine.ended(endpoint.record(), endpoint.lastByteAt());
    }

    @Override
    public void incarnationReturned(EndpointRecord record) {
      quarantine.returned(record);
    }
  }

  /** Creates the entry; {@link #start} begins to report. */
  public EntryNode(
      Context context,
      FleetSettings settings,
      EntryInfo self,
      RouteDocumentParser parser,
      PrefixListing listing,
      InstantSource clock) {
    this.vertx = context.owner();
    this.settings = settings;
    this.self = self;
    this.parser = parser;
    this.clock = clock;
    this.startedAt = clock.instant();
    this.regionEntryNames = List.of(self.name());
    this.seeds = settings.seedPeers();
    this.transport = new FleetTransport(context, settings);
    this.quotas = new FleetQuotas(startedAt);
    this.contacts = new ControlContacts(settings.region());
    this.aggregators = new AggregatorChoice(settings.region());
    this.direct = new DirectUpdateChannel(settings, transport, () -> this.entries);
    this.aggregated = new AggregatedUpdateChannel(settings, transport, aggregators, clock);
    this.loads =
        new LoadExchange(
            vertx,
            settings,
            self,
            clock,
            endpoints::trackers,
            endpoints::tracker,
            this::newsChannel,
            quotas);
    this.prefixes =
        new PrefixExchange(
            settings,
            listing,
            clock,
            endpoints::trackers,
            endpoints::tracker,
            this::newsChannel,
            service -> this.routing.table().engine(service));
    this.quarantine =
        new RequestQuarantine(
            vertx,
            self.name(),
            settings.peerAddress(),
            transport,
            clock,
            this::nearControls,
            this::entryNames);
    FleetBounds bounds = settings.bounds();
    this.lease = new StateLease(leaseOf(bounds));
    this.extraSends =
        new ExtraSendBudget(
            bounds.extraSendRatio(), bounds.extraSendSlack(), bounds.extraSendWindow());
  }

  /** Returns the length of the state lease. The rest of the revocation delay is left for control instances to detect that they are themselves disconnected. */
  private static Duration leaseOf(FleetBounds bounds) {
    long millis = bounds.revocationDelay().map(Duration::toMillis).orElse(0L);
    return Duration.ofMillis(Math.round(millis * LEASE_SHARE));
  }

  /** Starts listening to peers and reporting. */
  public Future<Void> start() {
    vertx.setPeriodic(REPORT_MILLIS, id -> report());
    loads.start();
    return transport
        .listen(this::receive, (from, message) -> {})
        .onSuccess(port -> report())
        .mapEmpty();
  }

  /** Replaces the seed peers after the settings have changed. */
  public void updateSeeds(List<String> peers) {
    seeds = List.copyOf(peers);
  }

  /** Stops accepting requests and reports it to the control instances immediately. */
  public void beginShutdown() {
    stopping = true;
    report();
  }

  /** Returns whether callers may be directed to this entry. */
  public boolean ready() {
    return !stopping && routing.revision() > 0 && (rosterKnown || !endpoints.trackers().isEmpty());
  }

  /** Returns whether this entry has just started and may not have received all endpoints yet, so that a request for which it knows none is worth a short wait. */
  public boolean discoveringEndpoints() {
    return startedAt.plus(settings.endpointHeartbeat().multipliedBy(3)).isAfter(clock.instant());
  }

  /** Returns whether this entry is shutting down. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns the active routing state. */
  public RoutingView routing() {
    return routing;
  }

  /**
   * Consumes one extra send from the budget of a service if there is one left. Extra sends are all sends of a request after the first.
   *
   * @return whether the extra send is allowed
   */
  public boolean tryTakeExtraSend(String service) {
    return extraSends.tryTake(service, entries.size(), clock.instant());
  }

  /** Records the first send of a request, which adds to the budget of extra sends. */
  public void recordFirstSend(String service) {
    extraSends.recordFirstSend(service, clock.instant());
  }

  /** Returns the known entries, including this one while it accepts requests. */
  public List<EntryInfo> entries() {
    return entries;
  }

  /** Returns the tracked endpoints, for metrics. */
  public Collection<EndpointTracker> endpoints() {
    return endpoints.trackers();
  }

  /** Returns the cost of the messages to and from other instances, for metrics. */
  public PeerTraffic traffic() {
    return transport.traffic();
  }

  /** Returns the quarantine of request contents that are no longer sent to endpoints. */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the quotas of organisations. */
  public FleetQuotas quotas() {
    return quotas;
  }

  /** Returns the loads of the other regions. */
  public RegionLoads regionLoads() {
    return regionLoads;
  }

  /** Returns the digest of a list of entries that {@link FleetMessage.EntryReport} contains. */
  static int entriesDigest(List<EntryInfo> entries) {
    int digest = 0;
    for (EntryInfo entry : entries) {
      digest += entry.hashCode();
    }
    return digest;
  }

  /**
   * Selects an endpoint or a region for a request.
   *
   * @param request the request
   * @param allowOtherRegions whether it may run in another region
   * @param allowedRegions regions that may run it; empty for any
   * @param excludedRegions regions not to be tried again
   */
  public Placement place(
      PlacementRequest request,
      boolean mayLeave,
      Set<String> allowedRegions,
      Set<String> passedOverRegions) {
    Optional<ServiceSpec> spec = routing.table().service(request.service());
    Optional<ServiceSpec.Engine> engine = spec.flatMap(ServiceSpec::engine);
    List<String> near = regionEntryNames;
    Placer placer = new Placer(coldOwners(spec), ThreadLocalRandom.current());
    List<EndpointTracker> all = endpointsOf(request.service());
    return placer.place(
        request,
        new Placer.Context(
            all.stream().filter(t -> settings.inOwnRegion(t.record().failureDomain())).toList(),
            self.name(),
            near,
            ownLimit(spec, near.size()),
            mayLeave ? Optional.of(regionLoads) : Optional.empty(),
            allowedRegions,
            passedOverRegions,
            settings.region(),
            engine.isPresent() ? prefixHolders(all, allowedRegions) : List.of(),
            engine,
            settings.disabledMechanisms()),
        clock.instant());
  }

  /** Returns the endpoints from which KV cache may be fetched: healthy ones in regions where the request's data may be stored. */
  private List<EndpointTracker> prefixHolders(
      List<EndpointTracker> endpoints, Set<String> allowedRegions) {
    Instant now = clock.instant();
    return endpoints.stream()
        .filter(t -> t.isPrefixSource(now))
        .filter(
            t ->
                allowedRegions.isEmpty()
                    || settings
                        .regionOf(t.record().failureDomain())
                        .filter(allowedRegions::contains)
                        .isPresent())
        .toList();
  }

  private List<EndpointTracker> endpointsOf(String service) {
    Set<String> evacuated = routing.evacuatedDomains();
    return endpoints.trackers().stream()
        .filter(t -> t.record().service().equals(service))
        .filter(t -> !evacuated.contains(t.record().failureDomain()))
        .toList();
  }

  private List<String> entryNames() {
    return entries.stream().map(EntryInfo::name).toList();
  }

  private static List<String> regionEntryNames(EntryInfo self, List<EntryInfo> entries) {
    Set<String> names = new TreeSet<>();
    names.add(self.name());
    entries.stream()
        .filter(e -> e.region().equals(self.region()))
        .forEach(e -> names.add(e.name()));
    return List.copyOf(names);
  }

  private static int ownLimit(Optional<ServiceSpec> spec, int entriesNear) {
    int connections = spec.map(ServiceSpec::maxConnections).orElse(1);
    return Math.max(2, (int) (connections * CONNECTION_SHARE / entriesNear));
  }

  private int coldOwners(Optional<ServiceSpec> spec) {
    double rate = spec.map(ServiceSpec::coldRequestsPerSecond).orElse(0.0);
    double bound = rate * settings.bounds().warmupOvershoot() + settings.bounds().warmupSlack();
    return Math.max(1, (int) (bound * COLD_SHARE));
  }

  /** Returns the entries of a region. */
  public List<EntryInfo> entriesOf(String region) {
    return entries.stream().filter(e -> e.region().equals(region)).toList();
  }

  /** Returns the entries of a region to which a request may be relayed. */
  public List<EntryInfo> relayEntriesOf(String region) {
    return unreachable.prefer(entriesOf(region), clock.instant());
  }

  /** Returns the entries of other regions to which this one keeps connections open. */
  public List<EntryInfo> relayPartners() {
    return settings.regionByDomain().values().stream()
        .distinct()
        .filter(r -> !r.equals(settings.region()))
        .flatMap(r -> RelayPartners.of(relayEntriesOf(r), self.name()).stream())
        .toList();
  }

  /** Returns this entry's name. */
  public String name() {
    return self.name();
  }

  /** Records a request relayed to another region. */
  public void requestRelayed(String region, PlacementRequest request) {
    regionLoads.recordRelayed(region, request, entriesOf(settings.region()).size());
  }

  /** Records that connecting to an entry of another region failed. After this has happened for all relay partners there, the region is unreachable and no request waits for another connect timeout. */
  public void entryUnreachable(EntryInfo entry) {
    Instant now = clock.instant();
    unreachable.failed(entry, now);
    List<EntryInfo> partners = RelayPartners.of(entriesOf(entry.region()), self.name());
    if (unreachable.allFailed(partners, now)) {
      regionLoads.recordUnreachable(entry.region(), now);
      LOG.log(
          System.Logger.Level.INFO,
          "region.unreachable",
          "region",
          entry.region(),
          "entries",
          partners.stream().map(EntryInfo::name).toList());
    }
  }

  private void report() {
    Instant now = clock.instant();
    boolean silent = contacts.allSilentFor(CONTROL_SILENCE, now);
    if (silent && reachedControl) {
      reachedControl = false;
      LOG.log(System.Logger.Level.WARNING, "control.lost", "known", controls);
    }
    Set<String> targets = knownControls(now);
    Set<String> relied = largeFleet && !silent ? contacts.relied(controls, now) : targets;
    long questionId = lease.ask(clocks());
    transport.sendAll(relied, entryReport(true, questionId));
    reports++;
    if (reports % REPORTS_BETWEEN == 0 || stopping) {
      Set<String> others = new TreeSet<>(targets);
      others.removeAll(relied);
      transport.sendAll(others, entryReport(false, questionId));
    }
    quarantine.repeat();
    tellRegions();
  }

  /** Returns the known control instances, and also the seed peers while none of them replies. */
  private Set<String> knownControls(Instant now) {
    Set<String> known = new TreeSet<>(controls);
    if (controls.isEmpty() || contacts.allSilentFor(CONTROL_SILENCE, now)) {
      known.addAll(seeds);
    }
    return known;
  }

  /** Returns the control instances of this region, which forward messages to the others; all of them while none of this region is connected to a majority. */
  private Set<String> nearControls() {
    Instant now = clock.instant();
    return contacts.relied(knownControls(now), now);
  }

  private StateLease.Clocks clocks() {
    return new StateLease.Clocks(clock.instant(), wallClock.instant());
  }

  /** Returns whether callers' API keys may be accepted. An entry that is disconnected from the control instances does not receive key revocations. */
  public boolean canVerifyApiKeys() {
    return settings.bounds().revocationDelay().isEmpty() || lease.isValid(clocks());
  }

  private FleetMessage entryReport(boolean wantsLists, long questionId) {
    return new FleetMessage.EntryReport(
        self,
        ready(),
        wantsLists,
        routing.revision(),
        endpoints.digest(),
        entriesDigest(entries),
        quarantine.digest(),
        questionId);
  }

  private void receive(FleetMessage message) {
    if (message instanceof FleetMessage.ControlPulse pulse) {
      pulse(pulse);
    } else if (message instanceof FleetMessage.RosterUpdate update) {
      rosterUpdated(update);
    } else if (message instanceof FleetMessage.EntryList list) {
      entriesChanged(list);
    } else if (message instanceof FleetMessage.StateOffer offer) {
      stateOffered(offer);
    } else if (message instanceof FleetMessage.LoadReport load) {
      loads.heard(load);
    } else if (message instanceof FleetMessage.PrefixRead read) {
      prefixes.heard(read);
    } else if (message instanceof FleetMessage.RegionLoad load) {
      regionHeard(load);
    } else if (message instanceof FleetMessage.EntryNews news) {
      quotas.applyPeerUsage(news.news().quotaUsage(), clock.instant());
    } else if (message instanceof FleetMessage.NewsDigest digest) {
      digestHeard(digest);
    } else if (message instanceof FleetMessage.SuspicionUpdate update) {
      quarantine.heard(update);
    } else if (message instanceof FleetMessage.SuspicionAck ack) {
      quarantine.confirmed(ack);
    }
    reportReady();
    if (discoveringEndpoints()) {
      prefixes.askEndpoints();
    }
  }

  private void regionHeard(FleetMessage.RegionLoad load) {
    Instant now = clock.instant();
    load.services().forEach(s -> regionLoads.update(load.region(), s, now));
  }

  private void digestHeard(FleetMessage.NewsDigest digest) {
    aggregators.digest(digest.from());
    digest.news().loads().forEach(loads::heard);
    digest.news().prefixes().forEach(prefixes::heard);
    digest.news().regionLoads().forEach(this::regionHeard);
    quotas.applyFleetUsage(digest.news().quotaUsage(), clock.instant());
  }

  /** Returns the channel for updates. In large fleets the entries exchange updates through an aggregator while one is reachable. */
  private UpdateChannel newsChannel() {
    Optional<String> aggregator =
        largeFleet ? aggregators.current(clock.instant()) : Optional.empty();
    if (!aggregator.equals(newsThrough)) {
      newsThrough = aggregator;
      LOG.log(
          System.Logger.Level.INFO,
          "news.channel_changed",
          "aggregator",
          aggregator.orElse("none, entries exchange updates directly"));
    }
    return aggregator.isPresent() ? aggregated : direct;
  }

  /** Returns whether a region has so many entries that direct exchange between them is too expensive. All entries have about the same list of entries and so come to the same result. */
  private static boolean isLarge(List<EntryInfo> entries) {
    Map<String, Integer> sizes = new HashMap<>();
    entries.forEach(e -> sizes.merge(e.region(), 1, Integer::sum));
    return sizes.values().stream().anyMatch(size -> size > DirectUpdateChannel.MOST_ENTRIES);
  }

  private void pulse(FleetMessage.ControlPulse pulse) {
    Instant now = clock.instant();
    aggregators.pulse(pulse.from(), pulse.region(), now);
    if (!reachedControl) {
      reachedControl = true;
      LOG.log(System.Logger.Level.INFO, "control.reached", "control", pulse.from());
    }
    contacts.pulse(pulse, now);
    if (pulse.inMajority() || controls.isEmpty()) {
      controls = pulse.controls();
      contacts.retain(controls);
    }
    if (pulse.inMajority() && pulse.revision() <= routing.revision()) {
      lease.proved(pulse.reportId());
    }
    boolean mayAsk = requestedAt.plus(REQUEST_PAUSE).isBefore(now);
    if (pulse.revision() > routing.revision() && mayAsk) {
      requestedAt = now;
      transport.send(pulse.from(), new FleetMessage.StateRequest(self.peerAddress()));
    }
    if (pulse.settled() && pulse.inMajority()) {
      rosterKnown = true;
    }
    quarantine.compare(pulse);
  }

  private void stateOffered(FleetMessage.StateOffer offer) {
    if (offer.revision() <= routing.revision()) {
      return;
    }
    try {
      RoutingView before = routing;
      boolean sameDocument = offer.version() == before.table().version();
      routing =
          new RoutingView(
              offer.revision(),
              sameDocument || offer.version() == 0
                  ? before.table()
                  : parser.parse(offer.document()),
              offer.evacuatedDomains());
      requestedAt = Instant.EPOCH;
      quotas.configure(routing.table().organisations(), clock.instant());
      returned(before.evacuatedDomains());
      LOG.log(
          System.Logger.Level.INFO,
          "routing.in_force",
          "revision",
          offer.revision(),
          "version",
          offer.version(),
          "evacuated",
          offer.evacuatedDomains());
    } catch (InvalidRouteTableException e) {
      LOG.log(System.Logger.Level.ERROR, "routing.unreadable", e);
    }
  }

  /** Marks the endpoints of failure domains that are no longer evacuated as cold, since they may have become cold during the evacuation. */
  private void returned(Set<String> evacuatedBefore) {
    Set<String> back = new HashSet<>(evacuatedBefore);
    back.removeAll(routing.evacuatedDomains());
    Instant now = clock.instant();
    for (EndpointTracker tracker : endpoints.trackers()) {
      if (back.contains(tracker.record().failureDomain())) {
        Duration warmup =
            routing
                .table()
                .service(tracker.record().service())
                .map(ServiceSpec::warmup)
                .orElse(Duration.ZERO);
        if (!warmup.isZero()) {
          tracker.extendColdUntil(now.plus(warmup).plus(RETURN_SLACK));
        }
      }
    }
  }

  private void rosterUpdated(FleetMessage.RosterUpdate update) {
    endpoints.update(update, clock.instant());
    rosterKnown |= update.complete();
  }

  private void entriesChanged(FleetMessage.EntryList list) {
    if (entriesDigest(list.entries()) != entriesDigest(entries)) {
      entries = List.copyOf(list.entries());
      regionEntryNames = regionEntryNames(self, entries);
      largeFleet = isLarge(entries);
      LOG.log(
          System.Logger.Level.INFO,
          "entries.changed",
          "entries",
          entries.stream().map(EntryInfo::name).toList(),
          "from",
          list.from());
      tellRegions();
    }
  }

  /** Reports immediately when this entry has become ready, so that callers are directed to it again. */
  private void reportReady() {
    if (!toldReady && ready()) {
      toldReady = true;
      report();
    }
  }

  /** Records that a request was sent to an endpoint of this region. */
  public void requestSent(EndpointTracker tracker, long uncachedTokens) {
    loads.begun(tracker, uncachedTokens);
  }

  /**
   * Records the rate limit that a response advertises for its endpoint; a change is reported to the other entries of the region immediately.
   *
   * @param perSecond requests per second, empty if the response advertises no limit
   * @param sentAt when the request was sent
   * @param status the response status, for the log
   */
  public void rateLimitAdvertised(
      EndpointTracker tracker, OptionalDouble perSecond, Instant sentAt, int status) {
    if (tracker.rateLimit().updateFromResponse(perSecond, sentAt, clock.instant())) {
      RosterLog.rateLimitChanged(tracker.record().id(), perSecond, status);
      loads.rateStated(tracker);
    }
  }

  /** Records that an endpoint announces in a response that it is draining, which may arrive before the update from the control instances. */
  public void drainAdvertised(EndpointTracker tracker) {
    if (tracker.conditions().markDraining()) {
      RosterLog.changed(tracker.record().withState(EndpointState.DRAINING), "endpoint response");
    }
  }

  /** Records an endpoint's request to receive nothing from this entry for some time. */
  public void pauseRequested(EndpointTracker tracker, Duration pause) {
    Instant now = clock.instant();
    boolean inPause = !tracker.conditions().remainingPause(now).isZero();
    tracker.conditions().pause(pause, now);
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.pause_stated",
        "endpoint",
        tracker.record().id(),
        "millis",
        pause.toMillis(),
        "inPause",
        inPause);
  }

  /** Records that an endpoint has prefilled a prompt, and reports the shared prefix to the other entries. */
  public void prefixRead(EndpointTracker tracker, PlacementRequest request) {
    prefixes.read(tracker, request);
  }

  private void tellRegions() {
    if (ready()) {
      loads.tellRegions(regionEntryNames, routing.evacuatedDomains());
    }
  }

  @Override
  public void close() {
    transport.close();
  }
}
