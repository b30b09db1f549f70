package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.fleet.FleetSettings;
import org.lacewingcroft.fleet.IsolatedEntry;
import org.lacewingcroft.http.RequestMemory;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceShare;
import org.lacewingcroft.route.ServiceSpec;

/**
 * An entry that is isolated from the fleet, a responder that serves as its endpoints, and a caller,
 * all on loopback in this process. Its requests run the code of the request path without reaching
 * endpoints, other instances, quotas, quarantine or metrics of the entry of this process. When it
 * is undeployed, Vert.x closes its servers and connections and cancels its timers.
 */
final class WarmUpStack extends VerticleBase {
  private static final String HOST = "127.0.0.1";
  private static final String ENGINE = "warm-up-engine";
  private static final String PLAIN = "warm-up-plain";
  private static final int ENDPOINTS_PER_SERVICE = 4;
  private static final int ENDPOINT_SLOTS = 8;
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration OBJECTIVE = Duration.ofMillis(500);
  private static final String EVENTS = "id: 1\ndata: warm-up\n\nid: 2\ndata: warm-up\n\n";

  /** The routes, one for each way in which requests are handled. */
  private static final List<Route> ROUTES =
      List.of(
          route("plan", RouteKind.STREAM, false, ENGINE),
          route("query", RouteKind.STREAM, true, ENGINE),
          route("order", RouteKind.AT_MOST_ONCE, false, PLAIN),
          route("status", RouteKind.IDEMPOTENT, false, PLAIN));

  private final FleetSettings settings;
  private final HeaderNames headerNames;
  private final InstantSource clock;
  private Optional<EntryNode> node = Optional.empty();
  private Optional<EntryServer> server = Optional.empty();
  private HttpClient caller;

  WarmUpStack(FleetSettings settings, HeaderNames headerNames, InstantSource clock) {
    this.settings = IsolatedEntry.settings(settings);
    this.headerNames = headerNames;
    this.clock = clock;
  }

  @Override
  public Future<?> start() {
    caller = vertx.createHttpClient();
    return vertx
        .createHttpServer()
        .requestHandler(this::respond)
        .listen(0, HOST)
        .compose(this::startEntry);
  }

  private Future<Void> startEntry(HttpServer responder) {
    EntryNode isolated =
        IsolatedEntry.create(
            context, settings, routeTable(), endpoints(responder.actualPort()), clock);
    EntryServer isolatedServer =
        new EntryServer(
            vertx,
            settings,
            isolated,
            headerNames,
            new GatewayMetrics(),
            new RequestMemory(Runtime.getRuntime().maxMemory(), heldBytes -> {}),
            clock);
    node = Optional.of(isolated);
    server = Optional.of(isolatedServer);
    SocketAddress anyPort = SocketAddress.inetSocketAddress(0, HOST);
    return isolatedServer.listen(anyPort, anyPort);
  }

  @Override
  public Future<?> stop() {
    node.ifPresent(EntryNode::close);
    return Future.succeededFuture();
  }

  private List<EndpointRecord> endpoints(int port) {
    List<EndpointRecord> records = new ArrayList<>();
    for (String service : List.of(ENGINE, PLAIN)) {
      for (int i = 0; i < ENDPOINTS_PER_SERVICE; i++) {
        records.add(
            new EndpointRecord(
                service + "-" + i,
                0,
                service,
                HOST + ":" + port,
                settings.failureDomain(),
                ENDPOINT_SLOTS,
                EndpointState.READY,
                1,
                0));
      }
    }
    return records;
  }

  private static RouteTable routeTable() {
    ServiceSpec.Engine engine = new ServiceSpec.Engine(ENDPOINT_SLOTS, 100_000, 1, 1_000, 1_000);
    return new RouteTable(
        1,
        ROUTES,
        List.of(service(ENGINE, Optional.of(engine)), service(PLAIN, Optional.empty())),
        RequestLimits.DEFAULT);
  }

  private static ServiceSpec service(String name, Optional<ServiceSpec.Engine> engine) {
    return new ServiceSpec(name, ENDPOINT_SLOTS, Duration.ZERO, 0, Optional.empty(), engine);
  }

  private static Route route(String name, RouteKind kind, boolean resumable, String service) {
    return new Route(
        "warm-up-" + name,
        HOST,
        "/" + name + "/",
        kind,
        TIMEOUT,
        OBJECTIVE,
        0,
        List.of(new ServiceShare(service, 1)),
        /* maxAttempts= */ 1,
        resumable,
        Optional.empty(),
        Set.of(),
        false);
  }

  private void respond(HttpServerRequest request) {
    HttpServerResponse response = request.response();
    String id = Optional.ofNullable(request.getHeader(headerNames.requestId())).orElse("");
    response.putHeader(headerNames.requestId(), id);
    response.putHeader(headerNames.signature(), "none").putHeader("Keep-Alive", "timeout=5");
    if (request.path().startsWith("/plan/") || request.path().startsWith("/query/")) {
      response.putHeader("Content-Type", "text/event-stream").setChunked(true);
    }
    response.end(EVENTS);
  }

  /**
   * Sends one request through the isolated entry; must be called on the stack's context.
   *
   * @param number the number of the request, which selects its route
   * @return the status of the complete response
   */
  Future<Integer> send(int number) {
    Route route = ROUTES.get(number % ROUTES.size());
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(HOST)
            .setPort(server.orElseThrow().publicPort())
            .setURI(route.pathPrefix() + number)
            .putHeader(headerNames.requestId(), "warm-up-" + number)
            .putHeader(headerNames.deadlineMillis(), Long.toString(TIMEOUT.toMillis()));
    if (route.kind() == RouteKind.STREAM) {
      options
          .putHeader(headerNames.promptParts(), "warm-up:2000,own-" + number + ":300")
          .putHeader(headerNames.tokenUsage(), "2300,20")
          .putHeader(headerNames.lengthHint(), "10");
    }
    return caller
        .request(options)
        .compose(request -> request.send(Buffer.buffer("warm-up")))
        .compose(response -> response.body().map(body -> response.statusCode()));
  }
}
