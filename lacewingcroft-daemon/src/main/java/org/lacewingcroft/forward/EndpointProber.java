package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.http.ResponseBodies;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Probes endpoints that do not respond to this entry, so that callers' requests are sent to them
 * only once they do, and those to which all connections were lost, since they may have started
 * again. A probe opens a new connection and, if the service has a health path, requests it; any
 * response shows that the endpoint is reachable, whether or not it is healthy, and states how long
 * it stays cold.
 *
 * <p>Confined to the event loop thread.
 */
final class EndpointProber implements EntryNode.EndpointConnections {
  private static final System.Logger LOG = System.getLogger(EndpointProber.class.getName());

  private static final long CHECK_INTERVAL_MILLIS = 100;

  /** Time in which a health check has to be answered; it may wait for a slot of the endpoint. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

  /** Maximum size of the body of a response to a health check, which is not used. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  /** Time for which a connection must stay open if nothing can be requested on it. */
  private static final long MIN_OPEN_MILLIS = 100;

  private static final Pattern MILLIS = Pattern.compile("\\d{1,7}");

  private static final int STATUS_OK = 200;

  /**
   * What an endpoint states of itself in its response to a probe.
   *
   * @param instanceId its id, empty if it does not state it
   * @param coldFor how long it stays cold, empty if that is not known
   */
  private record Statement(Optional<String> instanceId, Optional<Duration> coldFor) {
    private static final Statement NONE = new Statement(Optional.empty(), Optional.empty());
  }

  private final Vertx vertx;
  private final EntryNode node;
  private final UpstreamConnections connections;
  private final HeaderNames headerNames;
  private final EndpointLoadReader loadReader;
  private final InstantSource clock;

  EndpointProber(
      Vertx vertx,
      EntryNode node,
      UpstreamConnections connections,
      HeaderNames headerNames,
      EndpointLoadReader loadReader,
      InstantSource clock) {
    this.vertx = vertx;
    this.node = node;
    this.connections = connections;
    this.headerNames = headerNames;
    this.loadReader = loadReader;
    this.clock = clock;
  }

  /** Starts probing. */
  void start() {
    vertx.setPeriodic(CHECK_INTERVAL_MILLIS, id -> node.endpointsToProbe().forEach(this::probe));
  }

  @Override
  public boolean isConnectedTo(String address) {
    return connections.isConnectedTo(address);
  }

  @Override
  public void probe(EndpointTracker endpoint) {
    endpoint.startProbe();
    String address = endpoint.record().address();
    Optional<String> healthPath =
        node.routing()
            .table()
            .service(endpoint.record().service())
            .flatMap(ServiceSpec::healthPath);
    connections
        .acquireNew(address, UpstreamConnections.Peer.ENDPOINT)
        .onFailure(e -> recordConnectFailure(endpoint))
        .compose(
            connection ->
                (healthPath.isPresent()
                        ? requestHealth(connection, endpoint, healthPath.get())
                        : stayOpen(connection))
                    .eventually(
                        () -> {
                          connection.close();
                          return Future.succeededFuture();
                        }))
        .onSuccess(statement -> onResponded(endpoint, statement))
        .onFailure(cause -> onFailed(endpoint, cause));
  }

  /**
   * Records that an endpoint which was not suspected cannot be connected to. A suspected one counts
   * as unreachable after several failed probes only.
   */
  private void recordConnectFailure(EndpointTracker endpoint) {
    Instant now = clock.instant();
    if (endpoint.isResponding(now)) {
      endpoint.recordConnectFailure(now);
    }
  }

  private Future<Statement> requestHealth(
      UpstreamConnections.PooledConnection connection, EndpointTracker endpoint, String path) {
    RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setURI(path);
    options.putHeader("Host", endpoint.record().address());
    return connection
        .connection()
        .request(options)
        .compose(request -> request.send())
        .onSuccess(response -> loadReader.read(endpoint, response))
        .compose(
            response ->
                ResponseBodies.read(vertx, response, MAX_BODY_BYTES, RESPONSE_TIMEOUT)
                    .map((Buffer body) -> statementOf(response)))
        .timeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** A warm endpoint may omit the time; one that is not healthy may omit it although it is cold. */
  private Statement statementOf(HttpClientResponse response) {
    Optional<String> millis = Optional.ofNullable(response.getHeader(headerNames.warmUpMillis()));
    Optional<Duration> coldFor =
        millis.isPresent()
            ? millis
                .filter(m -> MILLIS.matcher(m).matches())
                .map(Long::parseLong)
                .map(Duration::ofMillis)
            : Optional.of(Duration.ZERO).filter(d -> response.statusCode() == STATUS_OK);
    return new Statement(
        Optional.ofNullable(response.getHeader(headerNames.instanceId())), coldFor);
  }

  private Future<Statement> stayOpen(UpstreamConnections.PooledConnection connection) {
    return vertx
        .timer(MIN_OPEN_MILLIS)
        .compose(
            elapsed ->
                connection.isUnusable()
                    ? Future.failedFuture(new TimeoutException("the connection was closed"))
                    : Future.succeededFuture(Statement.NONE));
  }

  private void onResponded(EndpointTracker endpoint, Statement statement) {
    Duration coldFor =
        statement
            .coldFor()
            .orElseGet(() -> endpoint.isUnverified() ? node.warmUpOf(endpoint) : Duration.ZERO);
    endpoint.recordProbeSuccess(coldFor, clock.instant());
    if (statement.instanceId().filter(id -> !id.equals(endpoint.record().id())).isPresent()) {
      endpoint.markReplaced();
    }
    log(endpoint, Optional.of(statement), coldFor, "none");
  }

  private void onFailed(EndpointTracker endpoint, Throwable cause) {
    endpoint.recordProbeFailure(node.maxProbeInterval(), clock.instant());
    log(endpoint, Optional.empty(), Duration.ZERO, String.valueOf(cause.getMessage()));
  }

  private static void log(
      EndpointTracker endpoint, Optional<Statement> statement, Duration coldFor, String detail) {
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.probed",
        "endpoint",
        endpoint.record().id(),
        "responded",
        statement.isPresent(),
        "instance",
        statement.flatMap(Statement::instanceId).orElse("unknown"),
        "coldMillis",
        coldFor.toMillis(),
        "detail",
        detail);
  }
}
