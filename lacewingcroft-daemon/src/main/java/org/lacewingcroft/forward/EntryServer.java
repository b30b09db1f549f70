package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.FleetSettings;
import org.lacewingcroft.gateway.HopAuthenticator;
import org.lacewingcroft.http.CallerConnections;
import org.lacewingcroft.http.StrictRequestDecoder;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;

/**
 * The HTTP servers of an entry: the public server for callers, and the relay server for entries of
 * other regions, which have already selected the service and need an endpoint of this region.
 */
public final class EntryServer {
  private static final System.Logger LOG = System.getLogger(EntryServer.class.getName());

  /** Idle timeout of relay connections, well above the idle timeout of the entry that opened them. */
  private static final int RELAY_IDLE_SECONDS = 75;

  /** Maximum size of a relayed request head: a caller's head and the relay headers added to it. */
  private static final int MAX_RELAY_HEAD_BYTES = 131_072;

  /** Connections that may wait to be accepted while the event loop is busy. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Interval at which a connection to each relay partner is opened if there is none. */
  private static final long WARM_MILLIS = 1_000;

  /** Retry delay sent while API keys cannot be checked; control instances usually respond by then. */
  private static final Duration RECHECK = Duration.ofSeconds(1);

  /** Retry delay sent before this entry has received its first routes. */
  private static final Duration START_RETRY_AFTER = Duration.ofMillis(500);

  private final Vertx vertx;
  private final EntryNode node;
  private final HeaderNames names;
  private final RequestReader reader;
  private final ForwardContext context;
  private final InstantSource clock;
  private final HopAuthenticator hops;
  private final CallerConnections callers;
  private HttpServer publicServer;
  private HttpServer relayServer;

  /** Creates the servers; {@link #listen} binds them. */
  public EntryServer(
      Vertx vertx,
      FleetSettings settings,
      EntryNode node,
      HeaderNames names,
      GatewayMetrics metrics,
      InstantSource clock) {
    this.vertx = vertx;
    this.node = node;
    this.names = names;
    this.reader = new RequestReader(names);
    this.clock = clock;
    this.hops = new HopAuthenticator(settings.secret());
    this.callers = new CallerConnections(vertx, clock, () -> limits().idleTimeout());
    this.context =
        new ForwardContext(
            vertx,
            node,
            new UpstreamConnections(vertx, clock),
            names,
            new EndpointStatements(names, node),
            hops,
            settings.region(),
            metrics,
            clock,
            new AtomicInteger());
  }

  /** Binds both servers and starts to keep connections to the relay partners open. */
  public Future<Void> listen(SocketAddress publicAddress, SocketAddress relayAddress) {
    HttpServerOptions publicOptions = options();
    publicServer =
        vertx
            .createHttpServer(publicOptions)
            .connectionHandler(
                connection -> {
                  StrictRequestDecoder.install(connection, publicOptions, this::limits);
                  callers.onConnectionOpened(connection);
                })
            .requestHandler(this::handleCaller);
    relayServer =
        vertx
            .createHttpServer(
                options()
                    .setIdleTimeout(RELAY_IDLE_SECONDS)
                    .setIdleTimeoutUnit(TimeUnit.SECONDS)
                    .setMaxHeaderSize(MAX_RELAY_HEAD_BYTES)
                    .setMaxInitialLineLength(MAX_RELAY_HEAD_BYTES))
            .requestHandler(this::handleRelayed);
    vertx.setPeriodic(WARM_MILLIS, id -> warmRelays());
    return relayServer
        .listen(relayAddress)
        .compose(s -> publicServer.listen(publicAddress))
        .mapEmpty();
  }

  private void warmRelays() {
    node.relayPartners().forEach(this::warmRelay);
  }

  /**
   * Ensures that there is a connection to a relay partner. A partner that cannot be reached is marked
   * unreachable before a request has to wait for the connect timeout.
   */
  private void warmRelay(EntryInfo partner) {
    context
        .connections()
        .warm(partner.relayAddress(), UpstreamConnections.RELAY_KEEP)
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

  private static HttpServerOptions options() {
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

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return context.open().get();
  }

  private void handleCaller(HttpServerRequest request) {
    final Instant arrivedAt = clock.instant();
    CallerAnswer answer = new CallerAnswer(request, false);
    request.exceptionHandler(e -> {});
    callers.onRequest(request);
    if (node.routing().revision() == 0) {
      answer.own(503, "no routes are known yet", true, Optional.of(START_RETRY_AFTER));
      return;
    }
    Optional<Route> route =
        node.routing()
            .table()
            .match(hostOf(request), Optional.ofNullable(request.path()).orElse(""));
    if (route.isEmpty()) {
      logRejected(request, "no route for " + hostOf(request) + request.path());
      answer.own(404, "no route matches the host and path", true, Optional.empty());
      return;
    }
    String id = request.getHeader(names.requestId());
    if (id == null || id.isEmpty()) {
      answer.own(400, "the header " + names.requestId() + " is missing", true, Optional.empty());
      return;
    }
    CallerAccess access =
        CallerAccess.of(
            node.routing().table(),
            route.get(),
            request.getHeader(HttpHeaders.AUTHORIZATION),
            node.canVerifyApiKeys(),
            RECHECK);
    if (access instanceof CallerAccess.Denied denied) {
      logRejected(request, denied.reason());
      answer.own(denied.status(), denied.reason(), true, denied.retryAfter());
      return;
    }
    CallerAccess.Granted granted = (CallerAccess.Granted) access;
    try {
      Handling handling = handlingOf(route.get(), granted);
      forward(request, answer, handling, arrivedAt, granted.organisation());
    } catch (CallerAccess.NoRegionException e) {
      logRejected(request, e.getMessage());
      answer.own(503, e.getMessage(), true, Optional.empty());
    }
  }

  private Handling handlingOf(Route route, CallerAccess.Granted access)
      throws CallerAccess.NoRegionException {
    String service = route.pick(ThreadLocalRandom.current().nextDouble());
    return Handling.of(
        route,
        service,
        access.priorityOr(node.routing().table().queuePriority(route, service)),
        access.regionsOn(route),
        access.organisation().map(Organisation::name));
  }

  /** Reads the body, charges the organisation's quota and forwards the request. */
  private void forward(
      HttpServerRequest request,
      CallerAnswer answer,
      Handling handling,
      Instant arrivedAt,
      Optional<Organisation> organisation) {
    boolean keysNeeded = node.routing().table().requiresApiKeys();
    readBody(
        request,
        answer,
        handling.timeout(),
        body -> {
          ForwardRequest read = reader.read(request, body, handling, arrivedAt, keysNeeded);
          QuotaCharge charge =
              QuotaCharge.of(
                  organisation, read.promptTokens() + read.outputTokens(), node.quotas());
          Optional<Duration> usedUpFor = charge.take(clock.instant());
          if (usedUpFor.isPresent()) {
            logRejected(
                request, "the quota of " + handling.organisation().orElse("") + " is used up");
            answer.own(429, "the organisation's quota is used up", true, usedUpFor);
          } else {
            new ForwardCall(context, read, answer, false, charge).start();
          }
        });
  }

  private static String hostOf(HttpServerRequest request) {
    String host = request.getHeader("Host");
    return host == null ? "" : host.toLowerCase(Locale.ROOT);
  }

  private static void logRejected(HttpServerRequest request, String why) {
    LOG.log(
        System.Logger.Level.INFO,
        "request.rejected",
        "path",
        String.valueOf(request.path()),
        "why",
        why);
  }

  /**
   * Reads the body of a request. Responds with 408 if it is not complete in time and with 413 if it
   * exceeds the size limit.
   *
   * @param patience the time limit, after which the response would be too late for the caller
   * @param next receives the complete body
   */
  private void readBody(
      HttpServerRequest request, CallerAnswer answer, Duration patience, Consumer<Buffer> next) {
    int mostBytes = limits().maxBodyBytes();
    Buffer body = Buffer.buffer();
    boolean[] tooLarge = {false};
    long timer =
        vertx.setTimer(
            Math.max(1, patience.toMillis()),
            id -> {
              if (!answer.open()) {
                return;
              }
              logRejected(request, "its body did not arrive within " + patience.toMillis() + " ms");
              answer.closeAfterwards();
              answer.own(408, "the body did not arrive in time", true, Optional.empty());
            });
    request.handler(
        piece -> {
          if (body.length() + piece.length() > mostBytes) {
            tooLarge[0] = true;
          } else {
            body.appendBuffer(piece);
          }
        });
    request.endHandler(
        v -> {
          if (!vertx.cancelTimer(timer)) {
            return;
          }
          if (tooLarge[0]) {
            answer.own(413, "the body exceeds " + mostBytes + " bytes", true, Optional.empty());
          } else {
            next.accept(body);
          }
        });
  }

  private void handleRelayed(HttpServerRequest request) {
    final Instant arrivedAt = clock.instant();
    CallerAnswer answer = new CallerAnswer(request, true);
    request.exceptionHandler(e -> {});
    try {
      String id = request.getHeader(names.requestId());
      boolean marked =
          id != null && hops.verify(request::getHeader, id) == HopAuthenticator.Hop.ACROSS_REGIONS;
      if (!marked) {
        throw new IllegalArgumentException("the request carries no entry's mark");
      }
      Handling sent =
          Handling.decodeRelayed(
              Optional.ofNullable(request.getHeader(ForwardContext.HANDLING_HEADER)).orElse(""));
      Duration due =
          Duration.ofMillis(Long.parseLong(request.getHeader(ForwardContext.DUE_HEADER)));
      Handling handling =
          new Handling(
              sent.route(),
              sent.service(),
              sent.kind(),
              sent.resumable(),
              sent.priority(),
              1,
              sent.objective(),
              due,
              sent.regions(),
              sent.organisation());
      readBody(
          request,
          answer,
          due,
          body ->
              new ForwardCall(
                      context,
                      reader.read(request, body, handling, arrivedAt, /* keysNeeded= */ false),
                      answer,
                      true,
                      QuotaCharge.none(node.quotas()))
                  .start());
    } catch (GatewayException | IllegalArgumentException e) {
      logRejected(request, e.getMessage());
      answer.own(400, e.getMessage(), true, Optional.empty());
    }
  }

  /** Closes both servers. */
  public Future<Void> close() {
    return publicServer.close().compose(v -> relayServer.close());
  }
}
