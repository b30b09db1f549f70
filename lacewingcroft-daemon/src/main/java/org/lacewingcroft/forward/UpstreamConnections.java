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
 * Connections to endpoints and other entries, one request at a time on each, kept for reuse while
 * the other side surely keeps them too: a request written to a connection that is just being closed
 * may or may not have run, and must then be given up where it may not run twice.
 *
 * <p>Owned by the event loop.
 */
final class UpstreamConnections {
  /**
   * Idle time for which a connection to another entry is kept: below the 75 s after which that one
   * drops it, and short enough that one gone silent is not kept for long.
   */
  static final Duration RELAY_KEEP = Duration.ofSeconds(20);

  /** Several round trips between regions; within one a connection takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 900;

  /** How often idle connections are looked through. */
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

  /** A connection in use for one request. */
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
     * Gives it back after an endpoint's whole answer.
     *
     * @param stated how long the endpoint says that it keeps unused connections
     */
    void release(Optional<Duration> stated) {
      this.stated = stated;
      rest(Optional.empty());
    }

    /** Gives it back to be kept for a time that this side chooses. */
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

    /** Notes that it was reset before any byte of an answer. */
    void resetUnanswered() {
      Instant now = clock.instant();
      restedFor.ifPresent(rested -> keeping.recordReset(address, rested, now));
    }

    /** Closes it, which also cancels the request on it. */
    void discard() {
      closed = true;
      connection.close();
    }
  }

  /**
   * Returns a new connection and closes those kept. To an endpoint that fell silent a new one is
   * the only safe way to ask: if it cannot be had, the request has not run.
   */
  Future<Lease> acquireFresh(String address) {
    List.copyOf(idle.getOrDefault(address, new ArrayDeque<>())).forEach(Lease::discard);
    idle.remove(address);
    return connect(address);
  }

  /** Returns an idle connection or a new one. */
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
   * Opens a connection to keep unless one is idle already.
   *
   * @return fails if it cannot be had
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
