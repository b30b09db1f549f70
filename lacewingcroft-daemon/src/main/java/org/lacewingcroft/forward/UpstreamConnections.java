package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Connections to endpoints and other entries, one request at a time on each, kept for reuse while
 * the other side surely keeps them too: a request written to a connection that is just being closed
 * may or may not have run, and must then be given up where it may not run twice.
 *
 * <p>Owned by the event loop.
 */
final class UpstreamConnections {
  /** Idle time after which a connection is not reused if the other side states no timeout. */
  private static final Duration DEFAULT_KEEP = Duration.ofSeconds(4);

  /** Kept free below the timeout that the other side states in whole seconds. */
  private static final Duration KEEP_MARGIN = Duration.ofSeconds(1);

  /**
   * Idle time for which a connection to another entry is kept: below the 75 s after which that one
   * drops it, and short enough that one gone silent is not kept for long.
   */
  static final Duration RELAY_KEEP = Duration.ofSeconds(20);

  private static final Duration SHORTEST_KEEP = Duration.ofMillis(400);

  /** Several round trips between regions; within one a connection takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 900;

  /** How often idle connections are looked through. */
  private static final long SWEEP_MILLIS = 1_000;

  private final HttpClientAgent client;
  private final InstantSource clock;
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
    private Instant idleUntil = Instant.MAX;
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

    /** Gives it back after a whole answer. */
    void release(Optional<Duration> keepAlive) {
      if (closed) {
        return;
      }
      Duration keep = keepAlive.map(k -> k.minus(KEEP_MARGIN)).orElse(DEFAULT_KEEP);
      Duration kept = keep.compareTo(SHORTEST_KEEP) < 0 ? SHORTEST_KEEP : keep;
      idleUntil = clock.instant().plus(kept);
      idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addFirst(this);
    }

    /** Closes it, which also cancels the request on it. */
    void discard() {
      closed = true;
      connection.close();
    }
  }

  /** Returns an idle connection or a new one. */
  Future<Lease> acquire(String address) {
    Deque<Lease> waiting = idle.getOrDefault(address, new ArrayDeque<>());
    Instant now = clock.instant();
    while (!waiting.isEmpty()) {
      Lease lease = waiting.removeFirst();
      if (!lease.closed && lease.idleUntil.isAfter(now)) {
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
    return connect(address).onSuccess(lease -> lease.release(Optional.of(keep))).mapEmpty();
  }

  private Future<Lease> connect(String address) {
    int colon = address.lastIndexOf(':');
    return client
        .connect(
            new HttpConnectOptions()
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
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
    for (Deque<Lease> waiting : java.util.List.copyOf(idle.values())) {
      for (Lease lease : java.util.List.copyOf(waiting)) {
        if (!lease.idleUntil.isAfter(now)) {
          lease.discard();
          forget(lease);
        }
      }
    }
  }
}
