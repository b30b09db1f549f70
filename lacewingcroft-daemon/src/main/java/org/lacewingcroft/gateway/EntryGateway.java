package org.lacewingcroft.gateway;

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
import java.time.Duration;
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
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointDirectory;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.idempotency.IdempotencyTable;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.peer.LinkFaults;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
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

  /** Header marking a request relayed to its idempotency key's owner; never relayed again. */
  public static final String OWNER_HOP_HEADER = "X-Lacewingcroft-Owner-Hop";

  /** Response header set when the answer is a replay of an earlier run with the same key. */
  public static final String REPLAY_HEADER = "X-Idempotent-Replay";

  /** The path prefix of plain-service calls. */
  public static final String SERVICES_PREFIX = "/v1/services/";

  private static final Duration IDEMPOTENCY_RETENTION = Duration.ofHours(24);

  /** Response header naming the region whose endpoint served the request. */
  public static final String REGION_HEADER = "X-Lacewingcroft-Region";

  private final Vertx vertx;
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
  private volatile LinkFaults faults = LinkFaults.NONE;
  private final IdempotencyTable idempotency = new IdempotencyTable(IDEMPOTENCY_RETENTION);

  /** One caller request on its way through this daemon. */
  private final class Exchange {
    final RoutingContext ctx;
    final CallerRequest request;
    final String requestId;
    final long startNanos = System.nanoTime();
    Optional<String> recordKey = Optional.empty();
    AtomicInteger endpointCounter;
    boolean firstByte = true;
    private boolean done;

    Exchange(RoutingContext ctx, CallerRequest request, String requestId) {
      this.ctx = ctx;
      this.request = request;
      this.requestId = requestId;
    }

    HttpServerResponse response() {
      return ctx.response();
    }

    /** Releases the in-flight counts once, whether the response ended or the caller left. */
    void finished() {
      if (done) {
        return;
      }
      done = true;
      if (endpointCounter != null) {
        endpointCounter.decrementAndGet();
      }
      metrics.inFlight.set(inFlight.decrementAndGet());
    }
  }

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
    this.vertx = vertx;
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

  /** Sets the faults that experiments inject on the links to other regions' entries. */
  public void setFaults(LinkFaults injected) {
    this.faults = injected;
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
    handle(
        ctx,
        () -> CallerRequest.parse(ctx.request()::getHeader, RequestBody.of(ctx), knownRegions()));
  }

  /** Handles {@code POST /v1/services/<service>/<path>}: a call to a plain service. */
  public void handleService(RoutingContext ctx) {
    String service = ctx.pathParam("service");
    String prefix = SERVICES_PREFIX + service;
    String path = ctx.request().path();
    String rest = path.length() > prefix.length() ? path.substring(prefix.length()) : "/";
    handle(
        ctx,
        () ->
            CallerRequest.forService(
                ctx.request()::getHeader, service, rest, RequestBody.of(ctx), knownRegions()));
  }

  /** Returns the at-most-once records this daemon holds as owner or backup. */
  public IdempotencyTable idempotencyTable() {
    return idempotency;
  }

  private void handle(RoutingContext ctx, Supplier<CallerRequest> parser) {
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
      request = parser.get();
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
    Exchange exchange = new Exchange(ctx, request, requestId);
    metrics.inFlight.set(inFlight.incrementAndGet());
    response.endHandler(v -> exchange.finished());
    response.closeHandler(v -> exchange.finished());
    response.exceptionHandler(e -> {});
    Optional<String> key = request.scopedIdempotencyKey();
    if (key.isEmpty() || request.idempotent()) {
      dispatch(exchange, 1);
      return;
    }
    Optional<Member> owner = remoteOwner(key.get());
    if (owner.isPresent() && ctx.request().getHeader(OWNER_HOP_HEADER) == null) {
      relayToEntry(exchange, owner.get(), OWNER_HOP_HEADER, membership.self().nodeId());
      return;
    }
    admit(exchange, key.get());
  }

  private void admit(Exchange exchange, String key) {
    Optional<String> callerKey = exchange.request.idempotencyKey();
    switch (idempotency.admit(key, clock.instant())) {
      case RUN -> {
        exchange.recordKey = Optional.of(key);
        replicate(idempotency.get(key).orElseThrow());
        dispatch(exchange, 1);
      }
      case REPLAY -> replay(exchange, idempotency.get(key).orElseThrow());
      case IN_PROGRESS ->
          refuse(
              exchange.response(),
              ErrorKind.IN_PROGRESS,
              "a request with this idempotency key is running",
              callerKey);
      default ->
          refuse(
              exchange.response(),
              ErrorKind.OUTCOME_UNKNOWN,
              "an earlier request with this idempotency key failed after dispatch",
              callerKey);
    }
  }

  private void replay(Exchange exchange, IdempotencyTable.Entry entry) {
    metrics.requests.labelValues("replayed").inc();
    HttpServerResponse response = exchange.response();
    response.setStatusCode(entry.status()).putHeader(REPLAY_HEADER, "true");
    if (!entry.contentType().isEmpty()) {
      response.putHeader("Content-Type", entry.contentType());
    }
    response.end(Buffer.buffer(entry.body()));
  }

  /** Returns the key's owner among the region's live entries, or empty if it is this daemon. */
  private Optional<Member> remoteOwner(String key) {
    List<Member> live = membership.table().alive("entry", region, clock.instant());
    List<String> ids = new ArrayList<>();
    ids.add(membership.self().nodeId());
    live.forEach(m -> ids.add(m.info().nodeId()));
    String owner = Rendezvous.owner(ids, id -> id, key).orElseThrow();
    return live.stream().filter(m -> m.info().nodeId().equals(owner)).findFirst();
  }

  /** Sends a record to the next live entry in the key's rendezvous order, its backup. */
  private void replicate(IdempotencyTable.Entry entry) {
    List<Member> live = membership.table().alive("entry", region, clock.instant());
    List<Member> ranked = Rendezvous.rank(live, m -> m.info().nodeId(), entry.key());
    if (!ranked.isEmpty()) {
      membership.send(ranked.get(0).info().peerAddress(), new PeerMessage.IdempotencyRecord(entry));
    }
  }

  private void dispatch(Exchange exchange, int attempt) {
    CallerRequest request = exchange.request;
    RouteDecision decision =
        router.route(
            request.toRouteRequest(),
            configs.current().config(),
            endpoints.snapshot(),
            inFlightSnapshot(),
            remoteRegions(),
            clock.instant());
    if (decision instanceof RouteDecision.Refuse refuse) {
      LOG.log(
          System.Logger.Level.INFO,
          "request.refused",
          "request",
          exchange.requestId,
          "reason",
          refuse.detail());
      notRun(exchange, refuse.kind(), refuse.detail());
      return;
    }
    if (decision instanceof RouteDecision.Forward forward) {
      forward(exchange, forward.region());
      return;
    }
    Endpoint endpoint = ((RouteDecision.Serve) decision).candidate().endpoint();
    String rule = ((RouteDecision.Serve) decision).rule();
    exchange.endpointCounter =
        inFlightByEndpoint.computeIfAbsent(endpoint.id(), k -> new AtomicInteger());
    exchange.endpointCounter.incrementAndGet();
    client
        .request(options(endpoint.baseUrl() + request.path()))
        .onFailure(
            e -> {
              exchange.endpointCounter.decrementAndGet();
              exchange.endpointCounter = null;
              if (attempt < DISPATCH_ATTEMPTS) {
                LOG.log(
                    System.Logger.Level.INFO,
                    "request.retry_not_sent",
                    "request",
                    exchange.requestId,
                    "endpoint",
                    endpoint.id(),
                    "error",
                    e.getMessage());
                dispatch(exchange, attempt + 1);
              } else {
                notRun(
                    exchange,
                    ErrorKind.NOT_RUN,
                    "no endpoint could be reached after " + attempt + " attempts");
              }
            })
        .onSuccess(upstream -> relay(exchange, endpoint.id(), endpoint.region(), upstream, rule));
  }

  private static RequestOptions options(String url) {
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setAbsoluteURI(url)
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
        .setIdleTimeout(IDLE_TIMEOUT_MILLIS);
  }

  private void relay(
      Exchange exchange,
      String target,
      String targetRegion,
      HttpClientRequest upstream,
      String rule) {
    final HttpServerResponse response = exchange.response();
    CallerRequest request = exchange.request;
    upstream.putHeader("Content-Type", "application/json");
    upstream.putHeader(REQUEST_ID_HEADER, exchange.requestId);
    request.idempotencyKey().ifPresent(k -> upstream.putHeader("Idempotency-Key", k));
    LOG.log(
        System.Logger.Level.INFO,
        "request.dispatched",
        "request",
        exchange.requestId,
        "target",
        target,
        "rule",
        rule,
        "organisation",
        request.organisation());
    upstream
        .send(Buffer.buffer(request.body()))
        .onFailure(e -> outcomeUnknown(exchange, e))
        .onSuccess(
            answer -> {
              response.setStatusCode(answer.statusCode());
              copyHeader(answer, response, "Content-Type");
              copyHeader(answer, response, REPLAY_HEADER);
              String servedIn = answer.getHeader(REGION_HEADER);
              response.putHeader(REGION_HEADER, servedIn != null ? servedIn : targetRegion);
              response.putHeader("X-Lacewingcroft-Endpoint", target);
              response.setChunked(true);
              Buffer kept = exchange.recordKey.isPresent() ? Buffer.buffer() : null;
              answer.handler(
                  chunk -> {
                    if (exchange.firstByte) {
                      exchange.firstByte = false;
                      metrics.firstByteSeconds.observe(
                          (System.nanoTime() - exchange.startNanos) / 1e9);
                    }
                    if (kept != null) {
                      kept.appendBuffer(chunk);
                    }
                    response.write(chunk);
                  });
              answer.exceptionHandler(e -> outcomeUnknown(exchange, e));
              answer.endHandler(
                  v -> {
                    if (response.ended()) {
                      return;
                    }
                    exchange.recordKey.ifPresent(
                        k ->
                            replicate(
                                idempotency.complete(
                                    k,
                                    answer.statusCode(),
                                    Optional.ofNullable(answer.getHeader("Content-Type"))
                                        .orElse(""),
                                    kept.getBytes(),
                                    clock.instant())));
                    metrics.requests.labelValues("served").inc();
                    response.end();
                    LOG.log(
                        System.Logger.Level.INFO,
                        "request.served",
                        "request",
                        exchange.requestId,
                        "target",
                        target);
                  });
            });
  }

  private void forward(Exchange exchange, String targetRegion) {
    List<Member> entries = membership.table().alive("entry", targetRegion, clock.instant());
    if (entries.isEmpty()) {
      notRun(exchange, ErrorKind.NOT_RUN, "no live entry in region " + targetRegion);
      return;
    }
    Member target = entries.get(Math.floorMod(exchange.requestId.hashCode(), entries.size()));
    metrics.requests.labelValues("forwarded").inc();
    relayToEntry(exchange, target, CallerRequest.FORWARDED_HEADER, region);
  }

  /** Relays a request to another entry, marked by a header so that entry does not pass it on. */
  private void relayToEntry(Exchange exchange, Member target, String markHeader, String mark) {
    if (faults.cuts(target.info().region())) {
      vertx.setTimer(CONNECT_TIMEOUT_MILLIS, id -> unreachableEntry(exchange, target));
      return;
    }
    String url = "http://" + target.info().httpAddress() + exchange.ctx.request().path();
    client
        .request(options(url))
        .onFailure(e -> unreachableEntry(exchange, target))
        .onSuccess(
            upstream -> {
              exchange
                  .ctx
                  .request()
                  .headers()
                  .forEach(h -> copyCallerHeader(h.getKey(), h.getValue(), upstream));
              upstream.putHeader(markHeader, mark);
              LOG.log(
                  System.Logger.Level.INFO,
                  "request.relayed",
                  "request",
                  exchange.requestId,
                  "entry",
                  target.info().nodeId(),
                  "mark",
                  markHeader);
              relay(exchange, target.info().nodeId(), target.info().region(), upstream, markHeader);
            });
  }

  private void unreachableEntry(Exchange exchange, Member target) {
    notRun(
        exchange, ErrorKind.NOT_RUN, "entry " + target.info().nodeId() + " could not be reached");
  }

  /** Refuses a request no endpoint received, releasing its at-most-once record for a retry. */
  private void notRun(Exchange exchange, ErrorKind kind, String detail) {
    // The backup is not told of a release: it keeps the key as running until the record
    // expires, which errs on the side of not running, never of running twice.
    exchange.recordKey.ifPresent(idempotency::release);
    refuse(exchange.response(), kind, detail, exchange.request.idempotencyKey());
  }

  private static void copyCallerHeader(String name, String value, HttpClientRequest upstream) {
    String lower = name.toLowerCase(java.util.Locale.ROOT);
    if (lower.startsWith("x-") || lower.equals("idempotency-key")) {
      upstream.putHeader(name, value);
    }
  }

  private void outcomeUnknown(Exchange exchange, Throwable e) {
    final HttpServerResponse response = exchange.response();
    final CallerRequest request = exchange.request;
    exchange.recordKey.ifPresent(k -> replicate(idempotency.markUnknown(k, clock.instant())));
    metrics.requests.labelValues("outcome_unknown").inc();
    LOG.log(
        System.Logger.Level.WARNING,
        "request.outcome_unknown",
        "request",
        exchange.requestId,
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
