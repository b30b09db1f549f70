package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.peer.SocketAddresses;
import org.lacewingcroft.placement.KeepAlivePolicy;

/**
 * A pool of HTTP/1.1 connections to endpoints and other entries, with one request at a time on each.
 * An idle connection is reused only while the peer is certain to keep it open: a request written to a
 * connection that the peer is closing may or may not have run, and has to be failed if it must not
 * run twice.
 *
 * <p>Confined to the event loop thread.
 */
final class UpstreamConnections {
  /**
   * Idle timeout of connections to other entries: below the 75 s after which the other entry closes
   * them, and short enough that a connection to an unresponsive entry is soon closed.
   */
  static final Duration RELAY_KEEP = Duration.ofSeconds(20);

  /** Several round trips between regions; within a region connecting takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 900;

  /** Interval at which idle connections are checked for expiry. */
  private static final long SWEEP_MILLIS = 1_000;

  private final HttpClientAgent client;
  private final InstantSource clock;
  private final KeepAlivePolicy keeping = new KeepAlivePolicy();
  private final Map<String, Deque<Lease>> idle = new HashMap<>();

  UpstreamConnections(Vertx vertx, InstantSource clock) {
    this.clock = clock;
    this.client =
        vertx
            .httpClientBuilder()
            .with(
                new HttpClientOptions()
                    .setKeepAlive(true)
                    .setTcpNoDelay(true)
                    .setDecompressionSupported(false)
                    .setConnectTimeout(CONNECT_TIMEOUT_MILLIS))
            .with(new PoolOptions())
            .build();
    vertx.setPeriodic(SWEEP_MILLIS, id -> sweep());
  }

  /** A connection that is either in use for one request or idle in the pool. */
  final class Lease {
    private final String address;
    private final HttpClientConnection connection;
    private Optional<Duration> stated = Optional.empty();
    private Optional<Duration> chosenKeep = Optional.empty();
    private Optional<Instant> restsSince = Optional.empty();
    private Optional<Duration> restedFor = Optional.empty();
    private boolean closed;

    private Lease(String address, HttpClientConnection connection) {
      this.address = address;
      this.connection = connection;
      connection.closeHandler(
          v -> {
            closed = true;
            forget(this);
          });
      connection.exceptionHandler(e -> {});
    }

    HttpClientConnection connection() {
      return connection;
    }

    /**
     * Returns the connection to the pool after a complete response of an endpoint.
     *
     * @param stated how long the endpoint keeps idle connections open, empty if not advertised
     */
    void release(Optional<Duration> stated) {
      this.stated = stated;
      rest(Optional.empty());
    }

    /** Returns the connection to the pool with a fixed idle timeout. */
    void keepFor(Duration keep) {
      rest(Optional.of(keep));
    }

    private void rest(Optional<Duration> keep) {
      if (closed) {
        return;
      }
      chosenKeep = keep;
      restsSince = Optional.of(clock.instant());
      idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addFirst(this);
    }

    private boolean usable(Instant now) {
      Duration keep = chosenKeep.orElseGet(() -> keeping.idleTimeout(address, stated, now));
      return !closed && restsSince.filter(since -> since.plus(keep).isAfter(now)).isPresent();
    }

    /** Records that the connection was reset before any byte of a response. */
    void resetUnanswered() {
      Instant now = clock.instant();
      restedFor.ifPresent(rested -> keeping.recordReset(address, rested, now));
    }

    /** Closes the connection, which also cancels the request on it. */
    void discard() {
      closed = true;
      connection.close();
    }
  }

  /**
   * Opens a new connection and closes the idle ones. Used for an endpoint that became unresponsive:
   * a request written to an old connection may or may not run, whereas a failure to connect proves
   * that it has not.
   */
  Future<Lease> acquireFresh(String address) {
    List.copyOf(idle.getOrDefault(address, new ArrayDeque<>())).forEach(Lease::discard);
    idle.remove(address);
    return connect(address);
  }

  /** Returns an idle connection, or opens a new one if there is none. */
  Future<Lease> acquire(String address) {
    Deque<Lease> waiting = idle.getOrDefault(address, new ArrayDeque<>());
    Instant now = clock.instant();
    while (!waiting.isEmpty()) {
      Lease lease = waiting.removeFirst();
      if (lease.usable(now)) {
        lease.restedFor = lease.restsSince.map(since -> Duration.between(since, now));
        return Future.succeededFuture(lease);
      }
      lease.discard();
    }
    return connect(address);
  }

  /**
   * Opens an idle connection unless there is one already.
   *
   * @param keep the idle timeout of a new connection
   * @return fails if the connection cannot be established
   */
  Future<Void> warm(String address, Duration keep) {
    if (!idle.getOrDefault(address, new ArrayDeque<>()).isEmpty()) {
      return Future.succeededFuture();
    }
    return connect(address).onSuccess(lease -> lease.keepFor(keep)).mapEmpty();
  }

  private Future<Lease> connect(String address) {
    SocketAddress target = SocketAddresses.parse(address);
    return client
        .connect(
            new HttpConnectOptions()
                .setHost(target.host())
                .setPort(target.port())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS))
        .map(connection -> new Lease(address, connection));
  }

  private void forget(Lease lease) {
    Deque<Lease> waiting = idle.get(lease.address);
    if (waiting != null) {
      waiting.remove(lease);
      if (waiting.isEmpty()) {
        idle.remove(lease.address);
      }
    }
  }

  private void sweep() {
    Instant now = clock.instant();
    for (Deque<Lease> waiting : List.copyOf(idle.values())) {
      for (Lease lease : List.copyOf(waiting)) {
        if (!lease.usable(now)) {
          lease.discard();
          forget(lease);
        }
      }
    }
  }
}
