package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.lacewingcroft.limit.EventLoopLoad;
import org.lacewingcroft.limit.FairShares;
import org.lacewingcroft.limit.FleetQuotas;
import org.lacewingcroft.misc.ClockReadings;
import org.lacewingcroft.peer.PeerTraffic;
import org.lacewingcroft.placement.ConnectionShare;
import org.lacewingcroft.placement.EndpointRoom;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.ExtraSendBudget;
import org.lacewingcroft.placement.Placement;
import org.lacewingcroft.placement.PlacementMechanism;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.placement.Placer;
import org.lacewingcroft.placement.RegionLoads;
import org.lacewingcroft.placement.TrackedEndpoints;
import org.lacewingcroft.request.RequestFingerprints;
import org.lacewingcroft.route.InvalidRouteTableException;
import org.lacewingcroft.route.RouteDocumentParser;
import org.lacewingcroft.route.ServiceSpec;

/**
 * An entry of a fleet with the state that it has received: the routing state, the endpoints with
 * their load, the other entries and the control instances. It reports to every known control
 * instance, applies their updates, and continues with its current state while none is reachable.
 *
 * <p>An entry follows the control instances of its own region, or all while none of these is
 * connected to a majority: in a deployment with a large region, it sends every report to these
 * control instances and only every third report to the others. If a revocation delay is configured,
 * the state lease limits for how long callers' API keys are accepted without a confirmation from a
 * control instance in the majority that the routing state is current, because a disconnected entry
 * receives no key revocations.
 *
 * <p>All state is confined to the event loop thread.
 */
public final class EntryNode implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(EntryNode.class.getName());

  /** Interval at which an entry reports to the control instances. */
  private static final long REPORT_INTERVAL_MILLIS = 500;

  /**
   * Interval at which this entry determines which services it does not reach and checks its event
   * loop.
   */
  private static final long REACHABILITY_CHECK_INTERVAL_MILLIS =
      EventLoopLoad.CHECK_INTERVAL.toMillis();

  private static final int TICKS_PER_STANDBY_REACHABILITY_CHECK = 10;

  /** Minimum interval between two log lines about the endpoints' reported load. */
  private static final long ROOM_LOG_INTERVAL_MILLIS = 5_000;

  /** Interval between two log lines about an organisation that is at its quota. */
  private static final long QUOTA_LOG_INTERVAL_MILLIS = 2_000;

  /** Maximum interval between two probes of an endpoint that does not respond. */
  private static final long MAX_PROBE_INTERVAL_MILLIS = 1_500;

  /** Limits the probes of one endpoint by all entries of a region to 20 a second. */
  private static final long MILLIS_PER_PROBE_OF_REGION = 50;

  /**
   * Each report with a number divisible by this goes to all control instances, the others only to
   * those that the entry follows.
   */
  private static final int REPORTS_PER_BROADCAST = 3;

  /**
   * Time without a reply from any control instance after which the entry also reports to the seed
   * peers.
   */
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

  /** Minimum interval between two requests for the routing state. */
  private static final Duration STATE_REQUEST_INTERVAL = Duration.ofMillis(400);

  /**
   * Added to a service's warm-up when an evacuation ends, to cover the delay of the routing update.
   */
  private static final Duration EVACUATION_END_MARGIN = Duration.ofSeconds(1);

  /** Share of a cold endpoint's rate bound that the entries use together. */
  private static final double COLD_RATE_SHARE = 0.5;

  private final FleetSettings settings;
  private final EntryInfo self;
  private final InstantSource clock;
  private final Vertx vertx;
  private final FleetTransport transport;
  private final PressureReporter pressure;
  private final RouteDocumentParser parser;
  private final TrackedEndpoints endpoints = new TrackedEndpoints(new EndpointListener());
  private final RegionLoads regionLoads = new RegionLoads();
  private final AggregatorSelector aggregatorSelector;
  private final UpdateChannel directChannel;
  private final UpdateChannel aggregatedChannel;
  private final LoadExchange loads;
  private final PrefixExchange prefixes;
  private final ExtraSendBudget extraSends;
  private final EntryMembership membership;
  private final KnownEntries entries;
  private final ControlInstanceTracker controlTracker;
  private final RequestQuarantine quarantine;
  private final Instant startedAt;
  private final StateLease lease;
  private final FleetQuotas quotas;
  private final QuotaLog quotaLog;
  private final EventLoopMonitor eventLoop;
  private final CapacitySharing sharing;
  private final InstantSource wallClock = InstantSource.system();
  private volatile List<String> seeds;
  private List<String> controls = List.of();
  private EndpointConnections connections = new NoConnections();
  private Set<String> unreachableServices = Set.of();
  private boolean hasLargeRegion;
  private volatile RoutingView routing = RoutingView.NONE;
  private Instant stateRequestedAt = Instant.EPOCH;
  private boolean rosterComplete;
  private boolean controlReached;
  private Optional<String> currentAggregator = Optional.empty();
  private long reportCount;
  private long reachabilityTicks;
  private boolean shuttingDown;
  private boolean admissionEnded;
  private Map<EndpointRoom, Integer> loggedRoom = Map.of();
  private boolean readyReported;
  private boolean readinessHeld;

  /** This entry's connections to endpoints. */
  public interface EndpointConnections {
    /** Probes an endpoint, to learn whether it has started again and how long it stays cold. */
    void probe(EndpointTracker endpoint);

    /** Returns whether a connection to an address is open. */
    boolean isConnectedTo(String address);
  }

  /** Stands for no connections, until {@link #useConnections} is called. */
  private static final class NoConnections implements EndpointConnections {
    @Override
    public void probe(EndpointTracker endpoint) {}

    @Override
    public boolean isConnectedTo(String address) {
      return false;
    }
  }

  /** Logs endpoint changes and forwards crashes and recoveries to the quarantine. */
  private final class EndpointListener implements TrackedEndpoints.Listener {
    @Override
    public void changed(EndpointRecord record, String cause) {
      RosterLog.logStateChange(record, cause);
    }

    @Override
    public void incarnationLost(EndpointTracker endpoint) {
      quarantine.endpointCrashed(endpoint.record(), endpoint.lastByteAt());
    }

    @Override
    public void incarnationReturned(EndpointRecord record) {
      quarantine.endpointRecovered(record);
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
    this.eventLoop = new EventLoopMonitor(context, clock);
    this.seeds = settings.seedPeers();
    this.transport = new FleetTransport(context, settings);
    this.pressure = new PressureReporter(settings, transport, clock);
    this.entries = new KnownEntries(self, pressure.state());
    this.quotas = new FleetQuotas(settings.region(), () -> ThreadLocalRandom.current().nextLong());
    this.quotaLog = new QuotaLog(quotas, clock);
    if (settings.seedPeers().isEmpty()) {
      quotas.setEntries(Map.of(settings.region(), 1), true, startedAt);
    }
    this.sharing = new CapacitySharing(settings.region(), clock, this::sharingPeers);
    this.controlTracker = new ControlInstanceTracker(settings.region());
    this.aggregatorSelector = new AggregatorSelector(settings.region());
    this.directChannel = new DirectUpdateChannel(settings, transport, entries::all);
    this.aggregatedChannel =
        new AggregatedUpdateChannel(
            settings, transport, aggregatorSelector, clock, pressure::isStandby);
    this.loads =
        new LoadExchange(
            vertx,
            settings,
            self,
            clock,
            endpoints::trackers,
            endpoints::tracker,
            this::updateChannel,
            pressure::isStandby,
            sharing::drainUnreportedUsage,
            interval -> quotas.reportIfDue(interval, clock.instant()));
    this.prefixes =
        new PrefixExchange(
            settings,
            listing,
            clock,
            endpoints::trackers,
            endpoints::tracker,
            this::updateChannel,
            service -> this.routing.table().engine(service));
    this.quarantine =
        new RequestQuarantine(
            vertx,
            self.name(),
            settings.peerAddress(),
            transport,
            clock,
            this::followedControls,
            entries::names);
    FleetBounds bounds = settings.bounds();
    this.lease = new StateLease(bounds.stateLease());
    this.membership =
        new EntryMembership(self.name(), bounds.extraSendWindow(), bounds.shutdownGrace());
    this.extraSends =
        new ExtraSendBudget(
            bounds.extraSendRatio(), bounds.extraSendSlack(), bounds.extraSendWindow());
  }

  /** Starts listening to peers and reporting. */
  public Future<Void> start() {
    vertx.setPeriodic(REPORT_INTERVAL_MILLIS, id -> report());
    vertx.setPeriodic(REACHABILITY_CHECK_INTERVAL_MILLIS, id -> runPeriodicChecks());
    vertx.setPeriodic(ROOM_LOG_INTERVAL_MILLIS, id -> logRoom());
    vertx.setPeriodic(QUOTA_LOG_INTERVAL_MILLIS, id -> quotaLog.logUsage());
    loads.start();
    return transport
        .listen(this::receive, (from, message) -> {})
        .onSuccess(port -> report())
        .mapEmpty();
  }

  private void runPeriodicChecks() {
    eventLoop.check();
    checkReachabilityIfDue();
  }

  /** Replaces the seed peers after the settings have changed. */
  public void updateSeeds(List<String> peers) {
    seeds = List.copyOf(peers);
  }

  /** Stops accepting requests and reports it to the control instances immediately. */
  public void beginShutdown() {
    shuttingDown = true;
    report();
  }

  /** Ends the admission of new requests; those in flight are completed. */
  public void endAdmission() {
    admissionEnded = true;
  }

  /** Returns whether new requests are admitted. */
  public boolean admitsRequests() {
    return !admissionEnded;
  }

  /** Returns whether callers may be directed to this entry. */
  public boolean ready() {
    return !shuttingDown && !readinessHeld && hasState();
  }

  /** Returns whether this entry has received the routing state and endpoints. */
  public boolean hasState() {
    return routing.revision() > 0 && (rosterComplete || !endpoints.trackers().isEmpty());
  }

  /** Keeps this entry from being ready until {@link #releaseReadiness}. */
  public void holdReadiness() {
    readinessHeld = true;
  }

  /** Ends {@link #holdReadiness}; without effect if readiness is not held. */
  public void releaseReadiness() {
    readinessHeld = false;
    reportOnceReady();
  }

  /**
   * Returns whether this entry has just started and may not have received all endpoints yet, so
   * that a request for which no endpoint is recorded should wait briefly.
   */
  public boolean discoveringEndpoints() {
    return startedAt.plus(settings.endpointHeartbeat().multipliedBy(3)).isAfter(clock.instant());
  }

  /** Returns whether this entry is shutting down. */
  public boolean isShuttingDown() {
    return shuttingDown;
  }

  /** Returns the active routing state. */
  public RoutingView routing() {
    return routing;
  }

  /**
   * Consumes one extra send from the budget of a service if there is one left. Extra sends are this
   * entry's sends of a request after its first, except those that follow a send that reached no
   * endpoint: the connection could not be established, the request was withdrawn before it was
   * sent, or another entry refused it without having sent it to an endpoint.
   */
  public ExtraSendBudget.Decision tryTakeExtraSend(String service) {
    return extraSends.tryTake(service, membership.size(), clock.instant());
  }

  /** Records the first send of a request, which adds to the budget of extra sends. */
  public void recordFirstSend(String service) {
    extraSends.recordFirstSend(service, clock.instant());
  }

  /** Sets this entry's connections to endpoints. */
  public void useConnections(EndpointConnections endpointConnections) {
    connections = endpointConnections;
  }

  /** Sets the source of this entry's pressure, which is reported to the control instances. */
  public void usePressure(Supplier<EntryPressure> source) {
    pressure.usePressure(source);
  }

  /** Records a request of a caller or of another entry. */
  public void requestArrived() {
    pressure.state().onRequest(clock.instant());
  }

  /** Returns whether callers are directed to other entries and this one serves no requests. */
  public boolean isStandby() {
    return pressure.isStandby();
  }

  /** Returns the known entries, including this one while it accepts requests. */
  public List<EntryInfo> entries() {
    return entries.all();
  }

  /** Returns the tracked endpoints, for metrics. */
  public Collection<EndpointTracker> endpoints() {
    return endpoints.trackers();
  }

  /** Returns the traffic and the processing time of peer messages, for metrics. */
  public PeerTraffic traffic() {
    return transport.traffic();
  }

  /** Returns the quarantine of request contents that are no longer sent to endpoints. */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the monitor of this entry's event loop. */
  public EventLoopMonitor eventLoop() {
    return eventLoop;
  }

  /** Returns the quotas of organisations. */
  public FleetQuotas quotas() {
    return quotas;
  }

  /** Returns the sharing of scarce capacity between organisations. */
  public CapacitySharing sharing() {
    return sharing;
  }

  private FairShares.Peers sharingPeers() {
    return new FairShares.Peers(entries.regionNames().size(), controlReached);
  }

  /** Returns the loads of the other regions. */
  public RegionLoads regionLoads() {
    return regionLoads;
  }

  /**
   * Selects an endpoint or a region for a request.
   *
   * @param request the request
   * @param relayed whether another entry relayed it; it must then run at an endpoint that this
   *     entry reaches
   * @param allowedRegions regions that may run it; empty for any
   * @param excludedRegions regions not to be tried again
   */
  public Placement place(
      PlacementRequest request,
      boolean relayed,
      Set<String> allowedRegions,
      Set<String> excludedRegions) {
    Optional<ServiceSpec> spec = routing.table().service(request.service());
    Optional<ServiceSpec.Engine> engine = spec.flatMap(ServiceSpec::engine);
    Instant now = clock.instant();
    Placer placer = new Placer(coldSenders(spec), ThreadLocalRandom.current());
    List<EndpointTracker> all = endpointsOf(request.service());
    List<EndpointTracker> inRegion =
        all.stream().filter(t -> settings.inOwnRegion(t.record().failureDomain())).toList();
    verifyIfDue(inRegion, now);
    return placer.place(
        request,
        new Placer.Context(
            inRegion,
            self.name(),
            membership.isDiscoveryComplete(now) ? entries.regionNames() : List.of(),
            maxInFlightPerEndpoint(spec, entries.regionNames().size()),
            relayed ? Optional.empty() : Optional.of(regionLoads),
            allowedRegions,
            excludedRegions,
            relayed,
            () -> !relayed && hasRelayTargetInOwnRegion(request, now),
            settings.region(),
            engine.isPresent() ? prefixSources(all, allowedRegions) : List.of(),
            engine,
            settings.disabledMechanisms(),
            routing.table().eventGapObjective(request.service())),
        now);
  }

  /**
   * Probes the endpoints of this region that may have started again. It is done when a request
   * needs one, since a health check takes a slot of the endpoint and each entry needs its own.
   */
  private void verifyIfDue(List<EndpointTracker> candidates, Instant now) {
    candidates.stream().filter(t -> t.isVerificationDue(now)).forEach(connections::probe);
  }

  private boolean hasRelayTargetInOwnRegion(PlacementRequest request, Instant now) {
    Set<String> excluded = request.excludedEndpoints();
    return !entries.relayTargets(settings.region(), request.service(), excluded, now).isEmpty();
  }

  /**
   * Returns the endpoints from which KV cache may be fetched: healthy ones in regions where the
   * request's data may be stored.
   */
  private List<EndpointTracker> prefixSources(
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

  private static int maxInFlightPerEndpoint(Optional<ServiceSpec> spec, int regionEntryCount) {
    int connections = spec.map(ServiceSpec::maxConnections).orElse(1);
    return ConnectionShare.maxInFlightPerEndpoint(connections, regionEntryCount);
  }

  /**
   * Returns how many entries of a region may send to one cold endpoint of a service: one for each
   * request per second in the entries' share of its rate bound, and at least one.
   */
  private int coldSenders(Optional<ServiceSpec> spec) {
    double rate = spec.map(ServiceSpec::coldRequestsPerSecond).orElse(0.0);
    double bound = rate * settings.bounds().warmupOvershoot() + settings.bounds().warmupSlack();
    return Math.max(1, (int) (bound * COLD_RATE_SHARE));
  }

  /** Returns the entries of a region. */
  public List<EntryInfo> entriesOf(String region) {
    return entries.ofRegion(region);
  }

  /**
   * Returns the entries of a region to which a request for a service may be relayed.
   *
   * @param excluded the names of entries that must not be used
   */
  public List<EntryInfo> relayTargets(String region, String service, Set<String> excluded) {
    return entries.relayTargets(region, service, excluded, clock.instant());
  }

  /** Returns the entries of other regions to which this one keeps connections open. */
  public List<EntryInfo> relayPartners() {
    if (isStandby()) {
      return List.of();
    }
    Instant now = clock.instant();
    return settings.regionByDomain().values().stream()
        .distinct()
        .filter(r -> !r.equals(settings.region()))
        .flatMap(r -> entries.relayPartners(r, now).stream())
        .toList();
  }

  /**
   * Records that an endpoint closed the connection while it was running this request. The endpoint
   * may be unreachable for this entry, or may have crashed because of the request.
   */
  public void connectionLost(EndpointTracker endpoint, RequestFingerprints request) {
    endpoint.recordLostConnection();
    List<EndpointTracker> others =
        ownRegionEndpoints().filter(t -> t != endpoint && t.isAnnounced()).toList();
    quarantine.onConnectionLost(endpoint, request, others);
  }

  /**
   * Records that the last connection to an endpoint was lost, so that the endpoint may have started
   * again. Without a health path an orderly close is no reason to expect that: endpoints close idle
   * connections as a matter of course. The other entries of the region are notified.
   *
   * @param address the endpoint's address
   * @param reset whether a connection was reset
   */
  public void connectionsLost(String address, boolean reset) {
    Instant now = clock.instant();
    List<EndpointTracker> affected =
        ownRegionEndpoints()
            .filter(t -> t.record().address().equals(address))
            .filter(t -> reset || serviceOf(t).flatMap(ServiceSpec::healthPath).isPresent())
            .toList();
    affected.forEach(t -> t.recordConnectionsLost(reset, now));
    verifyIfDue(affected, now);
    affected.stream()
        .filter(EndpointTracker::isUnverified)
        .forEach(
            t ->
                transport.sendAll(
                    followedControls(),
                    new FleetMessage.ConnectionsLost(
                        self.name(), settings.region(), t.record().id(), address)));
  }

  /**
   * Learns that another entry lost its connections to an endpoint. An open connection of this entry
   * shows that the endpoint has not started again; without one, a health check has to show it
   * before the next request.
   */
  private void onConnectionsLost(FleetMessage.ConnectionsLost lost) {
    if (!lost.entry().equals(self.name()) && !connections.isConnectedTo(lost.address())) {
      ownRegionEndpoints()
          .filter(t -> t.record().id().equals(lost.endpoint()))
          .filter(t -> t.record().address().equals(lost.address()))
          .forEach(t -> t.recordConnectionsLost(/* reset= */ true, clock.instant()));
    }
  }

  private Optional<ServiceSpec> serviceOf(EndpointTracker endpoint) {
    return routing.table().service(endpoint.record().service());
  }

  /** Returns how long an endpoint is cold after its start. */
  public Duration warmUpOf(EndpointTracker endpoint) {
    return serviceOf(endpoint).map(ServiceSpec::warmup).orElse(Duration.ZERO);
  }

  /** Returns this region's endpoints that are to be probed because they do not respond. */
  public List<EndpointTracker> endpointsToProbe() {
    Instant now = clock.instant();
    return ownRegionEndpoints().filter(t -> t.isProbeDue(now)).toList();
  }

  /** Returns how many endpoints of this region report to have how much room. */
  public Map<EndpointRoom, Integer> endpointsByRoom() {
    Instant now = clock.instant();
    Map<EndpointRoom, Integer> counts = new EnumMap<>(EndpointRoom.class);
    for (EndpointRoom room : EndpointRoom.values()) {
      counts.put(room, 0);
    }
    ownRegionEndpoints()
        .filter(EndpointTracker::isAnnounced)
        .forEach(t -> counts.merge(t.room(now), 1, Integer::sum));
    return counts;
  }

  /** Logs the endpoints by room after a change, if any of them has ever reported its load. */
  private void logRoom() {
    Map<EndpointRoom, Integer> counts = endpointsByRoom();
    boolean reported =
        counts.entrySet().stream()
            .anyMatch(e -> e.getKey() != EndpointRoom.UNKNOWN && e.getValue() > 0);
    if (!counts.equals(loggedRoom) && (reported || !loggedRoom.isEmpty())) {
      loggedRoom = counts;
      LOG.log(
          System.Logger.Level.INFO,
          "endpoints.room",
          "freeSlot",
          counts.get(EndpointRoom.FREE_SLOT),
          "queue",
          counts.get(EndpointRoom.QUEUE),
          "full",
          counts.get(EndpointRoom.FULL),
          "unknown",
          counts.get(EndpointRoom.UNKNOWN));
    }
  }

  private Stream<EndpointTracker> ownRegionEndpoints() {
    return endpoints.trackers().stream()
        .filter(t -> settings.inOwnRegion(t.record().failureDomain()));
  }

  /**
   * Returns the maximum interval at which this entry probes an endpoint that does not respond. It
   * grows with the number of entries that probe the same endpoint.
   */
  public Duration maxProbeInterval() {
    long millis =
        Math.max(
            MAX_PROBE_INTERVAL_MILLIS, MILLIS_PER_PROBE_OF_REGION * entries.regionNames().size());
    return Duration.ofMillis(millis);
  }

  /** On standby, this entry is no relay target, so fewer checks are needed. */
  private void checkReachabilityIfDue() {
    reachabilityTicks++;
    if (!isStandby() || reachabilityTicks % TICKS_PER_STANDBY_REACHABILITY_CHECK == 0) {
      checkReachability();
    }
  }

  /**
   * Determines which services of this region this entry does not reach, and reports a change
   * immediately, so that other entries neither relay requests for them to it nor expect it to.
   */
  private void checkReachability() {
    Instant now = clock.instant();
    Map<String, Boolean> responding = new HashMap<>();
    ownRegionEndpoints()
        .filter(EndpointTracker::isAnnounced)
        .filter(t -> !routing.evacuatedDomains().contains(t.record().failureDomain()))
        .forEach(
            t -> responding.merge(t.record().service(), t.isResponding(now), Boolean::logicalOr));
    responding.values().removeIf(responds -> responds);
    if (!unreachableServices.equals(responding.keySet())) {
      unreachableServices = Set.copyOf(responding.keySet());
      LOG.log(System.Logger.Level.INFO, "services.unreachable", "services", unreachableServices);
      reportReach();
    }
  }

  private void reportReach() {
    transport.sendAll(
        knownControls(clock.instant()),
        new FleetMessage.EntryReach(self.name(), Map.of(self.name(), unreachableServices)));
  }

  /** Returns this entry's name. */
  public String name() {
    return self.name();
  }

  /** Records a request relayed to another entry, which adds to the load of another region. */
  public void requestRelayed(String region, PlacementRequest request) {
    if (!region.equals(settings.region())) {
      Instant now = clock.instant();
      int senders = pressure.state().activeCount(entries.regionNames(), now);
      regionLoads.recordRelayed(region, request, senders, now);
    }
  }

  /**
   * Records that connecting to another entry failed. After this has happened for all relay partners
   * in its region, the region is unreachable and no request waits for another connect timeout.
   */
  public void entryUnreachable(EntryInfo entry) {
    Instant now = clock.instant();
    if (entries.recordConnectFailure(entry, now)) {
      regionLoads.recordUnreachable(entry.region(), now);
      LOG.log(System.Logger.Level.INFO, "region.unreachable", "region", entry.region());
    }
  }

  private void report() {
    Instant now = clock.instant();
    boolean controlUnresponsive = controlTracker.noReplyWithin(CONTROL_TIMEOUT, now);
    if (controlUnresponsive && controlReached) {
      controlReached = false;
      LOG.log(System.Logger.Level.WARNING, "control.lost", "known", controls);
    }
    Set<String> targets = knownControls(now);
    Set<String> followed =
        hasLargeRegion && !controlUnresponsive ? controlTracker.followed(controls, now) : targets;
    long reportId = lease.startReport(clocks());
    transport.sendAll(followed, entryReport(true, reportId));
    reportCount++;
    boolean broadcast = reportCount % REPORTS_PER_BROADCAST == 0 || shuttingDown;
    if (broadcast) {
      Set<String> others = new TreeSet<>(targets);
      others.removeAll(followed);
      transport.sendAll(others, entryReport(false, reportId));
    }
    pressure.report(followed, targets, broadcast, entries.regionNames().size());
    if (!unreachableServices.isEmpty()) {
      reportReach();
    }
    quarantine.resendUnconfirmed();
    quotaLog.logChanges();
    reportRegionLoad();
  }

  /** Returns the known control instances, and also the seed peers while none of them replies. */
  private Set<String> knownControls(Instant now) {
    Set<String> known = new TreeSet<>(controls);
    if (controls.isEmpty() || controlTracker.noReplyWithin(CONTROL_TIMEOUT, now)) {
      known.addAll(seeds);
    }
    return known;
  }

  /**
   * Returns the control instances of this region, which forward messages to the others; all of them
   * while none of this region is connected to a majority.
   */
  private Set<String> followedControls() {
    Instant now = clock.instant();
    return controlTracker.followed(knownControls(now), now);
  }

  private ClockReadings clocks() {
    return new ClockReadings(clock.instant(), wallClock.instant());
  }

  /**
   * Returns whether callers' API keys may be accepted. An entry that is disconnected from the
   * control instances does not receive key revocations.
   */
  public boolean canVerifyApiKeys() {
    return settings.bounds().revocationDelay().isEmpty() || lease.isValid(clocks());
  }

  private FleetMessage entryReport(boolean following, long reportId) {
    return new FleetMessage.EntryReport(
        self,
        ready(),
        following,
        routing.revision(),
        endpoints.digest(),
        entries.digest(),
        quarantine.digest(),
        reportId);
  }

  /** Applies a message of another instance. */
  void receive(FleetMessage message) {
    eventLoop.activity();
    if (message instanceof FleetMessage.ControlPulse pulse) {
      onControlPulse(pulse);
    } else if (message instanceof FleetMessage.RosterUpdate update) {
      onRosterUpdate(update);
    } else if (message instanceof FleetMessage.EntryList list) {
      onEntryList(list);
    } else if (message instanceof FleetMessage.ActiveEntries active) {
      pressure.onActiveEntries(active);
    } else if (message instanceof FleetMessage.EntryReach reach) {
      entries.updateReach(reach, clock.instant());
    } else if (message instanceof FleetMessage.ConnectionsLost lost) {
      onConnectionsLost(lost);
    } else if (message instanceof FleetMessage.StateOffer offer) {
      onStateOffer(offer);
    } else if (message instanceof FleetMessage.LoadReport load) {
      loads.onLoadReport(load);
    } else if (message instanceof FleetMessage.EndpointReports reports) {
      loads.onEndpointReports(reports);
    } else if (message instanceof FleetMessage.PrefixRead read) {
      prefixes.onPrefixRead(read);
    } else if (message instanceof FleetMessage.RegionLoad load) {
      onRegionLoad(load);
    } else if (message instanceof FleetMessage.EntryNews news) {
      quotas.apply(news.news().quotaUsage(), clock.instant());
      sharing.applyPeerUsage(news.news().serviceUsage(), clock.instant());
    } else if (message instanceof FleetMessage.NewsDigest batch) {
      onNewsDigest(batch);
    } else if (message instanceof FleetMessage.SuspicionUpdate update) {
      quarantine.onSuspicionUpdate(update);
    } else if (message instanceof FleetMessage.SuspicionAck ack) {
      quarantine.onSuspicionAck(ack);
    }
    reportOnceReady();
    prefixes.requestListings(entries.regionNames());
  }

  private void onRegionLoad(FleetMessage.RegionLoad load) {
    Instant now = clock.instant();
    load.services().forEach(s -> regionLoads.update(load.region(), s, now));
  }

  private void onNewsDigest(FleetMessage.NewsDigest batch) {
    aggregatorSelector.onBatch(batch.from());
    batch.news().loads().forEach(loads::onLoadReport);
    batch.news().prefixes().forEach(prefixes::onPrefixRead);
    batch.news().regionLoads().forEach(this::onRegionLoad);
    quotas.apply(batch.news().quotaUsage(), clock.instant());
    sharing.applyFleetUsage(batch.news().serviceUsage(), clock.instant());
  }

  /**
   * Returns the channel for updates. If any region is large, the entries exchange updates through
   * an aggregator while one is reachable.
   */
  private UpdateChannel updateChannel() {
    Optional<String> aggregator =
        hasLargeRegion ? aggregatorSelector.select(clock.instant()) : Optional.empty();
    if (!aggregator.equals(currentAggregator)) {
      currentAggregator = aggregator;
      quotas.restartCounter(clock.instant());
      LOG.log(
          System.Logger.Level.INFO,
          "news.channel_changed",
          "aggregator",
          aggregator.orElse("none, entries exchange updates directly"));
    }
    return aggregator.isPresent() ? aggregatedChannel : directChannel;
  }

  private void onControlPulse(FleetMessage.ControlPulse pulse) {
    Instant now = clock.instant();
    aggregatorSelector.onControlPulse(pulse.from(), pulse.region(), now);
    if (!controlReached) {
      controlReached = true;
      LOG.log(System.Logger.Level.INFO, "control.reached", "control", pulse.from());
    }
    controlTracker.onControlPulse(pulse, now);
    if (pulse.inMajority() || controls.isEmpty()) {
      controls = pulse.controls();
      controlTracker.retain(controls);
    }
    membership.onContact(now);
    if (pulse.inMajority()) {
      membership.onMajorityContact(now);
    }
    updateQuotaEntries(now);
    if (pulse.inMajority() && pulse.revision() <= routing.revision()) {
      lease.confirm(pulse.reportId());
    }
    boolean mayRequest = stateRequestedAt.plus(STATE_REQUEST_INTERVAL).isBefore(now);
    if (pulse.revision() > routing.revision() && mayRequest) {
      stateRequestedAt = now;
      transport.send(pulse.from(), new FleetMessage.StateRequest(self.peerAddress()));
    }
    if (pulse.discoveryComplete() && pulse.inMajority()) {
      rosterComplete = true;
    }
    quarantine.compare(pulse);
  }

  private void updateQuotaEntries(Instant now) {
    quotas.setEntries(membership.countByRegion(), membership.isDiscoveryComplete(now), now);
  }

  private void onStateOffer(FleetMessage.StateOffer offer) {
    if (offer.revision() <= routing.revision()) {
      return;
    }
    try {
      RoutingView previous = routing;
      boolean sameTable = offer.version() == previous.table().version() || offer.version() == 0;
      routing =
          new RoutingView(
              offer.revision(),
              sameTable ? previous.table() : parser.parse(offer.document()),
              sameTable ? previous.tableSince() : clock.instant(),
              offer.evacuatedDomains());
      stateRequestedAt = Instant.EPOCH;
      quotas.configure(routing.table().organisations(), clock.instant());
      if (!settings.disabledMechanisms().contains(PlacementMechanism.FAIR_SHARES)) {
        sharing.configure(routing.table().organisations());
      }
      markReadmittedEndpointsCold(previous.evacuatedDomains());
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

  /**
   * Marks the endpoints of failure domains that are no longer evacuated as cold, since they may
   * have become cold during the evacuation.
   */
  private void markReadmittedEndpointsCold(Set<String> previouslyEvacuated) {
    Set<String> noLongerEvacuated = new HashSet<>(previouslyEvacuated);
    noLongerEvacuated.removeAll(routing.evacuatedDomains());
    Instant now = clock.instant();
    for (EndpointTracker tracker : endpoints.trackers()) {
      if (noLongerEvacuated.contains(tracker.record().failureDomain())) {
        Duration warmup = warmUpOf(tracker);
        if (!warmup.isZero()) {
          tracker.extendColdUntil(now.plus(warmup).plus(EVACUATION_END_MARGIN));
        }
      }
    }
  }

  private void onRosterUpdate(FleetMessage.RosterUpdate update) {
    endpoints.update(update, clock.instant());
    rosterComplete |= update.complete();
  }

  private void onEntryList(FleetMessage.EntryList list) {
    if (entries.update(list)) {
      membership.update(entries.all(), clock.instant());
      updateQuotaEntries(clock.instant());
      // All entries have about the same list and so use the same kind of channel.
      hasLargeRegion = entries.hasRegionLargerThan(DirectUpdateChannel.MAX_ENTRIES_PER_REGION);
      LOG.log(
          System.Logger.Level.INFO,
          "entries.changed",
          "entries",
          entries.names(),
          "from",
          list.from());
      reportRegionLoad();
    }
  }

  /**
   * Reports immediately when this entry has become ready, so that callers are directed to it again.
   */
  private void reportOnceReady() {
    if (!readyReported && ready()) {
      readyReported = true;
      report();
    }
  }

  /** Records that a request was sent to an endpoint of this region. */
  public void requestSent(EndpointTracker tracker, long uncachedTokens) {
    loads.requestSent(tracker, uncachedTokens);
  }

  /**
   * Records the rate limit advertised in a response of an endpoint; a change is reported to the
   * other entries of the region immediately.
   *
   * @param perSecond requests per second, empty if the response advertises no limit
   * @param sentAt when the request was sent
   * @param status the response status, for the log
   */
  public void rateLimitAdvertised(
      EndpointTracker tracker, OptionalDouble perSecond, Instant sentAt, int status) {
    if (tracker.rateLimit().updateFromResponse(perSecond, sentAt, clock.instant())) {
      RosterLog.logRateLimitChange(tracker.record().id(), perSecond, status);
      loads.reportRateLimit(tracker);
    }
  }

  /**
   * Records the draining advertised in a response of an endpoint, which may arrive before the
   * update from the control instances.
   */
  public void drainAdvertised(EndpointTracker tracker) {
    if (tracker.conditions().markDraining()) {
      RosterLog.logStateChange(
          tracker.record().withState(EndpointState.DRAINING), "endpoint response");
    }
  }

  /**
   * Records the pause advertised in a response of an endpoint, during which this entry sends it no
   * requests.
   */
  public void pauseAdvertised(EndpointTracker tracker, Duration pause) {
    Instant now = clock.instant();
    boolean alreadyPaused = !tracker.conditions().remainingPause(now).isZero();
    tracker.conditions().pause(pause, now);
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.pause_stated",
        "endpoint",
        tracker.record().id(),
        "millis",
        pause.toMillis(),
        "inPause",
        alreadyPaused);
  }

  /**
   * Records that an endpoint has prefilled a prompt, and reports the shared prefix to the other
   * entries.
   */
  public void recordPrefix(EndpointTracker tracker, PlacementRequest request) {
    prefixes.recordPrefix(tracker, request);
  }

  private void reportRegionLoad() {
    if (ready()) {
      Instant now = clock.instant();
      loads.reportRegionLoad(
          entries.regionNames(),
          pressure.state().activeFirst(entries.regionNamesByReach(now), now),
          routing.evacuatedDomains());
    }
  }

  @Override
  public void close() {
    transport.close();
  }
}
