package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lacewingcroft.fleet.EntryNode;
import org.lacewingcroft.http.ResponseBodies;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Probes endpoints that do not respond to this entry, so that callers' requests are sent to them
 * only once they do. A probe opens a new connection and, if the service has a health path, requests
 * it; any response shows that the endpoint is reachable, whether or not it is healthy.
 *
 * <p>Confined to the event loop thread.
 */
final class EndpointProber {
  private static final System.Logger LOG = System.getLogger(EndpointProber.class.getName());

  private static final long CHECK_INTERVAL_MILLIS = 100;

  /** Time in which a health check has to be answered; it may wait for a slot of the endpoint. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

  /** Maximum size of the body of a response to a health check, which is not used. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  /** Time for which a connection must stay open if nothing can be requested on it. */
  private static final long MIN_OPEN_MILLIS = 100;

  private final Vertx vertx;
  private final EntryNode node;
  private final UpstreamConnections connections;
  private final EndpointLoadReader loadReader;
  private final InstantSource clock;

  EndpointProber(
      Vertx vertx,
      EntryNode node,
      UpstreamConnections connections,
      EndpointLoadReader loadReader,
      InstantSource clock) {
    this.vertx = vertx;
    this.node = node;
    this.connections = connections;
    this.loadReader = loadReader;
    this.clock = clock;
  }

  /** Starts probing. */
  void start() {
    vertx.setPeriodic(CHECK_INTERVAL_MILLIS, id -> node.endpointsToProbe().forEach(this::probe));
  }

  private void probe(EndpointTracker endpoint) {
    endpoint.startProbe();
    String address = endpoint.record().address();
    Optional<String> healthPath =
        node.routing()
            .table()
            .service(endpoint.record().service())
            .flatMap(ServiceSpec::healthPath);
    connections
        .acquireNew(address, UpstreamConnections.Peer.ENDPOINT)
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
        .onComplete(result -> onProbed(endpoint, result.succeeded(), result.cause()));
  }

  private Future<Void> requestHealth(
      UpstreamConnections.PooledConnection connection, EndpointTracker endpoint, String path) {
    RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setURI(path);
    options.putHeader("Host", endpoint.record().address());
    return connection
        .connection()
        .request(options)
        .compose(request -> request.send())
        .onSuccess(response -> loadReader.read(endpoint, response))
        .compose(response -> ResponseBodies.read(vertx, response, MAX_BODY_BYTES, RESPONSE_TIMEOUT))
        .<Void>map((Buffer body) -> null)
        .timeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private Future<Void> stayOpen(UpstreamConnections.PooledConnection connection) {
    return vertx
        .timer(MIN_OPEN_MILLIS)
        .compose(
            elapsed ->
                connection.isUnusable()
                    ? Future.failedFuture(new TimeoutException("the connection was closed"))
                    : Future.succeededFuture());
  }

  private void onProbed(EndpointTracker endpoint, boolean responded, Throwable cause) {
    Instant now = clock.instant();
    if (responded) {
      endpoint.recordProbeSuccess(now);
    } else {
      Duration maxInterval = node.maxProbeInterval();
      endpoint.recordProbeFailure(maxInterval, now);
    }
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.probed",
        "endpoint",
        endpoint.record().id(),
        "responded",
        responded,
        "detail",
        cause == null ? "none" : String.valueOf(cause.getMessage()));
  }
}
