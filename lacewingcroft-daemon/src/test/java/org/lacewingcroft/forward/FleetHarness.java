package org.lacewingcroft.forward;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.lacewingcroft.fleet.ActiveEntriesMode;
import org.lacewingcroft.fleet.ControlNode;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.EntryCapacity;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.FleetBounds;
import org.lacewingcroft.fleet.FleetSettings;
import org.lacewingcroft.http.RequestMemory;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.peer.LoopbackPorts;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceShare;
import org.lacewingcroft.route.ServiceSpec;

/** A control instance and entries of one or more regions, in this process on loopback addresses. */
final class FleetHarness implements AutoCloseable {
  static final HeaderNames HEADER_NAMES =
      new HeaderNames(
          "X-Request-Id",
          "X-Deadline",
          "X-Proof",
          "X-Expect",
          "X-Not-Run",
          "X-Parts",
          "X-Tokens",
          "X-Hint",
          "X-Priority",
          "X-Prefix-Source",
          "Last-Event-Id",
          "X-Organisation",
          "X-Rate-Limit",
          "X-Leaving",
          "X-Load",
          "X-Instance",
          "X-Warm-Up",
          Set.of("x-expect", "x-priority", "x-organisation"));

  /**
   * The time after which disconnected entries accept no API keys, short enough to elapse in a test.
   */
  static final Duration REVOCATION_DELAY = Duration.ofSeconds(5);

  static final FleetBounds BOUNDS =
      new FleetBounds(
          Duration.ofSeconds(8),
          Duration.ofSeconds(5),
          1,
          100,
          Duration.ofSeconds(10),
          1.5,
          3,
          Optional.of(REVOCATION_DELAY));
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);
  static final byte[] SECRET = "a secret of the test fleet".getBytes();

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context context = vertx.getOrCreateContext();
  private final Map<Long, RouteTable> tables;
  private final FleetBounds bounds;
  private final FleetSettings controlSettings;
  private final InstantSource controlClock;
  private ControlNode control;

  /** An entry of the fleet. */
  record Entry(
      EntryNode node, EntryServer server, GatewayMetrics metrics, int publicPort, int relayPort) {
    /** Sends a request to the route named after a service, and returns the status. */
    int call(String service, String id) throws IOException, InterruptedException {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("http://127.0.0.1:" + publicPort + "/" + service + "/x"))
              .POST(HttpRequest.BodyPublishers.ofString("body of " + id))
              .header("X-Request-Id", id)
              .header("X-Deadline", "3000")
              .timeout(Duration.ofSeconds(10))
              .build();
      return HttpClient.newHttpClient()
          .send(request, HttpResponse.BodyHandlers.discarding())
          .statusCode();
    }
  }

  /**
   * Starts a control instance of a fleet with default bounds.
   *
   * @param tables the route tables that can be made active, by version
   */
  FleetHarness(Path dataDir, Map<Long, RouteTable> tables) throws Exception {
    this(dataDir, tables, BOUNDS);
  }

  /** Starts a control instance of a fleet with the given bounds. */
  FleetHarness(Path dataDir, Map<Long, RouteTable> tables, FleetBounds bounds) throws Exception {
    this(dataDir, tables, bounds, new MonotonicInstantSource());
  }

  /** Starts a control instance of a fleet with the given bounds and clock. */
  FleetHarness(
      Path dataDir, Map<Long, RouteTable> tables, FleetBounds bounds, InstantSource controlClock)
      throws Exception {
    this.controlClock = controlClock;
    this.tables = tables;
    this.bounds = bounds;
    this.controlSettings =
        settings(
            "control",
            "north",
            List.of(),
            Optional.of(dataDir),
            Optional.empty(),
            Optional.empty());
    FleetSettings foundingSettings =
        new FleetSettings(
            "control",
            "127.0.0.1",
            "north",
            "north-a",
            controlSettings.regionByDomain(),
            controlSettings.peerPort(),
            controlSettings.relayPort(),
            List.of(controlSettings.peerAddress()),
            Optional.of(dataDir),
            true,
            0,
            Optional.empty(),
            HEARTBEAT_INTERVAL,
            bounds,
            Optional.empty(),
            ActiveEntriesMode.AUTO,
            Set.of(),
            SECRET);
    startControl(foundingSettings);
  }

  private void startControl(FleetSettings settings) throws Exception {
    onContext(
        () -> {
          control =
              new ControlNode(
                  context,
                  settings,
                  document -> tables.get(Long.parseLong(document)),
                  controlClock,
                  new GatewayMetrics());
          return control.start();
        });
  }

  /** Stops the control instance. */
  void stopControl() throws Exception {
    onContext(
        () -> {
          control.close();
          return Future.succeededFuture();
        });
  }

  /** Stops the control instance, unless it is stopped already, and starts it again. */
  void restartControl() throws Exception {
    stopControl();
    startControl(controlSettings);
  }

  Vertx vertx() {
    return vertx;
  }

  private FleetSettings settings(
      String name,
      String region,
      List<String> seeds,
      Optional<Path> dataDir,
      Optional<String> upstreamBindAddress,
      Optional<EntryCapacity> capacity)
      throws IOException {
    return new FleetSettings(
        name,
        "127.0.0.1",
        region,
        region + "-a",
        Map.of("north-a", "north", "south-a", "south"),
        LoopbackPorts.allocatePort(),
        LoopbackPorts.allocatePort(),
        seeds,
        dataDir,
        true,
        0,
        upstreamBindAddress,
        HEARTBEAT_INTERVAL,
        bounds,
        capacity,
        ActiveEntriesMode.AUTO,
        Set.of(),
        SECRET);
  }

  /** Starts an entry on an event loop of its own, so that only this entry is late if it blocks. */
  Entry startEntryOn(Vertx ownVertx, String name, String region) throws Exception {
    return startEntry(
        name,
        region,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        ownVertx.getOrCreateContext());
  }

  /**
   * Starts an entry to which other entries relay at another port than its own.
   *
   * @param relayPort the port at which the other entries expect its relay server
   */
  Entry startEntryRelayedAt(String name, String region, int relayPort) throws Exception {
    return startEntry(
        name, region, Optional.empty(), Optional.empty(), Optional.of(relayPort), context);
  }

  Entry startEntry(String name, String region) throws Exception {
    return startEntry(name, region, Optional.empty());
  }

  /**
   * Starts an entry.
   *
   * @param upstreamBindAddress the loopback address from which it connects to endpoints, which
   *     identifies it there
   */
  Entry startEntry(String name, String region, Optional<String> upstreamBindAddress)
      throws Exception {
    return startEntry(
        name, region, upstreamBindAddress, Optional.empty(), Optional.empty(), context);
  }

  /** Starts an entry on a machine of known capacity. */
  Entry startEntry(String name, String region, EntryCapacity capacity) throws Exception {
    return startEntry(
        name, region, Optional.empty(), Optional.of(capacity), Optional.empty(), context);
  }

  private Entry startEntry(
      String name,
      String region,
      Optional<String> upstreamBindAddress,
      Optional<EntryCapacity> capacity,
      Optional<Integer> relayPort,
      Context entryContext)
      throws Exception {
    FleetSettings settings =
        settings(
            name,
            region,
            List.of(controlSettings.peerAddress()),
            Optional.empty(),
            upstreamBindAddress,
            capacity);
    int publicPort = LoopbackPorts.allocatePort();
    EntryInfo self =
        new EntryInfo(
            name,
            region,
            region + "-a",
            "127.0.0.1:" + publicPort,
            settings.peerAddress(),
            relayPort.map(port -> "127.0.0.1:" + port).orElseGet(settings::relayAddress));
    MonotonicInstantSource clock = new MonotonicInstantSource();
    EntryNode node =
        new EntryNode(
            entryContext,
            settings,
            self,
            document -> tables.get(Long.parseLong(document)),
            address -> Future.succeededFuture(List.of()),
            clock);
    GatewayMetrics metrics = new GatewayMetrics();
    EntryServer server =
        new EntryServer(
            entryContext.owner(),
            settings,
            node,
            HEADER_NAMES,
            metrics,
            new RequestMemory(Runtime.getRuntime().maxMemory(), heldBytes -> {}),
            clock);
    onContext(
        entryContext,
        () ->
            node.start()
                .compose(
                    v ->
                        server.listen(
                            SocketAddress.inetSocketAddress(publicPort, "127.0.0.1"),
                            SocketAddress.inetSocketAddress(settings.relayPort(), "127.0.0.1"))));
    return new Entry(node, server, metrics, publicPort, settings.relayPort());
  }

  /** Stops an entry; its state is lost. */
  void stopEntry(Entry entry) throws Exception {
    onContext(
        () -> {
          entry.node().close();
          return entry.server().close();
        });
  }

  /** Returns a route named after its service, with the path {@code /service/}, for any region. */
  static Route routeTo(
      String service, RouteKind kind, boolean resumable, int attempts, Duration timeout) {
    return routeTo(service, kind, resumable, attempts, timeout, Set.of());
  }

  /**
   * Returns a route named after its service, with the path {@code /service/}.
   *
   * @param homeRegions the regions that may run its requests, empty for any
   */
  static Route routeTo(
      String service,
      RouteKind kind,
      boolean resumable,
      int attempts,
      Duration timeout,
      Set<String> homeRegions) {
    return new Route(
        service,
        "127.0.0.1",
        "/" + service + "/",
        kind,
        timeout,
        Duration.ofMillis(800),
        0,
        List.of(new ServiceShare(service, 1)),
        attempts,
        resumable,
        Optional.empty(),
        homeRegions,
        false);
  }

  /** Returns a service without warm-up, whose endpoints are never cold. */
  static ServiceSpec serviceNamed(String name) {
    return new ServiceSpec(name, 100, Duration.ZERO, 0, Optional.empty(), Optional.empty());
  }

  /** Returns the services of routes that are named after their service, without warm-up. */
  static List<ServiceSpec> servicesOf(List<Route> routes) {
    return routes.stream().map(route -> serviceNamed(route.name())).toList();
  }

  /** Returns a table of version 1 of routes that are named after their service. */
  static RouteTable routeTable(List<Route> routes) {
    return new RouteTable(1, routes, servicesOf(routes), RequestLimits.DEFAULT);
  }

  /** Makes a route table active and waits until it is committed. */
  void activateRouteTable(long version) throws Exception {
    for (int i = 0; i < 20; i++) {
      if (onContext(() -> control.orders().route(version, Long.toString(version))).committed()) {
        return;
      }
    }
    throw new AssertionError("version " + version + " was not committed");
  }

  /** Announces an endpoint once and waits for the acknowledgement. */
  void announce(String id, String service, String region, int port, long sequence)
      throws Exception {
    onContext(() -> control.announce(record(id, service, region, port, sequence)));
  }

  /** Announces an endpoint once; must be called on the fleet's Vert.x context. */
  void announceNow(String id, String service, String region, int port, long sequence) {
    control.announce(record(id, service, region, port, sequence));
  }

  /** Runs an action on the fleet's Vert.x context and waits until it is done. */
  void run(Runnable action) throws Exception {
    onContext(
        () -> {
          action.run();
          return Future.succeededFuture();
        });
  }

  private static EndpointRecord record(
      String id, String service, String region, int port, long sequence) {
    return new EndpointRecord(
        id, 0, service, "127.0.0.1:" + port, region + "-a", 8, EndpointState.READY, sequence, 0);
  }

  /** Announces an endpoint at each heartbeat interval, as a running one does. */
  void keepAnnouncing(String id, String service, String region, int port) throws Exception {
    keepAnnouncing(id, service, region, port, Duration.ZERO);
  }

  /** Announces an endpoint at each heartbeat interval, each time as cold for the given time. */
  void keepAnnouncing(String id, String service, String region, int port, Duration cold)
      throws Exception {
    AtomicLong sequence = new AtomicLong();
    Supplier<Future<Boolean>> announcement =
        () ->
            control.announce(
                record(id, service, region, port, sequence.incrementAndGet())
                    .withColdMillis(cold.toMillis()));
    onContext(announcement::get);
    vertx.setPeriodic(HEARTBEAT_INTERVAL.toMillis(), t -> announcement.get());
  }

  /** Waits until an entry tracks the given number of endpoints of a service. */
  void awaitEndpoints(Entry entry, String service, int count) throws Exception {
    for (int i = 0; i < 200; i++) {
      long tracked =
          onContext(
              () ->
                  Future.succeededFuture(
                      entry.node().endpoints().stream()
                          .filter(e -> e.record().service().equals(service))
                          .count()));
      if (tracked == count) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new AssertionError("the endpoints of " + service + " did not reach the entry");
  }

  /** Returns the peer address of the control instance. */
  String controlAddress() {
    return controlSettings.peerAddress();
  }

  ControlNode control() {
    return control;
  }

  /**
   * Makes a route table active, announces an endpoint of a service without routes, and waits until
   * the given entries are ready.
   */
  void activateAndAwaitReady(long version, List<Entry> entries) throws Exception {
    activateRouteTable(version);
    // An entry that knows any endpoint is ready without a complete list of them.
    announce("anywhere", "other", "north", 1, 1);
    for (Entry entry : entries) {
      awaitReady(entry);
    }
  }

  void awaitReady(Entry entry) throws InterruptedException {
    for (int i = 0; i < 400 && !entry.node().ready(); i++) {
      TimeUnit.MILLISECONDS.sleep(25);
    }
    if (!entry.node().ready()) {
      throw new AssertionError("the entry is not ready after 10 s");
    }
  }

  /** Runs an action on the fleet's Vert.x context and returns the result of its future. */
  <T> T onContext(Callable<Future<T>> action) throws Exception {
    return onContext(context, action);
  }

  private static <T> T onContext(Context context, Callable<Future<T>> action) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          try {
            action.call().onSuccess(done::complete).onFailure(done::completeExceptionally);
          } catch (Exception e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(15, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws Exception {
    control.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
