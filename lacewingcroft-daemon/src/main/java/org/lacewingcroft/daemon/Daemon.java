package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.config.ConfigReceiver;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.control.ControlService;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.gateway.EndpointRegistry;
import org.lacewingcroft.gateway.EntryGateway;
import org.lacewingcroft.gateway.ErrorReply;
import org.lacewingcroft.gateway.HopAuthenticator;
import org.lacewingcroft.http.RequestAccount;
import org.lacewingcroft.http.RequestMemory;
import org.lacewingcroft.http.RequestMemoryReporter;
import org.lacewingcroft.http.StrictRequestDecoder;
import org.lacewingcroft.lifecycle.EndMarker;
import org.lacewingcroft.lifecycle.ErrorReporter;
import org.lacewingcroft.lifecycle.FileDescriptors;
import org.lacewingcroft.lifecycle.PreviousEnd;
import org.lacewingcroft.membership.Gossiper;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.LinkFaults;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.routing.RoutingPolicies;

/**
 * A running daemon of either role: its HTTP API, peer transport, membership and, for the control
 * role, the configuration log. Closing it shuts it down gracefully.
 */
public final class Daemon implements AutoCloseable {
  /** The cache of files, which nothing uses, cannot be opened once the process is stopping. */
  private static final FileSystemOptions FILES =
      new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);

  private static final System.Logger LOG = System.getLogger(Daemon.class.getName());
  private static final int MEMBER_ERROR_EXIT_CODE = 3;
  private static final int MIN_DRAIN_HEARTBEATS = 4;

  private final Settings settings;
  private final EndMarker marker;
  private final ErrorReporter errors;
  private final InstantSource clock = new MonotonicInstantSource();
  private final Vertx vertx;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final RequestMemory requestMemory =
      new RequestMemory(
          Runtime.getRuntime().maxMemory(),
          FileDescriptors.limit(),
          new RequestMemoryReporter(metrics));
  private final ConfigStore configs = new ConfigStore();
  private final ConfigReceiver configReceiver;
  private final EndpointRegistry endpoints;
  private final PeerTransport transport;
  private volatile Membership membership;
  private volatile EntryGateway gateway;
  private volatile ControlService control;
  private volatile boolean started;
  private HttpServer httpServer;
  private int httpPort;
  private int peerPort;

  private Daemon(Settings settings, EndMarker marker, ErrorReporter errors) {
    this.settings = settings;
    this.marker = marker;
    this.errors = errors;
    this.vertx =
        Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4).setFileSystemOptions(FILES));
    errors.reportHandlersOf(vertx);
    configs.onApplied(this::notifyPeers);
    this.configReceiver = new ConfigReceiver(configs, settings.heartbeatInterval().multipliedBy(3));
    this.endpoints = new EndpointRegistry(clock, settings.endpointLease());
    this.transport = new PeerTransport(vertx, new FrameCodec(settings.secret()));
  }

  /**
   * Starts a daemon and returns when it is listening.
   *
   * @param settings the validated settings
   * @return the running daemon
   * @throws Exception if a port cannot be bound or the data folder cannot be used
   */
  public static Daemon start(Settings settings) throws Exception {
    EndMarker marker = createMarker(settings);
    return start(settings, marker, new ErrorReporter(marker, new MonotonicInstantSource()));
  }

  static Daemon start(Settings settings, EndMarker marker, ErrorReporter errors) throws Exception {
    PreviousEnd previous = marker.begin(settings.bootstrap());
    Daemon daemon = new Daemon(settings, marker, errors);
    daemon.startServices(previous);
    return daemon;
  }

  static EndMarker createMarker(Settings settings) {
    return new EndMarker(settings.dataDir(), InstantSource.system());
  }

  private void startServices(PreviousEnd previous) throws Exception {
    peerPort = await(transport.listen(settings.host(), settings.peerPort(), this::onPeerMessage));
    final long incarnation = clock.millis();
    Router router = Router.router(vertx);
    router.route().handler(this::prepareRefusalForMemory);
    router.route().handler(BodyHandler.create().setBodyLimit(settings.maxBodyBytes()));
    router.errorHandler(
        413,
        ctx ->
            ErrorReply.send(
                ctx.response(),
                ErrorKind.PAYLOAD_TOO_LARGE,
                "the body exceeds " + settings.maxBodyBytes() + " bytes",
                Optional.empty()));
    router.errorHandler(
        404,
        ctx ->
            ErrorReply.send(
                ctx.response(),
                ErrorKind.UNKNOWN_PATH,
                "nothing is served at " + ctx.request().method() + " " + ctx.request().path(),
                Optional.empty()));
    router.route().handler(this::rejectWhileStarting);
    router.get("/metrics").handler(this::serveMetrics);
    router.get("/readyz").handler(this::serveReadiness);
    router.get("/healthz").handler(ctx -> ctx.response().end("ok\n"));
    HttpServerOptions options =
        new HttpServerOptions().setHost(settings.host()).setHttp2ClearTextEnabled(false);
    httpServer =
        vertx
            .createHttpServer(options)
            .connectionHandler(
                connection -> {
                  RequestAccount account =
                      RequestAccount.installForBodies(connection, requestMemory);
                  StrictRequestDecoder.install(
                      connection,
                      options,
                      () -> RequestLimits.DEFAULT,
                      channel -> {},
                      Optional.of(account));
                });
    httpPort = await(httpServer.requestHandler(router).listen(settings.httpPort())).actualPort();
    MemberInfo self =
        new MemberInfo(
            settings.nodeId(),
            settings.role().wireName(),
            settings.region(),
            settings.failureDomain(),
            settings.host() + ":" + peerPort,
            settings.host() + ":" + httpPort,
            incarnation);
    membership =
        new Membership(self, settings.peers(), transport, clock, settings.heartbeatInterval());
    ConfigApi configApi = new ConfigApi(vertx, configs, membership, metrics);
    configApi.mountRead(router, this::isConfigCurrent);
    DirectoryApi directoryApi =
        new DirectoryApi(membership, endpoints, configs, clock, this::acceptsRequests);
    directoryApi.mountEntries(router);
    if (settings.role() == Role.CONTROL) {
      startControl();
      configApi.mountControl(router, control);
    } else {
      startGateway(router);
      directoryApi.mountEndpoints(router);
      new QuarantineApi(gateway).mount(router);
    }
    if (settings.faultInjection()) {
      new FaultApi(membership, this::injectFaults).mount(router);
    }
    started = true;
    vertx.setPeriodic(settings.heartbeatInterval().toMillis(), id -> heartbeat());
    heartbeat();
    writePortFile();
    LOG.log(
        System.Logger.Level.INFO,
        "daemon.started",
        "role",
        settings.role().wireName(),
        "region",
        settings.region(),
        "http",
        self.httpAddress(),
        "peer",
        self.peerAddress(),
        "previousEnd",
        previous.cause(),
        "previousStartedAt",
        PreviousEnd.logged(previous.startedAt()),
        "previousEndedAt",
        PreviousEnd.logged(previous.endedAt()));
  }

  /**
   * Rejects requests until all routes are mounted. The port is open before that, and callers must
   * not receive a 404 for a route that is about to be mounted.
   */
  private void rejectWhileStarting(RoutingContext ctx) {
    if (started) {
      ctx.next();
    } else {
      ErrorReply.send(
          ctx.response(), ErrorKind.NOT_RUN, "this daemon is starting", Optional.empty());
    }
  }

  /** Sets the response to a request that is ended for memory before its body is complete. */
  private void prepareRefusalForMemory(RoutingContext ctx) {
    RequestAccount.of(ctx.request())
        .onRefusal(
            () -> {
              // A complete request may run already.
              if (!ctx.response().ended() && !ctx.request().isEnded()) {
                ErrorReply.setRetryAfter(ctx.response(), RequestMemory.RETRY_AFTER);
                ErrorReply.send(
                    ctx.response(),
                    ErrorKind.NOT_RUN,
                    "too many large requests are in progress",
                    Optional.empty());
              }
            });
    ctx.next();
  }

  private void startControl() {
    List<String> group =
        settings.controlGroup().isEmpty() ? List.of(settings.nodeId()) : settings.controlGroup();
    control =
        new ControlService(
            group,
            settings.dataDir().orElseThrow(),
            settings.bootstrap(),
            configs,
            membership,
            error -> errors.reportAndHalt(error, MEMBER_ERROR_EXIT_CODE));
    control.start();
  }

  private void startGateway(Router router) {
    EntryGateway.Limits limits =
        new EntryGateway.Limits(
            settings.maxInFlight(), Optional.of(settings.hedgeAfter()).filter(d -> !d.isZero()));
    gateway =
        new EntryGateway(
            vertx,
            new org.lacewingcroft.routing.Router(
                settings.region(), RoutingPolicies.named(settings.routingPolicy()).orElseThrow()),
            configs,
            endpoints,
            membership,
            new HopAuthenticator(settings.secret()),
            limits,
            metrics,
            clock);
    router.post("/v1/chat/completions").handler(gateway::handleChat);
    router.post(EntryGateway.SERVICES_PREFIX + ":service/*").handler(gateway::handleService);
  }

  private boolean acceptsRequests() {
    return gateway != null
        && !gateway.shuttingDown()
        && isConfigCurrent()
        && membership.converged();
  }

  private boolean isConfigCurrent() {
    long version = configs.current().version();
    return control == null ? version > 0 : control.status().isCurrent(version);
  }

  private void injectFaults(LinkFaults faults) {
    transport.setFaults(faults);
    if (gateway != null) {
      gateway.setFaults(faults);
    }
    LOG.log(
        System.Logger.Level.WARNING,
        "faults.injected",
        "cutRegions",
        faults.cutRegions(),
        "delayMillis",
        faults.delayMillis());
  }

  /** Returns the bound HTTP port. */
  public int httpPort() {
    return httpPort;
  }

  /** Returns the bound peer port. */
  public int peerPort() {
    return peerPort;
  }

  /** Notifies peers of a newly activated version; the leader notifies every region. */
  private void notifyPeers(long version) {
    boolean isLeader = control != null && control.isLeader();
    membership.sendToRandomMembers(
        new PeerMessage.ConfigNotice(version, membership.self().peerAddress()), isLeader);
  }

  private void heartbeat() {
    configReceiver.tick(clock.instant());
    membership.sendRound(
        new Gossiper.SelfReport(
            gateway != null && gateway.shuttingDown(),
            configs.current().version(),
            gateway == null ? Map.of() : gateway.freeSlotsByModel()));
    if (gateway != null) {
      gateway.keys().expireAndHandOver();
      metrics.keyRecords.set(gateway.keys().recordCount());
    }
    metrics.configVersion.set(configs.current().version());
    metrics.endpoints.set(endpoints.snapshot().size());
    metrics.members.set(membership.table().all().size());
    metrics.framesRejected.set(transport.framesRejected());
    metrics.staleConfigOffers.set(configs.staleOffers());
  }

  /**
   * Requests a peer's configuration if its version is newer than any version offered to this entry.
   */
  private void onPeerVersion(String peerAddress, long version) {
    if (settings.role() == Role.ENTRY
        && configReceiver.onReportedVersion(version, clock.instant())) {
      transport.send(
          peerAddress,
          new PeerMessage.ConfigRequest(
              configReceiver.highestOfferedVersion(), membership.self().peerAddress()));
    }
  }

  /**
   * Sends a lagging peer the patches that it lacks, or the whole document if this daemon does not
   * hold them all.
   */
  private void onConfigRequest(PeerMessage.ConfigRequest request) {
    ConfigStore.Applied current = configs.current();
    if (current.version() <= request.senderVersion()) {
      return;
    }
    PeerMessage response =
        configs
            .patchesSince(request.senderVersion())
            .<PeerMessage>map(p -> new PeerMessage.ConfigPatches(request.senderVersion(), p))
            .orElseGet(() -> new PeerMessage.ConfigOffer(current.version(), current.document()));
    transport.send(request.replyTo(), response);
  }

  private void onPeerMessage(String timestamp, PeerMessage message) {
    if (membership == null) {
      return;
    }
    if (message instanceof PeerMessage.Gossip gossip) {
      membership.onGossip(gossip, configs.current().version());
      onPeerVersion(gossip.sender().peerAddress(), gossip.configVersion());
    } else if (message instanceof PeerMessage.ConfigNotice notice) {
      onPeerVersion(notice.replyTo(), notice.version());
    } else if (message instanceof PeerMessage.ConfigOffer offer) {
      if (settings.role() == Role.ENTRY) {
        configReceiver.onOffer(offer.version(), offer.document(), clock.instant());
      }
    } else if (message instanceof PeerMessage.ConfigPatches offer) {
      if (settings.role() == Role.ENTRY) {
        configReceiver.onPatches(offer.baseVersion(), offer.patches());
      }
    } else if (message instanceof PeerMessage.ConfigRequest request) {
      onConfigRequest(request);
    } else if (message instanceof PeerMessage.EndpointAnnounce announce) {
      endpoints.renew(announce.endpoint());
    } else if (message instanceof PeerMessage.Consensus consensus && control != null) {
      control.receive(consensus.from(), consensus.message());
    } else if (gateway != null
        && message instanceof PeerMessage.Fleet fleet
        && fleet.message() instanceof FleetMessage.SuspicionUpdate update) {
      gateway.onSuspicionUpdate(update);
    } else if (gateway != null) {
      gateway.keys().receive(message);
    }
  }

  /**
   * Serves the readiness check: an entry is ready when it accepts requests of callers, a control
   * daemon when its configuration is up to date.
   */
  private void serveReadiness(RoutingContext ctx) {
    boolean ready = settings.role() == Role.ENTRY ? acceptsRequests() : isConfigCurrent();
    ctx.response().setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : "not ready\n");
  }

  private void serveMetrics(RoutingContext ctx) {
    if (control != null) {
      metrics.setControlStorage(control.storage());
    }
    metrics.requestMemoryBytes.set(requestMemory.totalBytes());
    ctx.response()
        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        .end(metrics.scrape());
  }

  private void writePortFile() throws IOException {
    if (settings.portFile().isEmpty()) {
      return;
    }
    Path file = settings.portFile().get();
    ObjectNode ports = JsonReply.JSON.createObjectNode();
    ports.put("http", httpPort);
    ports.put("peer", peerPort);
    Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
    Files.writeString(temporary, ports.toString());
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Shuts down gracefully: stops accepting new requests, notifies peers, waits for requests in
   * flight up to the drain timeout, ends the others, then closes the servers. An entry stays up for
   * at least a few heartbeats, so that peers and callers that still send to it receive a rejection
   * and use another entry instead of losing their connection.
   */
  @Override
  public void close() throws Exception {
    final long startNanos = System.nanoTime();
    LOG.log(
        System.Logger.Level.INFO,
        "daemon.draining",
        "role",
        settings.role().wireName(),
        "inFlight",
        gateway == null ? 0 : gateway.inFlight());
    if (gateway != null) {
      gateway.beginShutdown();
      heartbeat();
      drain();
    }
    final int unfinished = gateway == null ? 0 : gateway.inFlight();
    if (gateway != null) {
      await(gateway.abortInFlight());
    }
    if (control != null) {
      control.close();
    }
    transport.close();
    await(vertx.close());
    LOG.log(
        System.Logger.Level.INFO,
        "daemon.stopped",
        "cutRequests",
        unfinished,
        "millis",
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    marker.markStopped();
  }

  private void drain() throws InterruptedException {
    long startNanos = System.nanoTime();
    Duration minDrain = settings.heartbeatInterval().multipliedBy(MIN_DRAIN_HEARTBEATS);
    long minDrainEndNanos = startNanos + minDrain.toNanos();
    long deadlineNanos =
        startNanos + Math.max(minDrain.toNanos(), settings.drainTimeout().toNanos());
    while (System.nanoTime() < minDrainEndNanos
        || gateway.inFlight() > 0 && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
  }
}
