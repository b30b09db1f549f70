package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.EntrySettings;
import org.lacewingcroft.fleet.FleetSettings;
import org.lacewingcroft.fleet.IsolatedEntry;
import org.lacewingcroft.fleet.WarmUpPolicy;
import org.lacewingcroft.http.RequestMemory;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Guards against a warm-up that reaches endpoints or metrics of callers' requests, delays callers,
 * or keeps an entry from becoming ready.
 */
class RequestWarmUpTest {
  private static final int REQUESTS = 40;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

  /** Referenced here because a client without references closes its connections. */
  private final HttpClient caller = vertx.createHttpClient();

  private final Context context = vertx.getOrCreateContext();
  private final MonotonicInstantSource clock = new MonotonicInstantSource();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final AtomicInteger endpointRequests = new AtomicInteger();
  private EntryNode node;
  private EntryServer server;

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @ParameterizedTest(name = "first start: {0}")
  @ValueSource(booleans = {true, false})
  void requestsReachNeitherEndpointsNorMetricsAndReadinessWaitsAtFirstStart(boolean firstStart)
      throws Exception {
    FleetSettings settings = settings(firstStart, Map.of("north-a", "north"));
    startEntry(settings);
    assertThat(startWarmUp(settings, REQUESTS), is(!firstStart));
    awaitOutcome("complete");
    assertThat(
        metrics.scrape(),
        containsString("lwc_warm_up_requests_total{outcome=\"answered\"} " + REQUESTS + ".0"));
    assertThat(metrics.scrape(), not(containsString("lwc_placements_total{")));
    assertThat(metrics.scrape(), not(containsString("lwc_requests_total{")));
    assertThat(endpointRequests.get(), is(0));
    assertThat(node.ready(), is(true));
    awaitNoDeployment();
  }

  @Test
  void endsWithoutEffectIfItsRequestsFail() throws Exception {
    FleetSettings settings = settings(true, Map.of());
    startEntry(settings);
    startWarmUp(settings, REQUESTS);
    awaitOutcome("failed");
    assertThat(node.ready(), is(true));
    awaitNoDeployment();
  }

  @Test
  void doesNotBeginWhileCallersRequestIsPresent() throws Exception {
    FleetSettings settings = settings(false, Map.of("north-a", "north"));
    startEntry(settings);
    caller
        .request(HttpMethod.POST, server.publicPort(), "127.0.0.1", "/s/1")
        .compose(request -> request.putHeader("X-Request-Id", "1").send());
    for (int i = 0; i < 400 && server.inFlight() == 0; i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    startWarmUp(settings, REQUESTS);
    awaitOutcome("skipped");
    assertThat(metrics.scrape(), not(containsString("lwc_warm_up_requests_total{")));
  }

  @Test
  void doesNothingIfSwitchedOff() throws Exception {
    FleetSettings settings = settings(true, Map.of("north-a", "north"));
    startEntry(settings);
    assertThat(startWarmUp(settings, 0), is(true));
    TimeUnit.MILLISECONDS.sleep(500);
    assertThat(metrics.scrape(), not(containsString("lwc_warm_ups_total{")));
  }

  private void awaitOutcome(String outcome) throws InterruptedException {
    String line = "lwc_warm_ups_total{outcome=\"" + outcome + "\"} 1.0";
    for (int i = 0; i < 1_000 && !metrics.scrape().contains(line); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(metrics.scrape(), containsString(line));
    TimeUnit.MILLISECONDS.sleep(100);
  }

  private void awaitNoDeployment() throws InterruptedException {
    for (int i = 0; i < 500 && !vertx.deploymentIDs().isEmpty(); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(vertx.deploymentIDs(), empty());
  }

  /** Starts the warm-up and returns whether the entry is ready directly afterwards. */
  private boolean startWarmUp(FleetSettings settings, int requests) throws Exception {
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          new RequestWarmUp(
                  vertx,
                  settings,
                  node,
                  server,
                  FleetHarness.HEADER_NAMES,
                  metrics,
                  clock,
                  new WarmUpPolicy(requests))
              .start();
          ready.complete(node.ready());
        });
    return ready.get(10, TimeUnit.SECONDS);
  }

  /** Starts an entry with an endpoint that counts requests and does not respond to them. */
  private void startEntry(FleetSettings settings) throws Exception {
    CompletableFuture<Void> started = new CompletableFuture<>();
    context.runOnContext(
        v ->
            vertx
                .createHttpServer()
                .requestHandler(request -> endpointRequests.incrementAndGet())
                .listen(0, "127.0.0.1")
                .compose(endpoint -> listen(settings, endpoint))
                .onSuccess(started::complete)
                .onFailure(started::completeExceptionally));
    started.get(10, TimeUnit.SECONDS);
  }

  private io.vertx.core.Future<Void> listen(FleetSettings settings, HttpServer endpoint) {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo("s", RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(5))),
            List.of(FleetHarness.serviceNamed("s")),
            RequestLimits.DEFAULT);
    EndpointRecord record =
        new EndpointRecord(
            "e",
            0,
            "s",
            "127.0.0.1:" + endpoint.actualPort(),
            "north-a",
            8,
            EndpointState.READY,
            1,
            0);
    node =
        IsolatedEntry.create(
            context, IsolatedEntry.settings(settings), table, List.of(record), clock);
    server =
        new EntryServer(
            vertx,
            settings,
            node,
            FleetHarness.HEADER_NAMES,
            metrics,
            new RequestMemory(Runtime.getRuntime().maxMemory(), heldBytes -> {}),
            clock);
    SocketAddress anyPort = SocketAddress.inetSocketAddress(0, "127.0.0.1");
    return server.listen(anyPort, anyPort);
  }

  private static FleetSettings settings(boolean firstStart, Map<String, String> regions) {
    return EntrySettings.of(
        "entry", regions, 0, 0, firstStart, Duration.ofMillis(300), FleetHarness.BOUNDS);
  }
}
