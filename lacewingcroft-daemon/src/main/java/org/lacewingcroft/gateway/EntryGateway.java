package org.lacewingcroft.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.config.OrganisationPolicy;
import org.lacewingcroft.endpoint.EndpointHealth;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.http.AbortedResponses;
import org.lacewingcroft.http.AbortedResponses.Cause;
import org.lacewingcroft.limit.AdmissionLimiter;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.peer.LinkFaults;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.CallerRequest;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.routing.Router;

/**
 * Implements the request path of the entry role: parses and admits callers' requests, claims the
 * idempotency keys of those that must run at most once, and passes them to the {@link Dispatcher}.
 * Every request receives a final response by its deadline: the endpoint's response, or a typed
 * error that states whether the request was run.
 */
public final class EntryGateway {
  /** How long an endpoint stays in backoff after its first failure. */
  private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(1);

  /** Header carrying the request's id; echoed in responses. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  /** Response header set when the response is a replay of an earlier run with the same key. */
  public static final String REPLAY_HEADER = "X-Idempotent-Replay";

  /** Response header naming the region whose endpoint served the request. */
  public static final String REGION_HEADER = "X-Lacewingcroft-Region";

  /** Response header naming the endpoint, or the entry, that sent the response. */
  public static final String ENDPOINT_HEADER = "X-Lacewingcroft-Endpoint";

  /** Response header of errors: {@code no} if the request was not run, else {@code unknown}. */
  public static final String RUN_HEADER = "X-Lacewingcroft-Run";

  /** The {@link #RUN_HEADER}'s value for a request that was not run and will not be. */
  public static final String RUN_NO = "no";

  /** The path prefix of plain-service calls. */
  public static final String SERVICES_PREFIX = "/v1/services/";

  private final Vertx vertx;
  private final String region;
  private final ConfigStore configs;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private final Limits limits;
  private final HopAuthenticator hopAuthenticator;
  private final InFlightCounters inFlight = new InFlightCounters();
  private final RegionView regionView;
  private final KeyOwnership keys;
  private final CallerReply reply;
  private final ContentQuarantine quarantine;
  private final Dispatcher dispatcher;
  private final AdmissionLimiter admissionLimiter = new AdmissionLimiter();
  private final AtomicBoolean shuttingDown = new AtomicBoolean();
  private final Set<Exchange> exchanges = ConcurrentHashMap.newKeySet();

  /**
   * Bounds of the request path.
   *
   * @param maxInFlight the number of requests in flight at which further requests are refused
   * @param hedgeAfter how long an idempotent request waits before it is sent to a second endpoint;
   *     empty disables hedging
   */
  public record Limits(int maxInFlight, Optional<Duration> hedgeAfter) {}

  /**
   * Creates the request path of one entry daemon.
   *
   * @param vertx the Vert.x instance
   * @param router the router of the daemon's region
   * @param configs the store of the active configuration
   * @param endpoints the known endpoints
   * @param membership the daemon membership
   * @param hopAuthenticator signs and authenticates requests relayed between entries
   * @param limits the bounds of the request path
   * @param metrics the metrics to update
   * @param clock the time source
   */
  public EntryGateway(
      Vertx vertx,
      Router router,
      ConfigStore configs,
      EndpointRegistry endpoints,
      Membership membership,
      HopAuthenticator hopAuthenticator,
      Limits limits,
      GatewayMetrics metrics,
      InstantSource clock) {
    this.vertx = vertx;
    this.region = membership.self().region();
    this.configs = configs;
    this.metrics = metrics;
    this.clock = clock;
    this.limits = limits;
    this.hopAuthenticator = hopAuthenticator;
    EndpointHealth health = new EndpointHealth(INITIAL_BACKOFF);
    this.regionView = new RegionView(region, endpoints, membership, inFlight, health, clock);
    this.keys = new KeyOwnership(vertx, membership, clock);
    this.reply =
        new CallerReply(
            metrics,
            keys,
            new AbortedResponses(
                () ->
                    new AbortedResponses.Configuration(
                        configs.current().version(), Optional.empty()),
                metrics,
                clock));
    this.quarantine = new ContentQuarantine(vertx, membership, endpoints, clock);
    this.dispatcher =
        new Dispatcher(
            vertx,
            new RouteChooser(router, configs, endpoints, regionView, health, clock),
            membership,
            regionView,
            inFlight,
            hopAuthenticator,
            (exchange, attempt, upstreamResponse) ->
                new ResponseRelay(
                    exchange, attempt, upstreamResponse, keys, metrics, reply, quarantine),
            reply,
            quarantine,
            metrics,
            clock,
            limits.hedgeAfter());
  }

  /** Sets the faults that experiments inject on the links to other regions' entries. */
  public void setFaults(LinkFaults injected) {
    dispatcher.setFaults(injected);
  }

  /** Returns the number of requests in flight through this daemon. */
  public int inFlight() {
    return inFlight.total();
  }

  /** Stops accepting new requests; requests in flight continue. */
  public void beginShutdown() {
    shuttingDown.set(true);
  }

  /**
   * Ends the requests in flight because the daemon stops. A caller receives an error unless its
   * response has been started.
   *
   * @return completes when the last responses have been written
   */
  public Future<Void> abortInFlight() {
    return Future.join(exchanges.stream().map(this::abort).toList()).mapEmpty();
  }

  private Future<Void> abort(Exchange exchange) {
    Promise<Void> done = Promise.promise();
    exchange.runOnEventLoop(
        () -> {
          try {
            endForShutdown(exchange);
          } finally {
            done.complete();
          }
        });
    return done.future();
  }

  private void endForShutdown(Exchange exchange) {
    // The response may have ended since the exchange was found in flight.
    if (exchange.response().ended()) {
      return;
    }
    exchange.refuse();
    if (!exchange.responseCommitted()) {
      exchange.response().putHeader("Connection", "close");
    }
    reply.sendNotRun(exchange, ErrorKind.SHUTTING_DOWN, Cause.SHUTDOWN, "the entry shut down");
  }

  /** Returns whether the daemon is shutting down. */
  public boolean shuttingDown() {
    return shuttingDown.get();
  }

  /** Returns this region's free capacity by model, as estimated by this daemon. */
  public Map<String, Integer> freeSlotsByModel() {
    return regionView.freeSlotsByModel();
  }

  /** Returns the key ownership, which holds the records for which this daemon is a replica. */
  public KeyOwnership keys() {
    return keys;
  }

  /**
   * Returns the request contents that this entry refuses because endpoints crashed while running
   * them.
   */
  public List<Suspicion> quarantinedContents() {
    return quarantine.quarantinedContents();
  }

  /**
   * Lifts the quarantine of request content at all entries.
   *
   * @return whether the content was quarantined
   */
  public boolean liftQuarantine(RequestFingerprint content) {
    return quarantine.lift(content);
  }

  /** Handles an update from another entry about request contents that crash endpoints. */
  public void onSuspicionUpdate(FleetMessage.SuspicionUpdate update) {
    quarantine.onSuspicionUpdate(update);
  }

  /** Handles {@code POST /v1/chat/completions}. */
  public void handleChat(RoutingContext ctx) {
    handle(
        ctx,
        () ->
            CallerRequest.parse(
                ctx.request()::getHeader, RequestBody.of(ctx), regionView::knownRegions));
  }

  /** Handles {@code POST /v1/services/<service>/<path>}: a call to a plain service. */
  public void handleService(RoutingContext ctx) {
    String service = ctx.pathParam("service");
    String prefix = SERVICES_PREFIX + service;
    String path = ctx.request().path();
    String endpointPath = path.length() > prefix.length() ? path.substring(prefix.length()) : "/";
    handle(
        ctx,
        () ->
            CallerRequest.forService(
                ctx.request()::getHeader,
                service,
                endpointPath,
                RequestBody.of(ctx),
                regionView::knownRegions));
  }

  private void handle(RoutingContext ctx, Supplier<CallerRequest> parser) {
    String requestId =
        Optional.ofNullable(ctx.request().getHeader(REQUEST_ID_HEADER))
            .orElseGet(() -> UUID.randomUUID().toString());
    HttpServerResponse response = ctx.response();
    response.putHeader(REQUEST_ID_HEADER, requestId);
    response.exceptionHandler(e -> {});
    try {
      HopAuthenticator.Hop hop = hopAuthenticator.verify(ctx.request()::getHeader, requestId);
      requireReady(response);
      CallerRequest request = parser.get();
      if (hop == HopAuthenticator.Hop.NONE) {
        requireAdmission(request, response);
      }
      start(new Exchange(ctx, request, requestId, hop, clock.instant()));
    } catch (GatewayException e) {
      reply.refuse(response, e.kind(), e.detail());
    }
  }

  private void requireReady(HttpServerResponse response) {
    if (shuttingDown.get()) {
      response.putHeader("Connection", "close");
      throw new GatewayException(ErrorKind.SHUTTING_DOWN, "this entry is shutting down");
    }
    if (configs.current().version() == 0) {
      throw new GatewayException(
          ErrorKind.NOT_RUN, "this entry has not learned the configuration yet");
    }
    if (inFlight.total() >= limits.maxInFlight()) {
      throw new GatewayException(
          ErrorKind.NOT_RUN, "this entry has " + limits.maxInFlight() + " requests in flight");
    }
  }

  private void requireAdmission(CallerRequest request, HttpServerResponse response) {
    int perSecond =
        configs
            .current()
            .config()
            .organisation(request.organisation())
            .map(OrganisationPolicy::requestsPerSecond)
            .orElse(0);
    Optional<Duration> retryAfter =
        admissionLimiter.admit(request.organisation(), perSecond, clock.instant());
    if (retryAfter.isPresent()) {
      ErrorReply.setRetryAfter(response, retryAfter.get());
      throw new GatewayException(
          ErrorKind.RATE_LIMITED,
          "organisation '" + request.organisation() + "' may send " + perSecond + " a second here");
    }
  }

  private void start(Exchange exchange) {
    HttpServerResponse response = exchange.response();
    metrics.inFlight.set(inFlight.requestStarted());
    exchanges.add(exchange);
    long deadlineTimer =
        vertx.setTimer(
            Math.max(1, exchange.remaining(clock.instant()).toMillis()),
            id -> onDeadlineExceeded(exchange));
    response.endHandler(v -> finish(exchange, deadlineTimer));
    response.closeHandler(
        v -> {
          onCallerDisconnected(exchange);
          finish(exchange, deadlineTimer);
        });
    Optional<String> key = exchange.request().scopedIdempotencyKey();
    boolean atMostOnce = key.isPresent() && !exchange.request().idempotent();
    if (!atMostOnce || exchange.hop() == HopAuthenticator.Hop.ACROSS_REGIONS) {
      dispatcher.dispatch(exchange);
      return;
    }
    Optional<Member> owner = keys.remoteOwner(key.get());
    if (owner.isPresent() && exchange.hop() == HopAuthenticator.Hop.NONE) {
      dispatcher.relayToEntry(exchange, owner.get(), HopAuthenticator.Hop.TO_OWNER);
    } else {
      claim(exchange, key.get());
    }
  }

  private void claim(Exchange exchange, String key) {
    keys.admit(key)
        .onSuccess(
            admission -> {
              boolean claimed = admission instanceof KeyAdmission.Run;
              if (claimed && exchange.responseCommitted()) {
                keys.release(key);
              } else if (claimed) {
                exchange.setClaimedKey(key);
                dispatcher.dispatch(exchange);
              } else {
                reply.sendKeyNotClaimed(exchange, admission);
              }
            });
  }

  /**
   * Cancels the attempts of a request whose caller disconnected. A request with a claimed
   * idempotency key continues, so that its response is recorded.
   */
  private void onCallerDisconnected(Exchange exchange) {
    if (!exchange.response().ended()) {
      exchange.markCallerDisconnected();
      if (exchange.claimedKey().isEmpty()) {
        exchange.cancelAttemptsExcept(Optional.empty());
      }
    }
  }

  private void onDeadlineExceeded(Exchange exchange) {
    if (exchange.response().ended() || exchange.callerDisconnected()) {
      return;
    }
    if (exchange.claimedKey().isEmpty()) {
      exchange.cancelAttemptsExcept(Optional.empty());
    }
    reply.sendNotRun(exchange, ErrorKind.NOT_RUN, Cause.DUE, "the caller's deadline is over");
  }

  private void finish(Exchange exchange, long deadlineTimer) {
    if (exchange.finish()) {
      exchanges.remove(exchange);
      vertx.cancelTimer(deadlineTimer);
      metrics.inFlight.set(inFlight.requestEnded());
    }
  }
}
