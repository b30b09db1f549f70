package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.lacewingcroft.consensus.RoutingState;
import org.lacewingcroft.control.RoutingControl;
import org.lacewingcroft.control.StorageState;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.route.RouteDocumentParser;
import org.lacewingcroft.route.RouteTable;

/**
 * A control instance of a fleet: maintains the roster of endpoints from their announcements, tracks
 * the entries that accept requests, and holds the routing state in its {@link RoutingControl}.
 *
 * <p>Announcements are forwarded to the other control instances in small batches. Changes of the
 * roster are pushed to the entries immediately; the digest in each entry's report detects missed
 * pushes. An endpoint's draining or deregistration is acknowledged only after a majority of the
 * group has recorded it, so that the loss of any one instance does not lose it.
 *
 * <p>All state is confined to the event loop thread.
 */
public final class ControlNode implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ControlNode.class.getName());

  /** Interval at which announcements are forwarded. */
  private static final long FLUSH_INTERVAL_MILLIS = 100;

  /** Interval at which control instances exchange hello messages and check leases. */
  private static final long HELLO_INTERVAL_MILLIS = 800;

  /** Time without a report after which an entry is not listed to callers. */
  private static final Duration ENTRY_TIMEOUT = Duration.ofMillis(1_700);

  /**
   * Time without a report after which an entry that follows other control instances, and so reports
   * less often, is not listed to callers.
   */
  private static final Duration NON_FOLLOWING_ENTRY_TIMEOUT = Duration.ofSeconds(5);

  /** Time after which an entry's report of unreachable services is no longer used. */
  private static final Duration REACH_TTL = Duration.ofSeconds(2);

  /**
   * Time for which an entry must have been reporting without interruption before it receives a list
   * of entries; by then, after a start or a network partition, its neighbours have reported as
   * well. An earlier list would contain only a few of them, and each entry that receives it would
   * assume that it is one of the few that may send to a cold endpoint.
   */
  private static final Duration ENTRY_DISCOVERY_TIME = Duration.ofMillis(1_600);

  /**
   * Time without a hello message after which a control instance is not listed to others unless it
   * is a member of the group, and time without a report after which an entry is removed.
   */
  private static final Duration PEER_RETENTION = Duration.ofSeconds(10);

  /**
   * Length of an endpoint's lease, in announcement intervals: an endpoint is marked as lost after
   * it has missed this number of announcements.
   */
  private static final int LEASE_ANNOUNCEMENTS = 4;

  /** Time for which requests for the routing state are gathered. */
  private static final long STATE_OFFER_DELAY_MILLIS = 10;

  /** Minimum interval between two complete rosters sent to one entry. */
  private static final Duration COMPLETE_ROSTER_INTERVAL = Duration.ofMillis(900);

  /** Minimum interval between two messages about lost connections to the same endpoint. */
  private static final Duration MIN_LOSS_INTERVAL = Duration.ofMillis(200);

  private static final int MAX_REMEMBERED_LOSSES = 4_096;

  private final FleetSettings settings;
  private final InstantSource clock;
  private final Vertx vertx;
  private final Context context;
  private final GatewayMetrics metrics;
  private final RouteDocumentParser parser;
  private RouteTable routes = RouteTable.EMPTY;
  private final FleetTransport transport;
  private final RoutingControl control;
  private final OrderRelay orders;
  private final EndpointRoster roster = new EndpointRoster();
  private final Map<String, TrackedEntry> entries = new TreeMap<>();

  /** When a loss of connections was last passed on, by the endpoint's address. */
  private final Map<String, Instant> lossPassedOnAt =
      BoundedMap.evictingOldest(MAX_REMEMBERED_LOSSES);

  private final ControlPeers peers;
  private final Map<String, EndpointRecord> pendingAnnouncements = new TreeMap<>();
  private final DepartureReplicator departures;
  private final UpdateAggregator aggregator;
  private final ActiveEntryDirectory activeEntries;
  private final SuspicionExchange suspicions;
  private final Instant startedAt;
  private volatile List<String> seeds;
  private final Set<String> stateRequesters = new TreeSet<>();
  private boolean hadMajority;

  private static final class TrackedEntry {
    private EntryInfo info;
    private Set<String> unreachableServices = Set.of();
    private Instant reachReportedAt = Instant.EPOCH;
    private boolean ready;
    private boolean following;
    private Instant reportingSince;
    private Instant lastReportAt;
    private Instant completeRosterSentAt = Instant.EPOCH;

    private boolean isLive(Instant now) {
      Duration timeout = following ? ENTRY_TIMEOUT : NON_FOLLOWING_ENTRY_TIMEOUT;
      return lastReportAt.plus(timeout).isAfter(now);
    }

    /** Returns the services that the entry does not reach, as far as it has reported recently. */
    private Set<String> unreachableServices(Instant now) {
      boolean recent = isLive(now) && reachReportedAt.plus(REACH_TTL).isAfter(now);
      return recent ? unreachableServices : Set.of();
    }

    private void onReach(Set<String> services, Instant now) {
      unreachableServices = services;
      reachReportedAt = now;
    }

    private void onReport(FleetMessage.EntryReport report, Instant now) {
      if (lastReportAt == null || !isLive(now)) {
        reportingSince = now;
      }
      info = report.entry();
      ready = report.ready();
      following = report.following();
      lastReportAt = now;
    }
  }

  /**
   * Creates a control instance and opens its data folder. While the folder cannot be used, the
   * instance runs without its part in the control group: a full or faulty disk disables neither its
   * directory nor its roster.
   */
  public ControlNode(
      Context context,
      FleetSettings settings,
      RouteDocumentParser parser,
      InstantSource clock,
      GatewayMetrics metrics) {
    this.metrics = metrics;
    this.parser = parser;
    this.context = context;
    this.vertx = context.owner();
    this.settings = settings;
    this.clock = clock;
    this.startedAt = clock.instant();
    this.seeds = settings.seedPeers();
    this.peers = new ControlPeers(settings.peerAddress(), PEER_RETENTION);
    this.transport = new FleetTransport(context, settings);
    metrics.registerPeerTraffic(transport.traffic());
    this.departures = new DepartureReplicator(vertx, settings.peerAddress(), transport);
    this.activeEntries =
        new ActiveEntryDirectory(
            settings,
            transport,
            clock,
            metrics,
            this::readyEntries,
            (region, regionEntries) ->
                RegionConnections.maxInFlightPerEntry(
                    roster.records(clock.instant()), settings, region, regionEntries, routes()));
    this.aggregator =
        new UpdateAggregator(
            transport::sendAll,
            clock,
            settings.peerAddress(),
            this::entryPeersOfRegion,
            activeEntries::idleStandbyPeers,
            this::otherControls,
            () -> ThreadLocalRandom.current().nextLong());
    this.suspicions =
        new SuspicionExchange(
            vertx,
            settings.peerAddress(),
            transport,
            clock,
            this::otherControls,
            () -> entryPeers(e -> e.following),
            new SuspicionStore(settings.dataDir().orElseThrow(), InstantSource.system()));
    boolean foundingMember = settings.firstStart() && seeds.contains(settings.peerAddress());
    this.control =
        new RoutingControl(
            settings.peerAddress(),
            settings.dataDir().orElseThrow(),
            foundingMember ? Set.copyOf(seeds) : Set.of(),
            settings.toleratedFailures(),
            transport::send,
            state -> context.runOnContext(v -> publishState(state)));
    this.orders = new OrderRelay(context, settings.peerAddress(), control, transport, metrics);
  }

  /** Starts listening and sending hello messages. */
  public Future<Void> start() {
    vertx.setPeriodic(FLUSH_INTERVAL_MILLIS, id -> flushAnnouncements());
    vertx.setPeriodic(FLUSH_INTERVAL_MILLIS, id -> activeEntries.update());
    vertx.setPeriodic(HELLO_INTERVAL_MILLIS, id -> sendHello());
    vertx.setPeriodic(UpdateAggregator.TICK_INTERVAL.toMillis(), id -> aggregator.sendDue());
    // An entry may become ready by this instance's first reply, and then needs the quarantine.
    return suspicions
        .load()
        .compose(v -> listenToPeers())
        .onSuccess(port -> sendHello())
        .mapEmpty();
  }

  private Future<Integer> listenToPeers() {
    return transport.listen(this::receive, (from, message) -> control.receive(from, message));
  }

  /** Replaces the seed peers after the settings have changed. */
  public void updateSeeds(List<String> peers) {
    seeds = List.copyOf(peers);
  }

  /** Returns the relay for operator orders. */
  public OrderRelay orders() {
    return orders;
  }

  /** Returns the control group's view, for metrics. */
  public RoutingControl.View view() {
    return control.view();
  }

  /** Returns whether this instance can use its data folder. */
  public StorageState storage() {
    return control.storage();
  }

  /** Returns the number of recorded endpoints. */
  public int endpoints() {
    return roster.size();
  }

  /** Returns the number of quarantined request contents, for metrics. */
  public int quarantinedContents() {
    return suspicions.size();
  }

  /**
   * Applies an endpoint's announcement.
   *
   * @return whether it may be acknowledged; if not, the endpoint should try another instance
   */
  public Future<Boolean> announce(EndpointRecord record) {
    return applyAnnouncement(record)
        .onSuccess(
            acknowledged ->
                metrics.announcements.labelValues(Boolean.toString(acknowledged)).inc());
  }

  private Future<Boolean> applyAnnouncement(EndpointRecord record) {
    Optional<EndpointRecord> changed = applyToRoster(record, clock.instant());
    changed.ifPresent(c -> RosterLog.logStateChange(c, "announcement"));
    if (record.state() == EndpointState.READY) {
      pendingAnnouncements.put(record.id(), record);
      changed.ifPresent(c -> pushToFollowers(List.of(c)));
      return Future.succeededFuture(control.view().inMajority());
    }
    return replicateDeparture(record, changed.isPresent());
  }

  private Optional<EndpointRecord> applyToRoster(EndpointRecord record, Instant now) {
    Optional<EndpointRecord> before = roster.find(record.id());
    Optional<EndpointRecord> changed = roster.applyAnnouncement(record, now);
    if (before.filter(record::recoversFrom).isPresent()) {
      changed.ifPresent(suspicions::endpointRecovered);
    }
    return changed;
  }

  /**
   * Applies an endpoint's deregistration.
   *
   * @param id its id
   * @param startedAtMillis start of the incarnation that deregisters; 0 if not given, which stands
   *     for the recorded incarnation
   * @return whether it may be acknowledged; if not, the endpoint should try another instance
   */
  public Future<Boolean> deregister(String id, long startedAtMillis) {
    EndpointRecord deregistered =
        roster
            .find(id)
            .filter(r -> startedAtMillis == 0 || startedAtMillis == r.startedAtMillis())
            .map(r -> r.withState(EndpointState.GONE))
            .orElseGet(() -> deregisteredRecord(id, startedAtMillis));
    boolean changed = roster.applyAnnouncement(deregistered, clock.instant()).isPresent();
    if (changed) {
      RosterLog.logStateChange(deregistered, "left");
    }
    return replicateDeparture(deregistered, changed);
  }

  private static EndpointRecord deregisteredRecord(String id, long startedAtMillis) {
    return new EndpointRecord(
        id, startedAtMillis, "", "", "", 0, EndpointState.GONE, Long.MAX_VALUE, 0);
  }

  /**
   * Returns whether announcements of a service are accepted: the active routing document contains
   * the service, or no document is active yet, or the endpoint was accepted before its service was
   * removed.
   */
  public boolean acceptsAnnouncementsOf(String service, String endpointId) {
    RouteTable table = routes();
    return table.version() == 0
        || table.service(service).isPresent()
        || roster.find(endpointId).filter(r -> r.service().equals(service)).isPresent();
  }

  private Future<Boolean> replicateDeparture(EndpointRecord record, boolean changed) {
    pendingAnnouncements.put(record.id(), record);
    if (changed) {
      pushToAll(List.of(record));
    }
    return departures.replicate(record, control.view().members());
  }

  /**
   * Returns the public addresses of entries for a caller.
   *
   * @param host the host that the caller requests
   * @param region the caller's region
   * @param limit maximum number of addresses
   */
  public List<String> entriesFor(String host, String region, int limit) {
    return DirectorySelector.select(
        activeEntries.entriesForCallersOf(region), region, routes().homeRegionsOf(host), limit);
  }

  /** Returns the active routes, parsing the document again only when its version has changed. */
  private RouteTable routes() {
    RoutingState state = control.view().routing();
    if (state.version() != routes.version()) {
      routes = parser.parse(state.document());
    }
    return routes;
  }

  private List<EntryInfo> readyEntries() {
    Instant now = clock.instant();
    return entries.values().stream()
        .filter(e -> e.ready && e.isLive(now))
        .map(e -> e.info)
        .toList();
  }

  /** Returns the services that entries do not reach, by the entry's name. */
  private Map<String, Set<String>> unreachableServicesByEntry() {
    Instant now = clock.instant();
    return entries.values().stream()
        .filter(e -> !e.unreachableServices(now).isEmpty())
        .collect(Collectors.toMap(e -> e.info.name(), e -> e.unreachableServices(now)));
  }

  private void onEntryReach(FleetMessage.EntryReach reach) {
    Instant now = clock.instant();
    reach
        .unreachableServices()
        .forEach(
            (name, services) ->
                Optional.ofNullable(entries.get(name)).ifPresent(e -> e.onReach(services, now)));
  }

  /**
   * Passes the message on to the entries of the region, once for the many that lose their
   * connections to an endpoint at about the same time.
   */
  private void onConnectionsLost(FleetMessage.ConnectionsLost lost) {
    Instant now = clock.instant();
    Instant lastPassedOnAt = lossPassedOnAt.getOrDefault(lost.address(), Instant.MIN);
    if (!lastPassedOnAt.isAfter(now.minus(MIN_LOSS_INTERVAL))) {
      lossPassedOnAt.put(lost.address(), now);
      transport.sendAll(entryPeersOfRegion(lost.region()), lost);
    }
  }

  private List<String> entryPeersOfRegion(String region) {
    Instant now = clock.instant();
    return entryPeers(e -> e.isLive(now) && e.info.region().equals(region));
  }

  private List<String> otherControls() {
    return knownControls().stream().filter(c -> !c.equals(settings.peerAddress())).toList();
  }

  private void receive(FleetMessage message) {
    if (message instanceof FleetMessage.EntryReport report) {
      onEntryReport(report);
    } else if (message instanceof FleetMessage.EntryReach reach) {
      onEntryReach(reach);
    } else if (message instanceof FleetMessage.ConnectionsLost lost) {
      onConnectionsLost(lost);
    } else if (message instanceof FleetMessage.EntryNews news) {
      activeEntries.onUpdates(news);
      aggregator.onUpdates(news);
    } else if (message instanceof FleetMessage.PressureReport pressure) {
      activeEntries.onPressureReport(pressure);
    } else if (message instanceof FleetMessage.EndpointReports reports) {
      aggregator.onEndpointReports(reports);
    } else if (message instanceof FleetMessage.RemoteNews news) {
      aggregator.onUpdates(news);
    } else if (message instanceof FleetMessage.ControlHello hello) {
      onControlHello(hello);
    } else if (message instanceof FleetMessage.RosterUpdate update) {
      onRosterUpdate(update);
    } else if (message instanceof FleetMessage.RosterAck ack) {
      departures.onRosterAck(ack);
    } else if (message instanceof FleetMessage.StateRequest request) {
      sendState(request.from());
    } else if (message instanceof FleetMessage.ControlCall call) {
      orders.onControlCall(call);
    } else if (message instanceof FleetMessage.ControlReply reply) {
      orders.onControlReply(reply);
    } else if (message instanceof FleetMessage.SuspicionUpdate update) {
      suspicions.onSuspicionUpdate(update);
    }
  }

  private void onEntryReport(FleetMessage.EntryReport report) {
    TrackedEntry tracked = entries.computeIfAbsent(report.entry().name(), n -> new TrackedEntry());
    if (tracked.info == null || report.ready() != tracked.ready) {
      LOG.log(
          System.Logger.Level.INFO,
          "entry.changed",
          "entry",
          report.entry().name(),
          "ready",
          report.ready());
    }
    Instant now = clock.instant();
    tracked.onReport(report, now);
    String peer = report.entry().peerAddress();
    // Sent before the heartbeat reply: an entry that has just started may become ready when it
    // receives the reply, and must have the quarantined contents by then.
    suspicions.compare(report);
    transport.send(peer, controlPulse(report.reportId()));
    if (report.following()) {
      sendDifferences(tracked, report, now);
      activeEntries.sendTo(report.entry());
    }
    sendReach(peer);
  }

  /**
   * Sends the services that entries do not reach. It is the last message after a report, because an
   * instance of a build that does not know it closes the connection.
   */
  private void sendReach(String peer) {
    Map<String, Set<String>> unreachableServices = unreachableServicesByEntry();
    if (!unreachableServices.isEmpty()) {
      transport.send(
          peer, new FleetMessage.EntryReach(settings.peerAddress(), unreachableServices));
    }
  }

  /** Sends the roster and the list of entries if the digests in the entry's report differ. */
  private void sendDifferences(TrackedEntry tracked, FleetMessage.EntryReport report, Instant now) {
    String peer = report.entry().peerAddress();
    boolean discoveryComplete = isDiscoveryComplete(now);
    if (report.rosterDigest() != roster.digest()
        && tracked.completeRosterSentAt.plus(COMPLETE_ROSTER_INTERVAL).isBefore(now)) {
      tracked.completeRosterSentAt = now;
      transport.send(
          peer,
          new FleetMessage.RosterUpdate(
              settings.peerAddress(),
              0,
              discoveryComplete && control.view().inMajority(),
              List.copyOf(roster.records(now))));
    }
    FleetMessage.EntryList list =
        new FleetMessage.EntryList(settings.peerAddress(), readyEntries());
    boolean entryListEmpty = report.entriesDigest() == 0;
    boolean listComplete =
        discoveryComplete && tracked.reportingSince.plus(ENTRY_DISCOVERY_TIME).isBefore(now);
    if ((listComplete || entryListEmpty) && report.entriesDigest() != list.digest()) {
      transport.send(peer, list);
    }
  }

  /**
   * Returns whether this instance has run long enough to have received an announcement of every
   * endpoint.
   */
  private boolean isDiscoveryComplete(Instant now) {
    return startedAt.plus(settings.endpointHeartbeat().multipliedBy(2)).isBefore(now);
  }

  private FleetMessage.ControlPulse controlPulse(long reportId) {
    return new FleetMessage.ControlPulse(
        settings.peerAddress(),
        settings.region(),
        control.isCurrent(settings.bounds().maxStateAge()),
        isDiscoveryComplete(clock.instant()),
        control.view().routing().revision(),
        suspicions.quarantineDigest(),
        knownControls(),
        reportId);
  }

  private List<String> knownControls() {
    Set<String> known = new TreeSet<>(control.view().members());
    known.addAll(peers.known());
    known.add(settings.peerAddress());
    return List.copyOf(known);
  }

  private void sendHello() {
    Instant now = clock.instant();
    peers.expire(now);
    entries.values().removeIf(e -> e.lastReportAt.plus(PEER_RETENTION).isBefore(now));
    activeEntries.retain(entries.keySet());
    Set<String> targets = new TreeSet<>(knownControls());
    targets.addAll(peers.contacted());
    targets.addAll(seeds);
    targets.remove(settings.peerAddress());
    suspicions.expireAndSave();
    transport.sendAll(targets, hello());
    expireLeases(now);
  }

  private FleetMessage hello() {
    return new FleetMessage.ControlHello(
        settings.peerAddress(), suspicions.recurringDigest(), knownControls());
  }

  private void expireLeases(Instant now) {
    boolean inMajority = control.view().inMajority();
    if (inMajority && !hadMajority) {
      roster.renewAllLeases(now);
    }
    hadMajority = inMajority;
    if (inMajority) {
      Duration lease = settings.endpointHeartbeat().multipliedBy(LEASE_ANNOUNCEMENTS);
      List<EndpointRecord> lost = roster.expire(now, lease);
      lost.forEach(r -> RosterLog.logStateChange(r, "lease expired"));
      if (!lost.isEmpty()) {
        pushToFollowers(lost);
      }
    }
  }

  private void onControlHello(FleetMessage.ControlHello hello) {
    Set<String> learned = peers.onHello(hello.from(), hello.controls(), clock.instant());
    if (!learned.isEmpty()) {
      LOG.log(System.Logger.Level.INFO, "control.learned", "peers", learned, "from", hello.from());
      transport.sendAll(learned, hello());
    }
    control.admit(hello.from());
    suspicions.compare(hello);
  }

  private void onRosterUpdate(FleetMessage.RosterUpdate update) {
    Instant now = clock.instant();
    List<EndpointRecord> changed = new ArrayList<>();
    for (EndpointRecord record : update.records()) {
      applyToRoster(record, now).ifPresent(changed::add);
    }
    if (!changed.isEmpty()) {
      changed.forEach(c -> RosterLog.logStateChange(c, update.from()));
      pushToFollowers(changed);
    }
    if (update.callId() != 0) {
      transport.send(
          update.from(), new FleetMessage.RosterAck(settings.peerAddress(), update.callId()));
    }
  }

  /**
   * Sends records to every entry, including those that follow other control instances: after a
   * deregistration or the start of draining is acknowledged, no entry may send requests to the
   * endpoint, regardless of what the control instances it follows have received.
   */
  private void pushToAll(List<EndpointRecord> records) {
    transport.sendAll(entryPeers(e -> true), rosterUpdate(records));
  }

  /**
   * Sends changed records to the entries that follow this instance. Each control instance does so
   * when it receives them.
   */
  private void pushToFollowers(List<EndpointRecord> records) {
    transport.sendAll(entryPeers(e -> e.following), rosterUpdate(records));
  }

  private FleetMessage rosterUpdate(List<EndpointRecord> records) {
    return new FleetMessage.RosterUpdate(settings.peerAddress(), 0, false, records);
  }

  private List<String> entryPeers(Predicate<TrackedEntry> filter) {
    return entries.values().stream().filter(filter).map(e -> e.info.peerAddress()).toList();
  }

  private void flushAnnouncements() {
    if (pendingAnnouncements.isEmpty()) {
      return;
    }
    transport.sendAll(otherControls(), rosterUpdate(List.copyOf(pendingAnnouncements.values())));
    pendingAnnouncements.clear();
  }

  private void publishState(RoutingState state) {
    LOG.log(
        System.Logger.Level.INFO,
        "routing.in_force",
        "revision",
        state.revision(),
        "version",
        state.version(),
        "evacuated",
        state.evacuatedDomains());
    transport.sendAll(entryPeers(e -> e.following), controlPulse(0));
  }

  /**
   * Sends the routing state to an entry soon, together with the others that request it after a
   * change, so that a large document is encoded only once.
   */
  private void sendState(String peer) {
    if (stateRequesters.isEmpty()) {
      vertx.setTimer(STATE_OFFER_DELAY_MILLIS, id -> sendStateToRequesters());
    }
    stateRequesters.add(peer);
  }

  private void sendStateToRequesters() {
    RoutingState state = control.view().routing();
    transport.sendAll(
        stateRequesters,
        new FleetMessage.StateOffer(
            state.revision(), state.version(), state.document(), state.evacuatedDomains()));
    stateRequesters.clear();
  }

  @Override
  public void close() throws Exception {
    control.close();
    transport.close();
  }
}
