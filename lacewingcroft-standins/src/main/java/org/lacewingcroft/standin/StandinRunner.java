package org.lacewingcroft.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.lacewingcroft.endpoint.EndpointKind;

/**
 * A stand-in runner: an engine with the OpenAI-compatible chat completion API (streaming and
 * non-streaming), or a plain service that counts every run of {@code POST /v1/orders}.
 *
 * <p>The runner announces itself and reports its load and its cached prefixes with a lag. For
 * operator orders ({@code POST /v1/admin/load-model}) it checks or ignores the {@code
 * X-Fencing-Token} header. {@code POST /v1/admin/conditions} makes it advertise a rate limit or
 * reject requests, as an overloaded endpoint does. {@link #close} shuts it down gracefully: it
 * announces {@code draining}, waits for the requests in flight and then stops.
 */
public final class StandinRunner implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long ORDER_DURATION_MILLIS = 3;
  private static final long MIN_DRAIN_MILLIS = 1_000;
  private static final long MAX_DRAIN_MILLIS = 20_000;

  private final RunnerSpec spec;
  private final Vertx vertx;
  private final HttpClient client;
  private final BatchingEngine engine;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong highestFencingToken = new AtomicLong();
  private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
  private final AtomicLong runs = new AtomicLong();
  // Starts at the current time so that the numbers also increase across restarts of the runner.
  private final AtomicLong announcementSequence = new AtomicLong(System.currentTimeMillis());
  private final Deque<long[]> loadHistory = new ArrayDeque<>();
  private final AdvertisedConditions conditions = new AdvertisedConditions();
  private volatile boolean draining;
  private HttpServer server;
  private int port;
  private long announceTimer;

  /**
   * Creates a runner that is not started; {@link #start} binds its port.
   *
   * @param vertx the Vert.x instance that runs the server and the timers
   * @param spec the properties of the runner
   */
  public StandinRunner(Vertx vertx, RunnerSpec spec) {
    this.vertx = vertx;
    this.spec = spec;
    this.client = vertx.createHttpClient();
    this.engine = new BatchingEngine(vertx, spec, inFlight);
  }

  /** Binds a free port on the host, starts the announcements and returns the port. */
  public Future<Integer> start(String host) {
    server = vertx.createHttpServer().requestHandler(this::handle);
    return server
        .listen(0, host)
        .map(
            s -> {
              port = s.actualPort();
              announce();
              announceTimer =
                  vertx.setPeriodic(spec.announceInterval().toMillis(), id -> announce());
              return port;
            });
  }

  /** Returns the base URL of the server. */
  public String baseUrl() {
    return "http://127.0.0.1:" + port;
  }

  /** Returns the number of {@code POST /v1/orders} requests that have run. */
  public long runs() {
    return runs.get();
  }

  private void handle(HttpServerRequest request) {
    String path = request.path();
    String requestId = request.getHeader("X-Request-Id");
    if (requestId != null) {
      request.response().putHeader("X-Request-Id", requestId);
    }
    if (request.method() == HttpMethod.GET && path.equals("/v1/runs")) {
      ObjectNode json = JSON.createObjectNode();
      json.put("runs", runs.get());
      ObjectNode byKey = json.putObject("byKey");
      runsByKey.forEach((k, v) -> byKey.put(k, v.get()));
      request.response().putHeader("Content-Type", "application/json").end(json.toString());
      return;
    }
    if (request.method() == HttpMethod.GET && path.equals("/v1/stats")) {
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(engine.stats().toString());
      return;
    }
    request
        .body()
        .onSuccess(
            body -> {
              if (path.equals("/v1/admin/conditions")) {
                setConditions(request, body);
                return;
              }
              conditions.addHeaders(request.response(), draining);
              if (conditions.rejectIfPaused(request.response())) {
                return;
              }
              if (path.equals("/v1/chat/completions") && spec.kind() == EndpointKind.ENGINE) {
                engine.serve(request, body);
              } else if (path.startsWith("/v1/orders") && spec.kind() == EndpointKind.SERVICE) {
                serveOrder(request, body);
              } else if (path.equals("/v1/admin/load-model")) {
                serveLoadModel(request);
              } else {
                request.response().setStatusCode(404).end();
              }
            });
  }

  private void setConditions(HttpServerRequest request, Buffer body) {
    if (conditions.set(body)) {
      request.response().end("{\"set\":true}");
    } else {
      request
          .response()
          .setStatusCode(400)
          .end("{\"error\":\"requestsPerSecond and pauseSeconds are numbers, 0 or more\"}");
    }
  }

  private void serveOrder(HttpServerRequest request, Buffer body) {
    inFlight.incrementAndGet();
    String key = request.getHeader("Idempotency-Key");
    long orderNumber = runs.incrementAndGet();
    if (key != null) {
      runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    }
    vertx.setTimer(
        ORDER_DURATION_MILLIS,
        id -> {
          inFlight.decrementAndGet();
          ObjectNode json = JSON.createObjectNode();
          json.put("order", orderNumber);
          json.put("service", spec.models().get(0));
          json.put("runner", spec.id());
          if (key != null) {
            json.put("idempotencyKey", key);
          }
          request.response().putHeader("Content-Type", "application/json").end(json.toString());
        });
  }

  private void serveLoadModel(HttpServerRequest request) {
    String header = request.getHeader("X-Fencing-Token");
    long token = header == null ? 0 : Long.parseLong(header);
    if (spec.checksFencing() && token < highestFencingToken.get()) {
      request
          .response()
          .setStatusCode(409)
          .end("{\"error\":\"stale_fencing_token\",\"highest\":" + highestFencingToken.get() + "}");
      return;
    }
    highestFencingToken.accumulateAndGet(token, Math::max);
    request.response().end("{\"loaded\":true}");
  }

  private int laggedLoad() {
    long now = System.nanoTime();
    loadHistory.addLast(new long[] {now, inFlight.get()});
    long cutoff = now - spec.reportLag().toNanos();
    long[] reported = loadHistory.peekFirst();
    while (loadHistory.size() > 1 && loadHistory.peekFirst()[0] < cutoff) {
      reported = loadHistory.pollFirst();
    }
    return (int) reported[1];
  }

  private void announce() {
    ObjectNode body = JSON.createObjectNode();
    body.put("id", spec.id());
    body.put("url", baseUrl());
    body.put("region", spec.region());
    body.put("failureDomain", spec.failureDomain());
    body.put("kind", spec.kind().name().toLowerCase(java.util.Locale.ROOT));
    body.set("labels", JSON.valueToTree(spec.labels()));
    body.set("models", JSON.valueToTree(spec.models()));
    body.put("capacity", spec.capacity());
    body.put("checksFencing", spec.checksFencing());
    body.put("draining", draining);
    body.put("load", laggedLoad());
    if (spec.kind() == EndpointKind.ENGINE) {
      body.set("cachedPrefixes", JSON.valueToTree(engine.reportedPrefixes()));
    }
    body.put("sequence", announcementSequence.incrementAndGet());
    Buffer payload = Buffer.buffer(body.toString());
    for (String entryUrl : spec.entryUrls()) {
      client
          .request(
              new RequestOptions()
                  .setMethod(HttpMethod.POST)
                  .setAbsoluteURI(entryUrl + "/v1/endpoints/announce")
                  .setConnectTimeout(1_000)
                  .setIdleTimeout(2_000))
          .compose(r -> r.send(payload))
          .onFailure(e -> {}); // Not retried; the next announcement follows after the interval.
    }
  }

  /**
   * Announces draining and shuts down. Requests are accepted for {@link #MIN_DRAIN_MILLIS}, and
   * longer while requests are in flight, at most {@link #MAX_DRAIN_MILLIS}.
   */
  @Override
  public void close() throws Exception {
    draining = true;
    vertx.cancelTimer(announceTimer);
    announce();
    long earliestStopNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MIN_DRAIN_MILLIS);
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS);
    while (System.nanoTime() < earliestStopNanos
        || inFlight.get() > 0 && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    server.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }
}
