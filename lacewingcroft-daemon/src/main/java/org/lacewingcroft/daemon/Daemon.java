package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.control.ChangeResult;
import org.lacewingcroft.control.ControlService;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.gateway.EndpointRegistry;
import org.lacewingcroft.gateway.EntryGateway;
import org.lacewingcroft.gateway.ErrorReply;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;
import org.lacewingcroft.routing.RoutingPolicies;

/**
 * One running daemon of either role: its HTTP API, peer transport, membership and, for the control
 * role, the configuration log. Closing it is a graceful shutdown.
 */
public final class Daemon implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(Daemon.class.getName());
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHANGE_ID_HEADER = "X-Change-Id";
  private static final String EXPECTED_VERSION_HEADER = "X-Expected-Version";

  private final Settings settings;
  private final InstantSource clock = InstantSource.system();
  private final Vertx vertx;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ConfigStore configs = new ConfigStore();
  private final EndpointRegistry endpoints;
  private final PeerTransport transport;
  private Membership membership;
  private EntryGateway gateway;
  private ControlService control;
  private HttpServer httpServer;
  private int httpPort;
  private int peerPort;

  private Daemon(Settings settings) {
    this.settings = settings;
    this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
    this.endpoints = new EndpointRegistry(clock, settings.endpointLease());
    this.transport = new PeerTransport(vertx, new FrameCodec(settings.secret()));
  }

  /**
   * Starts a daemon and returns once it listens.
   *
   * @param settings checked settings
   * @return the running daemon
   * @throws Exception if a port cannot be bound or the data folder cannot be used
   */
  public static Daemon start(Settings settings) throws Exception {
    Daemon daemon = new Daemon(settings);
    daemon.startServices();
    return daemon;
  }

  private void startServices() throws Exception {
    peerPort = await(transport.listen(settings.host(), settings.peerPort(), this::onPeerMessage));
    final long incarnation = clock.millis();
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create().setBodyLimit(settings.maxBodyBytes()));
    router.errorHandler(
        413,
        ctx ->
            ErrorReply.send(
                ctx.response(),
                ErrorKind.PAYLOAD_TOO_LARGE,
                "the body exceeds " + settings.maxBodyBytes() + " bytes",
                Optional.empty()));
    router.get("/metrics").handler(this::metricsPage);
    router.get("/healthz").handler(ctx -> ctx.response().end("ok\n"));
    router.get("/v1/entries").handler(this::entriesPage);
    router.get("/v1/config").handler(this::configPage);
    httpServer = vertx.createHttpServer(new HttpServerOptions().setHost(settings.host()));
    httpPort = await(httpServer.requestHandler(router).listen(settings.httpPort())).actualPort();
    MemberInfo self =
        new MemberInfo(
            settings.nodeId(),
            settings.role().spelling(),
            settings.region(),
            settings.failureDomain(),
            settings.host() + ":" + peerPort,
            settings.host() + ":" + httpPort,
            incarnation);
    membership =
        new Membership(self, settings.peers(), transport, clock, settings.heartbeatInterval());
    if (settings.role() == Role.CONTROL) {
      control = new ControlService(vertx, settings.dataDir().orElseThrow(), configs, membership);
      router.put("/v1/config").handler(this::applyConfig);
    } else {
      gateway =
          new EntryGateway(
              vertx,
              settings.region(),
              new org.lacewingcroft.routing.Router(
                  settings.region(), RoutingPolicies.named(settings.routingPolicy()).orElseThrow()),
              configs,
              endpoints,
              membership,
              metrics,
              clock);
      router.post("/v1/chat/completions").handler(gateway::handleChat);
      router.post(EntryGateway.SERVICES_PREFIX + ":service/*").handler(gateway::handleService);
      router.post("/v1/endpoints/announce").handler(this::announce);
      router.get("/v1/endpoints").handler(this::endpointsPage);
    }
    vertx.setPeriodic(settings.heartbeatInterval().toMillis(), id -> heartbeat());
    heartbeat();
    writePortFile();
    LOG.log(
        System.Logger.Level.INFO,
        "daemon.started",
        "role",
        settings.role().spelling(),
        "region",
        settings.region(),
        "http",
        self.httpAddress(),
        "peer",
        self.peerAddress());
  }

  /** Returns the HTTP port bound. */
  public int httpPort() {
    return httpPort;
  }

  /** Returns the peer port bound. */
  public int peerPort() {
    return peerPort;
  }

  private void heartbeat() {
    membership.beat(
        configs.current().version(),
        gateway == null ? java.util.Map.of() : gateway.freeSlotsByModel());
    metrics.configVersion.set(configs.current().version());
    metrics.endpoints.set(endpoints.snapshot().size());
    metrics.members.set(membership.table().all().size());
    metrics.framesRejected.set(transport.framesRejected());
    metrics.staleConfigOffers.set(configs.staleOffers());
  }

  private void onPeerMessage(String stamp, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat h) {
      membership.onHeartbeat(h);
      if (h.configVersion() > configs.current().version()) {
        transport.send(
            h.sender().peerAddress(),
            new PeerMessage.ConfigRequest(
                configs.current().version(), membership.self().peerAddress()));
      }
    } else if (message instanceof PeerMessage.ConfigOffer offer) {
      ConfigStore.Outcome outcome = configs.offer(offer.version(), offer.document());
      if (outcome == ConfigStore.Outcome.APPLIED) {
        metrics.configVersion.set(offer.version());
        LOG.log(System.Logger.Level.INFO, "config.applied", "version", offer.version());
      }
    } else if (message instanceof PeerMessage.ConfigRequest request) {
      ConfigStore.Applied current = configs.current();
      if (current.version() > request.haveVersion()) {
        transport.send(
            request.replyTo(), new PeerMessage.ConfigOffer(current.version(), current.document()));
      }
    } else if (message instanceof PeerMessage.EndpointAnnounce announce) {
      endpoints.put(announce.endpoint());
    } else if (message instanceof PeerMessage.IdempotencyRecord record && gateway != null) {
      gateway.idempotencyTable().merge(record.entry());
    }
  }

  private void announce(RoutingContext ctx) {
    try {
      Endpoint endpoint = endpoints.announce(ctx.body().buffer().getBytes());
      membership.broadcast("entry", settings.region(), new PeerMessage.EndpointAnnounce(endpoint));
      ObjectNode reply = JSON.createObjectNode();
      reply.put("leaseExpiresAt", endpoint.leaseExpiresAt().toString());
      reply.put("configVersion", configs.current().version());
      ctx.response().putHeader("Content-Type", "application/json").end(reply.toString());
    } catch (GatewayException e) {
      ErrorReply.send(ctx.response(), e.kind(), e.detail(), Optional.empty());
    }
  }

  private void endpointsPage(RoutingContext ctx) {
    ArrayNode list = JSON.createArrayNode();
    endpoints.snapshot().all().stream()
        .sorted(Comparator.comparing(Endpoint::id))
        .forEach(
            e -> {
              ObjectNode n = list.addObject();
              n.put("id", e.id());
              n.put("url", e.baseUrl());
              n.put("region", e.region());
              n.put("failureDomain", e.failureDomain());
              n.put("kind", e.kind().name().toLowerCase(java.util.Locale.ROOT));
              n.set("labels", JSON.valueToTree(e.labels()));
              n.set("models", JSON.valueToTree(e.models()));
              n.put("capacity", e.capacity());
              n.put("load", e.reportedLoad());
              n.put("draining", e.draining());
              n.put("leaseExpiresAt", e.leaseExpiresAt().toString());
            });
    ctx.response().putHeader("Content-Type", "application/json").end(list.toString());
  }

  private void entriesPage(RoutingContext ctx) {
    String region = Optional.ofNullable(ctx.request().getParam("region")).orElse(settings.region());
    Instant now = clock.instant();
    List<Member> alive = membership.table().alive("entry", null, now);
    ArrayNode list = JSON.createArrayNode();
    java.util.stream.Stream.concat(selfAsEntry().stream(), alive.stream().map(Member::info))
        .distinct()
        .sorted(
            Comparator.comparing((MemberInfo m) -> !m.region().equals(region))
                .thenComparing(MemberInfo::nodeId))
        .forEach(
            m -> {
              ObjectNode n = list.addObject();
              n.put("node", m.nodeId());
              n.put("region", m.region());
              n.put("failureDomain", m.failureDomain());
              n.put("url", "http://" + m.httpAddress());
            });
    ObjectNode reply = JSON.createObjectNode();
    reply.set("entries", list);
    ctx.response().putHeader("Content-Type", "application/json").end(reply.toString());
  }

  private Optional<MemberInfo> selfAsEntry() {
    if (settings.role() != Role.ENTRY || gateway.shuttingDown()) {
      return Optional.empty();
    }
    return Optional.of(membership.self());
  }

  private void configPage(RoutingContext ctx) {
    ConfigStore.Applied current = configs.current();
    ctx.response()
        .putHeader("Content-Type", "application/yaml")
        .putHeader("X-Config-Version", Long.toString(current.version()))
        .end(current.document());
  }

  private void applyConfig(RoutingContext ctx) {
    String changeId = ctx.request().getHeader(CHANGE_ID_HEADER);
    String expected = ctx.request().getHeader(EXPECTED_VERSION_HEADER);
    if (changeId == null || expected == null || !expected.matches("\\d{1,18}")) {
      ErrorReply.send(
          ctx.response(),
          ErrorKind.MALFORMED_REQUEST,
          "a change needs headers " + CHANGE_ID_HEADER + " and " + EXPECTED_VERSION_HEADER,
          Optional.empty());
      return;
    }
    String document = ctx.body().asString(StandardCharsets.UTF_8.name());
    control
        .apply(changeId, Long.parseLong(expected), document)
        .onSuccess(
            result -> {
              if (result instanceof ChangeResult.Accepted a) {
                ObjectNode reply = JSON.createObjectNode();
                reply.put("version", a.version());
                reply.put("duplicate", a.duplicate());
                ctx.response().putHeader("Content-Type", "application/json").end(reply.toString());
              } else {
                ChangeResult.Conflict c = (ChangeResult.Conflict) result;
                ErrorReply.send(
                    ctx.response(),
                    ErrorKind.VERSION_CONFLICT,
                    "the change expects version "
                        + expected
                        + " but version "
                        + c.currentVersion()
                        + " is in force; rebase on "
                        + c.currentVersion(),
                    Optional.empty());
              }
            })
        .onFailure(
            e -> {
              GatewayException g =
                  e instanceof GatewayException ge ? ge : ControlService.diskFailure(e);
              ErrorReply.send(ctx.response(), g.kind(), g.detail(), Optional.empty());
            });
  }

  private void metricsPage(RoutingContext ctx) {
    ctx.response()
        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        .end(metrics.scrape());
  }

  private void writePortFile() throws IOException {
    if (settings.portFile().isEmpty()) {
      return;
    }
    Path file = settings.portFile().get();
    ObjectNode ports = JSON.createObjectNode();
    ports.put("http", httpPort);
    ports.put("peer", peerPort);
    Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
    Files.writeString(temporary, ports.toString());
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Shuts down gracefully: stops taking new requests, waits for requests in flight up to the drain
   * timeout, then closes the servers.
   */
  @Override
  public void close() throws Exception {
    LOG.log(System.Logger.Level.INFO, "daemon.draining", "role", settings.role().spelling());
    long deadline = System.nanoTime() + settings.drainTimeout().toNanos();
    if (gateway != null) {
      gateway.beginShutdown();
      while (gateway.inFlight() > 0 && System.nanoTime() < deadline) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }
    final int left = gateway == null ? 0 : gateway.inFlight();
    transport.close();
    await(vertx.close());
    if (control != null) {
      control.close();
    }
    LOG.log(System.Logger.Level.INFO, "daemon.stopped", "cutRequests", left);
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
  }
}
