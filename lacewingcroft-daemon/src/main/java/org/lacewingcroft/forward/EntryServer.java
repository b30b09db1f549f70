package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.EntryShutdown;
import org.lacewingcroft.fleet.FleetSettings;
import org.lacewingcroft.gateway.HopAuthenticator;
import org.lacewingcroft.http.AbortedResponses;
import org.lacewingcroft.http.CallerConnections;
import org.lacewingcroft.http.RequestAccount;
import org.lacewingcroft.http.RequestMemory;
import org.lacewingcroft.http.StrictRequestDecoder;
import org.lacewingcroft.http.UnsentResponses;
import org.lacewingcroft.limit.FairShares;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;

/**
 * The HTTP servers of an entry: the public server for callers, and the relay server for other
 * entries, which have already selected the service and need an endpoint of this region.
 */
public final class EntryServer implements EntryShutdown.RequestsInFlight {
  private static final System.Logger LOG = System.getLogger(EntryServer.class.getName());

  /**
   * Idle timeout of relay connections, well above the idle timeout of the entry that opened them.
   */
  private static final int RELAY_IDLE_TIMEOUT_SECONDS = 75;

  /** Maximum size of a relayed request head: a caller's head and the relay headers added to it. */
  private static final int MAX_RELAY_HEAD_BYTES = 131_072;

  /** Connections that may wait to be accepted while the event loop is busy. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Interval at which missing connections to relay partners are opened. */
  private static final long RELAY_CONNECTION_CHECK_INTERVAL_MILLIS = 1_000;

  /**
   * Retry delay sent while API keys cannot be checked; control instances usually respond by then.
   */
  private static final Duration KEY_CHECK_RETRY_AFTER = Duration.ofSeconds(1);

  /** Retry delay sent before this entry has received its first routes. */
  private static final Duration STARTUP_RETRY_AFTER = Duration.ofMillis(500);

  /** Kinds of senders of requests, in metrics. */
  private static final String CALLER = "caller";

  private static final String ENTRY = "entry";

  private final Vertx vertx;
  private final EntryNode node;
  private final HeaderNames headerNames;
  private final RequestReader reader;
  private final ForwardContext context;
  private final EndpointLoadReader loadReader;
  private final EndpointProber prober;
  private final InstantSource clock;
  private final HopAuthenticator hopAuthenticator;
  private final CallerConnections callerConnections;
  private final OverloadGate overload;
  private final RequestBodies bodies;
  private final RequestMemory requestMemory;
  private final LinkTraffic traffic = new LinkTraffic();
  private final UnsentResponses unsent = new UnsentResponses();
  private final boolean reportsPressure;
  private HttpServer publicServer;
  private HttpServer relayServer;

  /**
   * Creates the servers; {@link #listen} binds them.
   *
   * @param requestMemory the memory of the process, which bounds what is held for requests
   */
  public EntryServer(
      Vertx vertx,
      FleetSettings settings,
      EntryNode node,
      HeaderNames headerNames,
      GatewayMetrics metrics,
      RequestMemory requestMemory,
      InstantSource clock) {
    this.vertx = vertx;
    this.node = node;
    this.headerNames = headerNames;
    this.reader = new RequestReader(headerNames);
    this.clock = clock;
    this.hopAuthenticator = new HopAuthenticator(settings.secret());
    this.reportsPressure = settings.reportsPressure();
    this.overload = new OverloadGate(node.eventLoop(), reader, metrics, clock);
    this.bodies = new RequestBodies(vertx, () -> limits().maxBodyBytes(), overload);
    this.requestMemory = requestMemory;
    this.callerConnections = new CallerConnections(vertx, clock, () -> limits().idleTimeout());
    this.loadReader = new EndpointLoadReader(headerNames.endpointLoad(), metrics, clock);
    UpstreamConnections connections =
        new UpstreamConnections(
            vertx,
            settings.upstreamBindAddress(),
            clock,
            traffic,
            headerNames,
            metrics,
            node::connectionsLost);
    this.prober = new EndpointProber(vertx, node, connections, headerNames, loadReader, clock);
    node.useConnections(prober);
    this.context =
        new ForwardContext(
            vertx,
            node,
            connections,
            headerNames,
            new AdvertisedConditionsReader(headerNames, node, loadReader),
            hopAuthenticator,
            settings.region(),
            metrics,
            clock,
            new AbortedResponses(this::configuration, metrics, clock),
            ConcurrentHashMap.newKeySet());
    settings
        .capacity()
        .ifPresent(
            capacity ->
                node.usePressure(
                    new PressureMeter(
                        capacity,
                        traffic,
                        node.eventLoop().load()::utilization,
                        () -> context.inFlight().size(),
                        clock)));
  }

  /** Binds both servers and starts to keep connections to the relay partners open. */
  public Future<Void> listen(SocketAddress publicAddress, SocketAddress relayAddress) {
    HttpServerOptions publicOptions = serverOptions();
    publicServer =
        vertx
            .createHttpServer(publicOptions)
            .connectionHandler(
                connection -> {
                  node.eventLoop().activity();
                  RequestAccount account =
                      RequestAccount.install(connection, requestMemory, /* chargesHeads= */ false);
                  StrictRequestDecoder.install(
                      connection,
                      publicOptions,
                      this::limits,
                      overload::onRequestHead,
                      Optional.of(account));
                  countTraffic(connection);
                  callerConnections.onConnectionOpened(connection);
                })
            .requestHandler(this::handleCaller);
    relayServer =
        vertx
            .createHttpServer(
                serverOptions()
                    .setIdleTimeout(RELAY_IDLE_TIMEOUT_SECONDS)
                    .setIdleTimeoutUnit(TimeUnit.SECONDS)
                    .setMaxHeaderSize(MAX_RELAY_HEAD_BYTES)
                    .setMaxInitialLineLength(MAX_RELAY_HEAD_BYTES))
            .connectionHandler(
                connection -> {
                  RequestAccount.install(connection, requestMemory, /* chargesHeads= */ true);
                  countTraffic(connection);
                })
            .requestHandler(this::handleRelayed);
    vertx.setPeriodic(RELAY_CONNECTION_CHECK_INTERVAL_MILLIS, id -> openRelayConnections());
    prober.start();
    return relayServer
        .listen(relayAddress)
        .compose(s -> publicServer.listen(publicAddress))
        .mapEmpty();
  }

  /** Counts the bytes of a connection if they are reported; each one passes the counter. */
  private void countTraffic(HttpConnection connection) {
    if (reportsPressure) {
      traffic.install(connection);
    }
  }

  private void openRelayConnections() {
    node.relayPartners().forEach(this::ensureRelayConnection);
  }

  /**
   * Ensures that there is a connection to a relay partner. A partner that cannot be reached is
   * marked unreachable before a request has to wait for the connect timeout.
   */
  private void ensureRelayConnection(EntryInfo partner) {
    context
        .connectionPool()
        .ensureIdleConnection(partner.relayAddress(), UpstreamConnections.RELAY_IDLE_TIMEOUT)
        .onFailure(
            e -> {
              node.entryUnreachable(partner);
              LOG.log(
                  System.Logger.Level.INFO,
                  "relay.not_connected",
                  "entry",
                  partner.name(),
                  "error",
                  String.valueOf(e.getMessage()));
            });
  }

  private static HttpServerOptions serverOptions() {
    return new HttpServerOptions()
        .setTcpNoDelay(true)
        .setAcceptBacklog(ACCEPT_BACKLOG)
        .setHttp2ClearTextEnabled(false)
        .setPerFrameWebSocketCompressionSupported(false)
        .setPerMessageWebSocketCompressionSupported(false)
        .setHandle100ContinueAutomatically(true);
  }

  private RequestLimits limits() {
    return node.routing().table().limits();
  }

  private AbortedResponses.Configuration configuration() {
    return new AbortedResponses.Configuration(
        node.routing().table().version(), Optional.of(node.routing().tableSince()));
  }

  /** Returns the port at which the public server listens. */
  int publicPort() {
    return publicServer.actualPort();
  }

  @Override
  public int inFlight() {
    return context.inFlight().size() + bodies.unstarted() + unsent.count();
  }

  @Override
  public void refuseUnstarted() {
    bodies.refuseUnstarted(EntryServer::sendShuttingDown);
  }

  @Override
  public void abortInFlight() {
    List.copyOf(context.inFlight()).forEach(ForwardCall::abort);
  }

  private void handleCaller(HttpServerRequest request) {
    final Instant arrivedAt = overload.arrivalOf(request);
    node.requestArrived();
    CallerResponse response = new CallerResponse(request, headerNames.requestId(), false, unsent);
    request.exceptionHandler(e -> {});
    callerConnections.onRequest(request);
    if (refuseAtShutdown(response)) {
      return;
    }
    if (node.routing().revision() == 0) {
      response.sendError(503, "no routes are known yet", true, Optional.of(STARTUP_RETRY_AFTER));
      return;
    }
    Optional<Route> route =
        node.routing()
            .table()
            .match(hostOf(request), Optional.ofNullable(request.path()).orElse(""));
    if (route.isEmpty()) {
      logRejected(request, "no route for " + hostOf(request) + request.path());
      response.sendError(404, "no route matches the host and path", true, Optional.empty());
      return;
    }
    String id = request.getHeader(headerNames.requestId());
    if (id == null || id.isEmpty()) {
      response.sendError(
          400, "the header " + headerNames.requestId() + " is missing", true, Optional.empty());
      return;
    }
    CallerAccess access =
        CallerAccess.check(
            node.routing().table(),
            route.get(),
            request.getHeader(HttpHeaders.AUTHORIZATION),
            node.canVerifyApiKeys(),
            KEY_CHECK_RETRY_AFTER);
    if (access instanceof CallerAccess.Denied denied) {
      logRejected(request, denied.reason());
      response.sendError(denied.status(), denied.reason(), true, denied.retryAfter());
      return;
    }
    CallerAccess.Granted granted = (CallerAccess.Granted) access;
    try {
      Handling handling = handlingOf(route.get(), granted);
      forward(request, response, handling, arrivedAt, granted.organisation());
    } catch (CallerAccess.NoRegionException e) {
      logRejected(request, e.getMessage());
      response.sendError(503, e.getMessage(), true, Optional.empty());
    }
  }

  /** Refuses a request that may not complete before this entry ends; returns whether it did. */
  private boolean refuseAtShutdown(CallerResponse response) {
    if (node.admitsRequests()) {
      return false;
    }
    sendShuttingDown(response);
    return true;
  }

  private static void sendShuttingDown(CallerResponse response) {
    response.closeConnectionAfterResponse();
    response.sendError(
        503, "this entry is shutting down", true, Optional.of(ForwardContext.SHUTDOWN_RETRY_AFTER));
  }

  private Handling handlingOf(Route route, CallerAccess.Granted access)
      throws CallerAccess.NoRegionException {
    String service = route.pickService(ThreadLocalRandom.current().nextDouble());
    return Handling.of(
        route,
        service,
        access.priorityOrDefault(node.routing().table().queuePriority(route, service)),
        access.allowedRegions(route),
        access.organisation().map(Organisation::name));
  }

  /** Reads the body, charges the organisation's quota and forwards the request. */
  private void forward(
      HttpServerRequest request,
      CallerResponse response,
      Handling handling,
      Instant arrivedAt,
      Optional<Organisation> organisation) {
    if (!overload.admit(request, response, handling, arrivedAt, CALLER)) {
      return;
    }
    boolean requiresApiKeys = node.routing().table().requiresApiKeys();
    bodies.read(
        request,
        response,
        remainingOf(handling, arrivedAt),
        CALLER,
        body -> {
          ForwardRequest forwardRequest =
              reader.read(request, body, handling, arrivedAt, requiresApiKeys);
          QuotaCharge charge =
              QuotaCharge.of(organisation, forwardRequest.totalTokens(), node.quotas());
          Optional<Duration> retryAfter = charge.charge(clock.instant());
          if (retryAfter.isPresent()) {
            logRejected(
                request, "the quota of " + handling.organisation().orElse("") + " is used up");
            response.sendError(429, "the organisation's quota is used up", true, retryAfter);
          } else if (isWithinShare(request, response, forwardRequest, charge)) {
            new ForwardCall(context, forwardRequest, response, false, charge).start();
          }
        });
  }

  /**
   * Returns whether the organisation of a request is within its share of the service's capacity;
   * refuses the request if it is not.
   */
  private boolean isWithinShare(
      HttpServerRequest request,
      CallerResponse response,
      ForwardRequest forwardRequest,
      QuotaCharge charge) {
    Handling handling = forwardRequest.handling();
    String service = handling.service();
    String organisation = handling.organisation().orElse("");
    if (organisation.isEmpty()) {
      return true;
    }
    boolean engine = node.routing().table().engine(service).isPresent();
    FairShares.Request shareRequest =
        new FairShares.Request(
            organisation,
            service,
            handling.priority(),
            engine ? Math.max(1, forwardRequest.totalTokens()) : 1,
            String.valueOf(request.remoteAddress()));
    Optional<Duration> retryAfter = node.sharing().admit(shareRequest);
    if (retryAfter.isEmpty()) {
      charge.withShareRefund(() -> node.sharing().refund(shareRequest));
      return true;
    }
    charge.refund(clock.instant());
    context.metrics().shareRefusals.labelValues(service, organisation).inc();
    logRejected(request, organisation + " exceeds its share of " + service);
    response.sendError(
        503, "the organisation exceeds its share of an overloaded service", true, retryAfter);
    return false;
  }

  private static String hostOf(HttpServerRequest request) {
    String host = request.getHeader("Host");
    return host == null ? "" : host.toLowerCase(Locale.ROOT);
  }

  /** Logs a request that this entry rejects without forwarding it. */
  static void logRejected(HttpServerRequest request, String reason) {
    LOG.log(
        System.Logger.Level.INFO,
        "request.rejected",
        "path",
        String.valueOf(request.path()),
        "why",
        reason);
  }

  /** Returns the part of a request's timeout that is left after it has waited unread. */
  private Duration remainingOf(Handling handling, Instant arrivedAt) {
    return handling.timeout().minusMillis(Duration.between(arrivedAt, clock.instant()).toMillis());
  }

  private void handleRelayed(HttpServerRequest request) {
    final Instant arrivedAt = overload.arrivalOf(request);
    node.requestArrived();
    CallerResponse response = new CallerResponse(request, headerNames.requestId(), true, unsent);
    request.exceptionHandler(e -> {});
    if (refuseAtShutdown(response)) {
      return;
    }
    try {
      String id = request.getHeader(headerNames.requestId());
      boolean verified =
          id != null
              && hopAuthenticator.verify(request::getHeader, id)
                  == HopAuthenticator.Hop.ACROSS_REGIONS;
      if (!verified) {
        throw new IllegalArgumentException("the request carries no entry's mark");
      }
      Handling decoded =
          Handling.decodeFromRelay(
              Optional.ofNullable(request.getHeader(ForwardContext.HANDLING_HEADER)).orElse(""));
      Duration remaining =
          Duration.ofMillis(Long.parseLong(request.getHeader(ForwardContext.DUE_MILLIS_HEADER)));
      Handling handling =
          new Handling(
              decoded.route(),
              decoded.service(),
              decoded.kind(),
              decoded.resumable(),
              decoded.priority(),
              /* maxAttempts= */ 1,
              decoded.firstByteObjective(),
              remaining,
              decoded.allowedRegions(),
              decoded.organisation());
      if (!overload.admit(request, response, handling, arrivedAt, ENTRY)) {
        return;
      }
      bodies.read(
          request,
          response,
          remainingOf(handling, arrivedAt),
          ENTRY,
          body ->
              new ForwardCall(
                      context,
                      reader.read(request, body, handling, arrivedAt, /* dropApiKey= */ false),
                      response,
                      true,
                      QuotaCharge.none(node.quotas()))
                  .start());
    } catch (GatewayException | IllegalArgumentException e) {
      logRejected(request, e.getMessage());
      response.sendError(400, e.getMessage(), true, Optional.empty());
    }
  }

  /** Closes both servers. */
  public Future<Void> close() {
    return publicServer.close().compose(v -> relayServer.close());
  }
}
