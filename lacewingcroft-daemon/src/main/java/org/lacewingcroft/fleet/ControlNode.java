package org.lacewingcroft.fleet;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.lacewingcroft.consensus.RoutingState;
import org.lacewingcroft.control.RoutingControl;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.route.RouteDocumentParser;
import org.lacewingcroft.route.RouteTable;

/**
 * A control instance of a fleet: keeps the roster of endpoints from their announcements, knows the
 * entries that take callers, and holds the routing state in its {@link RoutingControl}.
 *
 * <p>Announcements are passed on to the other control instances in small batches; what changes the
 * roster is pushed to every entry at once, and a digest in each entry's report finds what a push
 * missed. That an endpoint leaves is acknowledged only once a majority of the group knows it, so
 * that no single loss forgets it.
 *
 * <p>All state is owned by the event loop.
 */
public final class ControlNode implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ControlNode.class.getName());

  /** How often announcements are passed on. */
  private static final long FLUSH_MILLIS = 100;

  /** How often control instances greet each other and leases are checked. */
  private static final long HELLO_MILLIS = 800;

  /** An entry that has not reported for this long is not named to callers. */
  private static final Duration ENTRY_VALID = Duration.ofMillis(1_700);

  /** The same for one that goes by other control instances and so reports less often. */
  private static final Duration DISTANT_ENTRY_VALID = Duration.ofSeconds(5);

  /**
   * Time since an entry was first heard, at the start or after a cut, in which its neighbours are
   * heard as well. A list made before names few of them, and each entry that gets such a list takes
   * itself for one of the few that may send to a cold endpoint.
   */
  private static final Duration ENTRIES_HEARD = Duration.ofMillis(1_600);

  /** A control instance that has not greeted for this long is not named to others. */
  private static final Duration CONTROL_VALID = Duration.ofSeconds(10);

  /** Announcements that may be missing before an endpoint counts as lost. */
  private static final int LEASE_HEARTBEATS = 4;

  /** Pause before a data folder that failed is opened again. */
  private static final long REOPEN_MILLIS = 1_000;

  /** Least pause between two whole rosters to one entry. */
  private static final Duration WHOLE_PAUSE = Duration.ofMillis(900);

  private final FleetSettings settings;
  private final InstantSource clock;
  private final Vertx vertx;
  private final Context context;
  private final GatewayMetrics metrics;
  private final RouteDocumentParser parser;
  private RouteTable routes = RouteTable.EMPTY;
  private final FleetTransport transport;
  private volatile RoutingControl control;
  private final OrderRelay orders;
  private final EndpointRoster roster = new EndpointRoster();
  private final Map<String, SeenEntry> entries = new TreeMap<>();
  private final Map<String, Instant> controls = new HashMap<>();
  private final Map<String, EndpointRecord> outbox = new TreeMap<>();
  private final LeavingConfirmations leaving;
  private final UpdateAggregator aggregator;
  private final SuspicionExchange suspicions;
  private final Instant startedAt;
  private volatile List<String> seeds;
  private boolean hadMajority;

  private static final class SeenEntry {
    private EntryInfo info;
    private boolean ready;
    private boolean wantsLists;
    private Instant heardSince;
    private Instant at;
    private Instant wholeSentAt = Instant.EPOCH;

    private boolean live(Instant now) {
      Duration valid = wantsLists ? ENTRY_VALID : DISTANT_ENTRY_VALID;
      return at.plus(valid).isAfter(now);
    }

    private void heard(FleetMessage.EntryReport report, Instant now) {
      if (at == null || !live(now)) {
        heardSince = now;
      }
      info = report.entry();
      ready = report.ready();
      wantsLists = report.wantsUpdates();
      at = now;
    }
  }

  /**
   * Starts a control instance.
   *
   * @throws IOException if the data folder cannot be used
   */
  public ControlNode(
      Context context,
      FleetSettings settings,
      RouteDocumentParser parser,
      InstantSource clock,
      GatewayMetrics metrics)
      throws IOException {
    this.metrics = metrics;
    this.parser = parser;
    this.context = context;
    this.vertx = context.owner();
    this.settings = settings;
    this.clock = clock;
    this.startedAt = clock.instant();
    this.seeds = settings.seedPeers();
    this.transport = new FleetTransport(context, settings);
    metrics.registerPeerTraffic(transport.traffic());
    this.leaving = new LeavingConfirmations(vertx, settings.peerAddress(), transport);
    this.aggregator =
        new UpdateAggregator(
            transport, clock, settings.peerAddress(), this::peersOfRegion, this::otherControls);
    this.suspicions =
        new SuspicionExchange(
            vertx,
            settings.peerAddress(),
            transport,
            clock,
            this::otherControls,
            () -> peers(e -> e.wantsLists),
            new SuspicionStore(settings.dataDir().orElseThrow(), InstantSource.system()));
    boolean founder = settings.firstStart() && seeds.contains(settings.peerAddress());
    this.control = openControl(founder ? Set.copyOf(seeds) : Set.of());
    this.orders =
        new OrderRelay(context, settings.peerAddress(), () -> this.control, transport, metrics);
  }

  private RoutingControl openControl(Set<String> founders) throws IOException {
    return new RoutingControl(
        settings.peerAddress(),
        settings.dataDir().orElseThrow(),
        founders,
        settings.toleratedFailures(),
        transport::send,
        state -> context.runOnContext(v -> announceState(state)),
        failure -> context.runOnContext(v -> reopenLater()));
  }

  /**
   * Goes on without the control group after the data folder failed, and opens it again once it can
   * be used: what it holds on disk is all that this instance may then still stand for. A full or
   * faulty disk so costs one member for a while and not the directory and the roster as well.
   */
  private void reopenLater() {
    vertx.setTimer(
        REOPEN_MILLIS,
        id -> {
          try {
            control = openControl(Set.of());
          } catch (IOException | RuntimeException e) {
            LOG.log(System.Logger.Level.WARNING, "control.data_folder_unusable", e);
            reopenLater();
          }
        });
  }

  /** Listens and begins to greet. */
  public Future<Void> start() {
    vertx.setPeriodic(FLUSH_MILLIS, id -> flush());
    vertx.setPeriodic(HELLO_MILLIS, id -> hello());
    aggregator.start(vertx);
    return transport
        .listen(this::receive, (from, message) -> control.receive(from, message))
        .onSuccess(port -> hello())
        .mapEmpty();
  }

  /** Takes other seeds from changed settings. */
  public void updateSeeds(List<String> peers) {
    seeds = List.copyOf(peers);
  }

  /** Returns the orders of operators. */
  public OrderRelay orders() {
    return orders;
  }

  /** Returns the control group's view, for metrics. */
  public RoutingControl.View view() {
    return control.view();
  }

  /** Returns how many endpoints are known. */
  public int endpoints() {
    return roster.size();
  }

  /** Returns how many contents are quarantined, for metrics. */
  public int quarantinedContents() {
    return suspicions.size();
  }

  /**
   * Takes an endpoint's announcement.
   *
   * @return whether it may be acknowledged; if not, the endpoint shall try another instance
   */
  public Future<Boolean> announce(EndpointRecord record) {
    return take(record)
        .onSuccess(
            acknowledged ->
                metrics.announcements.labelValues(Boolean.toString(acknowledged)).inc());
  }

  private Future<Boolean> take(EndpointRecord record) {
    Optional<EndpointRecord> changed = heard(record, clock.instant());
    changed.ifPresent(c -> RosterLog.changed(c, "announcement"));
    if (record.state() == EndpointState.READY) {
      outbox.put(record.id(), record);
      changed.ifPresent(c -> pushToReliant(List.of(c)));
      return Future.succeededFuture(control.view().inMajority());
    }
    return confirmLeaving(record, changed.isPresent());
  }

  private Optional<EndpointRecord> heard(EndpointRecord record, Instant now) {
    Optional<EndpointRecord> before = roster.find(record.id());
    Optional<EndpointRecord> changed = roster.applyAnnouncement(record, now);
    if (before.filter(record::recoversFrom).isPresent()) {
      changed.ifPresent(suspicions::returned);
    }
    return changed;
  }

  /**
   * Takes an endpoint's word that it leaves now.
   *
   * @param id its id
   * @param startedAtMillis when the incarnation started that leaves; 0 if it does not say, which
   *     stands for the one known
   */
  public Future<Boolean> deregister(String id, long startedAtMillis) {
    EndpointRecord gone =
        roster
            .find(id)
            .filter(r -> startedAtMillis == 0 || startedAtMillis == r.startedAtMillis())
            .map(r -> r.withState(EndpointState.GONE))
            .orElseGet(() -> unknownGone(id, startedAtMillis));
    boolean changed = roster.applyAnnouncement(gone, clock.instant()).isPresent();
    if (changed) {
      RosterLog.changed(gone, "left");
    }
    return confirmLeaving(gone, changed);
  }

  private static EndpointRecord unknownGone(String id, long startedAtMillis) {
    return new EndpointRecord(
        id, startedAtMillis, "", "", "", 0, EndpointState.GONE, Long.MAX_VALUE, 0);
  }

  /**
   * Returns whether announcements of a service are taken: it stands in the routing document, or
   * none is in force yet, or the endpoint was taken before its service was dropped.
   */
  public boolean acceptsAnnouncementsOf(String service, String endpointId) {
    RouteTable table = routes();
    return table.version() == 0
        || table.service(service).isPresent()
        || roster.find(endpointId).filter(r -> r.service().equals(service)).isPresent();
  }

  private Future<Boolean> confirmLeaving(EndpointRecord record, boolean changed) {
    outbox.put(record.id(), record);
    if (changed) {
      pushToAll(List.of(record));
    }
    return leaving.confirm(record, control.view().members());
  }

  /**
   * Returns the public addresses of entries for a caller.
   *
   * @param host the host that it wants to call
   * @param region its region
   * @param most how many addresses it takes
   */
  public List<String> entriesFor(String host, String region, int most) {
    return DirectoryChoice.of(readyEntries(), region, routes().homeRegionsOf(host), most);
  }

  /** Returns the routes in force, read anew only when their version has changed. */
  private RouteTable routes() {
    RoutingState state = control.view().routing();
    if (state.version() != routes.version()) {
      routes = parser.parse(state.document());
    }
    return routes;
  }

  private List<EntryInfo> readyEntries() {
    Instant now = clock.instant();
    return entries.values().stream().filter(e -> e.ready && e.live(now)).map(e -> e.info).toList();
  }

  private List<String> peersOfRegion(String region) {
    Instant now = clock.instant();
    return peers(e -> e.live(now) && e.info.region().equals(region));
  }

  private List<String> otherControls() {
    return knownControls().stream().filter(c -> !c.equals(settings.peerAddress())).toList();
  }

  private void receive(FleetMessage message) {
    if (message instanceof FleetMessage.EntryReport report) {
      reported(report);
    } else if (message instanceof FleetMessage.EntryNews news) {
      aggregator.heard(news);
    } else if (message instanceof FleetMessage.RemoteNews news) {
      aggregator.heard(news);
    } else if (message instanceof FleetMessage.ControlHello hello) {
      greeted(hello);
    } else if (message instanceof FleetMessage.RosterUpdate update) {
      updated(update);
    } else if (message instanceof FleetMessage.RosterAck ack) {
      leaving.acknowledged(ack);
    } else if (message instanceof FleetMessage.StateRequest request) {
      offerState(request.from());
    } else if (message instanceof FleetMessage.ControlCall call) {
      orders.called(call);
    } else if (message instanceof FleetMessage.ControlReply reply) {
      orders.replied(reply);
    } else if (message instanceof FleetMessage.SuspicionUpdate update) {
      suspicions.heard(update);
    }
  }

  private void reported(FleetMessage.EntryReport report) {
    SeenEntry seen = entries.computeIfAbsent(report.entry().name(), n -> new SeenEntry());
    if (seen.info == null || report.ready() != seen.ready) {
      LOG.log(
          System.Logger.Level.INFO,
          "entry.changed",
          "entry",
          report.entry().name(),
          "ready",
          report.ready());
    }
    Instant now = clock.instant();
    seen.heard(report, now);
    String peer = report.entry().peerAddress();
    // Before the pulse, by which an entry that has just started becomes ready for callers.
    suspicions.compare(report);
    transport.send(peer, pulse(report.reportId()));
    if (report.wantsUpdates()) {
      sendDifferences(seen, report, now);
    }
  }

  /** Sends the roster and the list of entries if the reporting entry knows others. */
  private void sendDifferences(SeenEntry seen, FleetMessage.EntryReport report, Instant now) {
    String peer = report.entry().peerAddress();
    boolean settled = settled(now);
    if (report.rosterDigest() != roster.digest()
        && seen.wholeSentAt.plus(WHOLE_PAUSE).isBefore(now)) {
      seen.wholeSentAt = now;
      transport.send(
          peer,
          new FleetMessage.RosterUpdate(
              settings.peerAddress(),
              0,
              settled && control.view().inMajority(),
              List.copyOf(roster.records(now))));
    }
    List<EntryInfo> ready = readyEntries();
    boolean knowsNone = report.entriesDigest() == EntryNode.entriesDigest(List.of());
    boolean heardAll = settled && seen.heardSince.plus(ENTRIES_HEARD).isBefore(now);
    if ((heardAll || knowsNone) && report.entriesDigest() != EntryNode.entriesDigest(ready)) {
      transport.send(peer, new FleetMessage.EntryList(settings.peerAddress(), ready));
    }
  }

  /** Whether this instance has run for as long as an endpoint may stay unheard of. */
  private boolean settled(Instant now) {
    return startedAt.plus(settings.endpointHeartbeat().multipliedBy(2)).isBefore(now);
  }

  private FleetMessage.ControlPulse pulse(long questionId) {
    return new FleetMessage.ControlPulse(
        settings.peerAddress(),
        settings.region(),
        control.view().inMajority(),
        settled(clock.instant()),
        control.view().routing().revision(),
        suspicions.quarantineDigest(),
        knownControls(),
        questionId);
  }

  private List<String> knownControls() {
    Set<String> known = new TreeSet<>(control.view().members());
    known.addAll(controls.keySet());
    known.add(settings.peerAddress());
    return List.copyOf(known);
  }

  private void hello() {
    Instant now = clock.instant();
    controls.values().removeIf(at -> at.plus(CONTROL_VALID).isBefore(now));
    entries.values().removeIf(e -> e.at.plus(CONTROL_VALID).isBefore(now));
    Set<String> targets = new TreeSet<>(knownControls());
    targets.addAll(seeds);
    targets.remove(settings.peerAddress());
    suspicions.maintain();
    FleetMessage hello =
        new FleetMessage.ControlHello(
            settings.peerAddress(), suspicions.recurringDigest(), knownControls());
    targets.forEach(t -> transport.send(t, hello));
    expireLeases(now);
  }

  private void expireLeases(Instant now) {
    boolean majority = control.view().inMajority();
    if (majority && !hadMajority) {
      roster.renewAll(now);
    }
    hadMajority = majority;
    if (majority) {
      Duration lease = settings.endpointHeartbeat().multipliedBy(LEASE_HEARTBEATS);
      List<EndpointRecord> lost = roster.expire(now, lease);
      lost.forEach(r -> RosterLog.changed(r, "lease over"));
      if (!lost.isEmpty()) {
        pushToReliant(lost);
      }
    }
  }

  private void greeted(FleetMessage.ControlHello hello) {
    controls.put(hello.from(), clock.instant());
    control.admit(hello.from());
    suspicions.compare(hello);
  }

  private void updated(FleetMessage.RosterUpdate update) {
    Instant now = clock.instant();
    List<EndpointRecord> changed = new ArrayList<>();
    for (EndpointRecord record : update.records()) {
      heard(record, now).ifPresent(changed::add);
    }
    if (!changed.isEmpty()) {
      changed.forEach(c -> RosterLog.changed(c, update.from()));
      pushToReliant(changed);
    }
    if (update.callId() != 0) {
      transport.send(
          update.from(), new FleetMessage.RosterAck(settings.peerAddress(), update.callId()));
    }
  }

  /**
   * Tells every entry: once an endpoint's leaving is acknowledged, none may send to it any more,
   * whatever the control instances that the entry goes by have heard.
   */
  private void pushToAll(List<EndpointRecord> records) {
    transport.sendAll(peers(e -> true), rosterUpdate(records));
  }

  /**
   * Tells the entries that go by this instance of changed records. Each control instance does so
   * once it has heard of them.
   */
  private void pushToReliant(List<EndpointRecord> records) {
    transport.sendAll(peers(e -> e.wantsLists), rosterUpdate(records));
  }

  private FleetMessage rosterUpdate(List<EndpointRecord> records) {
    return new FleetMessage.RosterUpdate(settings.peerAddress(), 0, false, records);
  }

  private List<String> peers(Predicate<SeenEntry> which) {
    return entries.values().stream().filter(which).map(e -> e.info.peerAddress()).toList();
  }

  private void flush() {
    if (outbox.isEmpty()) {
      return;
    }
    transport.sendAll(otherControls(), rosterUpdate(List.copyOf(outbox.values())));
    outbox.clear();
  }

  private void announceState(RoutingState state) {
    LOG.log(
        System.Logger.Level.INFO,
        "routing.in_force",
        "revision",
        state.revision(),
        "version",
        state.version(),
        "evacuated",
        state.evacuatedDomains());
    transport.sendAll(peers(e -> e.wantsLists), pulse(0));
  }

  private void offerState(String peer) {
    RoutingState state = control.view().routing();
    transport.send(
        peer,
        new FleetMessage.StateOffer(
            state.revision(), state.version(), state.document(), state.evacuatedDomains()));
  }

  @Override
  public void close() throws Exception {
    control.close();
    transport.close();
  }
}
