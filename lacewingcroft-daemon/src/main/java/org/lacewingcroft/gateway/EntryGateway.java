package org.lacewingcroft.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.ext.web.RoutingContext;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointDirectory;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.request.CallerRequest;
import org.lacewingcroft.routing.RegionSummary;
import org.lacewingcroft.routing.RouteDecision;
import org.lacewingcroft.routing.Router;

/**
 * The entry role's request path: parse, route, dispatch, relay the answer.
 *
 * <p>A request is retried on another endpoint only while no endpoint has received it (the
 * connection to the endpoint could not be opened). Once it was sent, a failure is answered as
 * {@link ErrorKind#OUTCOME_UNKNOWN} with the idempotency key; a failure in the middle of a stream
 * ends the stream with an {@code error} event, never a silent truncation.
 */
public final class EntryGateway {
  private static final System.Logger LOG = System.getLogger(EntryGateway.class.getName());
  private static final int DISPATCH_ATTEMPTS = 3;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;
  private static final String REQUEST_ID_HEADER = "X-Request-Id";

  /** Response header naming the region whose endpoint served the request. */
  public static final String REGION_HEADER = "X-Lacewingcroft-Region";

  private final String region;
  private final Router router;
  private final ConfigStore configs;
  private final EndpointRegistry endpoints;
  private final Membership membership;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private final HttpClient client;
  private final Map<String, AtomicInteger> inFlightByEndpoint = new ConcurrentHashMap<>();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicBoolean shuttingDown = new AtomicBoolean();

  /**
   * Creates the request path of one entry daemon.
   *
   * @param vertx the Vert.x instance
   * @param region the daemon's region
   * @param router the routing decision
   * @param configs the configuration in force
   * @param endpoints the endpoint directory
   * @param membership the daemon membership, for forwarding and region summaries
   * @param metrics the metrics to update
   * @param clock the time source
   */
  public EntryGateway(
      Vertx vertx,
      String region,
      Router router,
      ConfigStore configs,
      EndpointRegistry endpoints,
      Membership membership,
      GatewayMetrics metrics,
      InstantSource clock) {
    this.region = region;
    this.router = router;
    this.configs = configs;
    this.endpoints = endpoints;
    this.membership = membership;
    this.metrics = metrics;
    this.clock = clock;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(256));
  }

  /** Returns the requests in flight through this daemon. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Stops taking new requests; those in flight go on. */
  public void beginShutdown() {
    shuttingDown.set(true);
  }

  /** Returns whether the daemon is shutting down. */
  public boolean shuttingDown() {
    return shuttingDown.get();
  }

  /** Returns this region's free capacity by model, as this daemon sees it. */
  public Map<String, Integer> freeSlotsByModel() {
    Map<String, Integer> free = new HashMap<>();
    for (Endpoint e : endpoints.snapshot().all()) {
      if (e.region().equals(region) && e.acceptsWork(clock.instant())) {
        int used = Math.max(e.reportedLoad(), localInFlight(e.id()));
        for (String model : e.models()) {
          free.merge(model, Math.max(0, e.capacity() - used), Integer::sum);
        }
      }
    }
    return free;
  }

  /** Handles {@code POST /v1/chat/completions}. */
  public void handleChat(RoutingContext ctx) {
    String requestId =
        Optional.ofNullable(ctx.request().getHeader(REQUEST_ID_HEADER))
            .orElseGet(() -> UUID.randomUUID().toString());
    HttpServerResponse response = ctx.response();
    response.putHeader(REQUEST_ID_HEADER, requestId);
    if (shuttingDown.get()) {
      refuse(response, ErrorKind.SHUTTING_DOWN, "this entry is shutting down", Optional.empty());
      return;
    }
    CallerRequest request;
    try {
      request =
          CallerRequest.parse(
              ctx.request()::getHeader, ctx.body().buffer().getBytes(), knownRegions());
    } catch (GatewayException e) {
      metrics.requests.labelValues("bad_request").inc();
      ErrorReply.send(response, e.kind(), e.detail(), Optional.empty());
      return;
    }
    if (configs.current().version() == 0) {
      refuse(
          response,
          ErrorKind.NOT_RUN,
          "this entry has not learned the configuration yet",
          request.idempotencyKey());
      return;
    }
    inFlight.incrementAndGet();
    metrics.inFlight.set(inFlight.get());
    response.endHandler(v -> metrics.inFlight.set(inFlight.decrementAndGet()));
    response.exceptionHandler(e -> {});
    long startNanos = System.nanoTime();
    dispatch(ctx, request, requestId, 1, startNanos);
  }

  private void dispatch(
      RoutingContext ctx, CallerRequest request, String requestId, int attempt, long startNanos) {
    HttpServerResponse response = ctx.response();
    RouteDecision decision =
        router.route(
            request.toRouteRequest(),
            configs.current().config(),
            endpoints.snapshot(),
            inFlightSnapshot(),
            remoteRegions(),
            clock.instant());
    if (decision instanceof RouteDecision.Refuse refuse) {
      refuse(response, refuse.kind(), refuse.detail(), request.idempotencyKey());
      LOG.log(
          System.Logger.Level.INFO,
          "request.refused",
          "request",
          requestId,
          "reason",
          refuse.detail());
      return;
    }
    if (decision instanceof RouteDecision.Forward forward) {
      forward(ctx, request, requestId, forward.region(), startNanos);
      return;
    }
    RouteDecision.Serve serve = (RouteDecision.Serve) decision;
    Endpoint endpoint = serve.candidate().endpoint();
    AtomicInteger counter =
        inFlightByEndpoint.computeIfAbsent(endpoint.id(), k -> new AtomicInteger());
    counter.incrementAndGet();
    response.endHandler(
        v -> {
          counter.decrementAndGet();
          metrics.inFlight.set(inFlight.decrementAndGet());
        });
    Future<HttpClientRequest> opened =
        client.request(
            new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(endpoint.baseUrl() + "/v1/chat/completions")
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setIdleTimeout(IDLE_TIMEOUT_MILLIS));
    opened.onFailure(
        e -> {
          counter.decrementAndGet();
          response.endHandler(v -> metrics.inFlight.set(inFlight.decrementAndGet()));
          if (attempt < DISPATCH_ATTEMPTS) {
            LOG.log(
                System.Logger.Level.INFO,
                "request.retry_not_sent",
                "request",
                requestId,
                "endpoint",
                endpoint.id(),
                "error",
                e.getMessage());
            dispatch(ctx, request, requestId, attempt + 1, startNanos);
          } else {
            refuse(
                response,
                ErrorKind.NOT_RUN,
                "no endpoint could be reached after " + attempt + " attempts",
                request.idempotencyKey());
          }
        });
    opened.onSuccess(
        upstream -> relay(ctx, request, requestId, endpoint, upstream, startNanos, serve.rule()));
  }

  private void relay(
      RoutingContext ctx,
      CallerRequest request,
      String requestId,
      Endpoint endpoint,
      HttpClientRequest upstream,
      long startNanos,
      String rule) {
    final HttpServerResponse response = ctx.response();
    upstream.putHeader("Content-Type", "application/json");
    upstream.putHeader(REQUEST_ID_HEADER, requestId);
    request.idempotencyKey().ifPresent(k -> upstream.putHeader("Idempotency-Key", k));
    LOG.log(
        System.Logger.Level.INFO,
        "request.dispatched",
        "request",
        requestId,
        "endpoint",
        endpoint.id(),
        "rule",
        rule,
        "organisation",
        request.organisation());
    upstream
        .send(Buffer.buffer(request.body()))
        .onFailure(e -> outcomeUnknown(response, request, requestId, e))
        .onSuccess(
            answer -> {
              response.setStatusCode(answer.statusCode());
              copyHeader(answer, response, "Content-Type");
              String servedIn = answer.getHeader(REGION_HEADER);
              response.putHeader(REGION_HEADER, servedIn != null ? servedIn : endpoint.region());
              response.putHeader("X-Lacewingcroft-Endpoint", endpoint.id());
              response.setChunked(true);
              boolean[] first = {true};
              answer.handler(
                  chunk -> {
                    if (first[0]) {
                      first[0] = false;
                      metrics.firstByteSeconds.observe((System.nanoTime() - startNanos) / 1e9);
                    }
                    response.write(chunk);
                  });
              answer.exceptionHandler(e -> outcomeUnknown(response, request, requestId, e));
              answer.endHandler(
                  v -> {
                    if (!response.ended()) {
                      metrics.requests.labelValues("served").inc();
                      response.end();
                      LOG.log(
                          System.Logger.Level.INFO,
                          "request.served",
                          "request",
                          requestId,
                          "endpoint",
                          endpoint.id());
                    }
                  });
            });
  }

  private void forward(
      RoutingContext ctx,
      CallerRequest request,
      String requestId,
      String targetRegion,
      long startNanos) {
    HttpServerResponse response = ctx.response();
    List<Member> entries = membership.table().alive("entry", targetRegion, clock.instant());
    if (entries.isEmpty()) {
      refuse(
          response,
          ErrorKind.NOT_RUN,
          "no live entry in region " + targetRegion,
          request.idempotencyKey());
      return;
    }
    Member target = entries.get(Math.floorMod(requestId.hashCode(), entries.size()));
    response.endHandler(v -> metrics.inFlight.set(inFlight.decrementAndGet()));
    Future<HttpClientRequest> opened =
        client.request(
            new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI("http://" + target.info().httpAddress() + "/v1/chat/completions")
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setIdleTimeout(IDLE_TIMEOUT_MILLIS));
    opened.onFailure(
        e ->
            refuse(
                response,
                ErrorKind.NOT_RUN,
                "entry " + target.info().nodeId() + " of region " + targetRegion + " unreachable",
                request.idempotencyKey()));
    opened.onSuccess(
        upstream -> {
          ctx.request()
              .headers()
              .forEach(h -> copyCallerHeader(h.getKey(), h.getValue(), upstream));
          upstream.putHeader(CallerRequest.FORWARDED_HEADER, region);
          metrics.requests.labelValues("forwarded").inc();
          LOG.log(
              System.Logger.Level.INFO,
              "request.forwarded",
              "request",
              requestId,
              "region",
              targetRegion,
              "entry",
              target.info().nodeId());
          Endpoint pseudo =
              new Endpoint(
                  target.info().nodeId(),
                  "http://" + target.info().httpAddress(),
                  targetRegion,
                  target.info().failureDomain(),
                  org.lacewingcroft.endpoint.EndpointKind.SERVICE,
                  Map.of(),
                  Set.of(request.model()),
                  1,
                  false,
                  false,
                  0,
                  clock.instant());
          relay(ctx, request, requestId, pseudo, upstream, startNanos, "forward");
        });
  }

  private static void copyCallerHeader(String name, String value, HttpClientRequest upstream) {
    String lower = name.toLowerCase(java.util.Locale.ROOT);
    if (lower.startsWith("x-") || lower.equals("idempotency-key")) {
      upstream.putHeader(name, value);
    }
  }

  private void outcomeUnknown(
      HttpServerResponse response, CallerRequest request, String requestId, Throwable e) {
    metrics.requests.labelValues("outcome_unknown").inc();
    LOG.log(
        System.Logger.Level.WARNING,
        "request.outcome_unknown",
        "request",
        requestId,
        "error",
        String.valueOf(e.getMessage()));
    if (response.ended()) {
      return;
    }
    if (!response.headWritten()) {
      ErrorReply.send(
          response,
          ErrorKind.OUTCOME_UNKNOWN,
          "the endpoint failed after it received the request",
          request.idempotencyKey());
      return;
    }
    String event =
        "event: error\ndata: "
            + ErrorReply.body(
                ErrorKind.OUTCOME_UNKNOWN,
                "the endpoint failed in the middle of the answer",
                request.idempotencyKey())
            + "\n\n";
    response.end(event);
  }

  private void refuse(
      HttpServerResponse response, ErrorKind kind, String detail, Optional<String> key) {
    metrics.requests.labelValues(kind.code()).inc();
    ErrorReply.send(response, kind, detail, key);
  }

  private static void copyHeader(HttpClientResponse from, HttpServerResponse to, String name) {
    String value = from.getHeader(name);
    if (value != null) {
      to.putHeader(name, value);
    }
  }

  private int localInFlight(String endpointId) {
    AtomicInteger c = inFlightByEndpoint.get(endpointId);
    return c == null ? 0 : c.get();
  }

  private Map<String, Integer> inFlightSnapshot() {
    Map<String, Integer> snapshot = new HashMap<>();
    inFlightByEndpoint.forEach((k, v) -> snapshot.put(k, v.get()));
    return snapshot;
  }

  /** Returns the regions known from membership and endpoints, this one included. */
  public Set<String> knownRegions() {
    Set<String> regions =
        membership.table().all().stream().map(m -> m.info().region()).collect(Collectors.toSet());
    regions.add(region);
    EndpointDirectory d = endpoints.snapshot();
    d.all().forEach(e -> regions.add(e.region()));
    return regions;
  }

  private List<RegionSummary> remoteRegions() {
    Map<String, Map<String, Integer>> byRegion = new HashMap<>();
    for (Member m :
        membership.table().all().stream()
            .filter(m -> m.info().role().equals("entry"))
            .filter(m -> !m.info().region().equals(region))
            .collect(Collectors.toList())) {
      Map<String, Integer> slots =
          byRegion.computeIfAbsent(m.info().region(), r -> new HashMap<>());
      m.freeSlotsByModel().forEach((model, free) -> slots.merge(model, free, Math::max));
    }
    List<RegionSummary> summaries = new ArrayList<>();
    byRegion.forEach((r, slots) -> summaries.add(new RegionSummary(r, slots)));
    return summaries;
  }
}
