package org.lacewingcroft.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.http.ResponseMetrics;
import org.lacewingcroft.http.StrictResponseDecoder;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.peer.SocketAddresses;
import org.lacewingcroft.placement.KeepAlivePolicy;

/**
 * A pool of HTTP/1.1 connections to endpoints and other entries, with one request at a time on
 * each. An idle connection is reused only while the peer is certain to keep it open: a request
 * written to a connection that the peer is closing may or may not have run, and has to be failed if
 * it must not run twice.
 *
 * <p>Confined to the event loop thread.
 */
final class UpstreamConnections {
  /**
   * Idle timeout of connections to other entries: below the 75 s after which the other entry closes
   * them, and short enough that a connection to an unresponsive entry is soon closed.
   */
  static final Duration RELAY_IDLE_TIMEOUT = Duration.ofSeconds(20);

  /** Connect timeout of connections to other entries: several round trips between regions. */
  private static final Duration RELAY_CONNECT_TIMEOUT = Duration.ofMillis(900);

  /**
   * Connect timeout of connections to endpoints, which are in this region. A lost SYN packet is
   * repeated after one second, so a longer time helps only if the network is congested.
   */
  private static final Duration ENDPOINT_CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Maximum size of the part of a response that is held until it is complete. */
  static final int MAX_HELD_BYTES = 8 << 20;

  /** Maximum size of what is held of all responses. */
  private static final long MAX_TOTAL_HELD_BYTES = 24 << 20;

  /** Interval at which idle connections are checked for expiry. */
  private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 1_000;

  /** The kinds of server to which connections are opened. */
  enum Peer {
    /** An endpoint of this region. */
    ENDPOINT(ENDPOINT_CONNECT_TIMEOUT, true),
    /** Another entry; earlier versions omit the id in error responses. */
    ENTRY(RELAY_CONNECT_TIMEOUT, false);

    private final Duration connectTimeout;
    private final boolean requiresId;

    Peer(Duration connectTimeout, boolean requiresId) {
      this.connectTimeout = connectTimeout;
      this.requiresId = requiresId;
    }
  }

  /** Receives the loss of connections to endpoints. */
  interface LossListener {
    /**
     * Called when the last connection to an endpoint has ended, unless this pool closed all that it
     * had since it last had none.
     *
     * @param address the endpoint's address
     * @param reset whether one of the connections was reset
     */
    void connectionsLost(String address, boolean reset);
  }

  /** The open connections to the endpoint at one address. */
  private static final class OpenConnections {
    private int count;
    private boolean closedByPeer;
    private boolean reset;
  }

  private final HttpClientAgent client;
  private final InstantSource clock;
  private final LinkTraffic traffic;
  private final GatewayMetrics metrics;
  private final Map<Peer, StrictResponseDecoder.Rules> responseRules = new EnumMap<>(Peer.class);
  private final KeepAlivePolicy keepAlivePolicy = new KeepAlivePolicy();
  private final Map<String, Deque<PooledConnection>> idle = new HashMap<>();
  private final Map<String, OpenConnections> openToEndpoints = new HashMap<>();
  private final LossListener lossListener;
  private long totalHeldBytes;

  /**
   * Creates an empty pool.
   *
   * @param bindAddress the local address of new connections, empty for the system's choice
   * @param traffic counts the bytes of the connections
   * @param headerNames the headers of responses
   * @param metrics counts the connections that are retired or replaced
   * @param lossListener receives the loss of connections to endpoints
   */
  UpstreamConnections(
      Vertx vertx,
      Optional<String> bindAddress,
      InstantSource clock,
      LinkTraffic traffic,
      HeaderNames headerNames,
      GatewayMetrics metrics,
      LossListener lossListener) {
    this.clock = clock;
    this.lossListener = lossListener;
    this.traffic = traffic;
    this.metrics = metrics;
    HttpClientOptions options =
        new HttpClientOptions()
            .setKeepAlive(true)
            .setTcpNoDelay(true)
            .setDecompressionSupported(false);
    bindAddress.ifPresent(options::setLocalAddress);
    for (Peer peer : Peer.values()) {
      responseRules.put(peer, responseRules(options, headerNames, metrics, peer));
    }
    this.client = vertx.httpClientBuilder().with(options).with(new PoolOptions()).build();
    vertx.setPeriodic(EXPIRY_CHECK_INTERVAL_MILLIS, id -> closeExpired());
  }

  private static StrictResponseDecoder.Rules responseRules(
      HttpClientOptions options, HeaderNames headerNames, GatewayMetrics metrics, Peer peer) {
    return new StrictResponseDecoder.Rules(
        options,
        headerNames.requestId(),
        Set.of(
            headerNames.requestId(), headerNames.signature(), headerNames.notRun(), "Content-Type"),
        peer.requiresId,
        head -> isRefusal(head, headerNames, peer),
        new ResponseMetrics(metrics));
  }

  private static boolean isRefusal(HttpResponse head, HeaderNames headerNames, Peer peer) {
    return peer == Peer.ENTRY
        ? head.headers().contains(CallerResponse.NOT_RUN_HEADER)
        : head.headers().contains(headerNames.notRun())
            || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
  }

  /**
   * The place of a request on its connection.
   *
   * @param localPort the port of this entry, which identifies the connection in logs; 0 if the
   *     connection was closed as soon as it was open
   * @param requestNumber the number of the request on the connection, from 1
   */
  record ConnectionUse(int localPort, int requestNumber) {
    /** Stands for no connection. */
    static final ConnectionUse NONE = new ConnectionUse(0, 0);
  }

  /** A connection that is either in use for one request or idle in the pool. */
  final class PooledConnection {
    private final String address;
    private final Peer peer;
    private final HttpClientConnection connection;
    private final StrictResponseDecoder responses;
    private final int localPort;
    private Optional<Duration> advertisedKeepAlive = Optional.empty();
    private Optional<Duration> fixedIdleTimeout = Optional.empty();
    private Optional<Instant> idleSince = Optional.empty();
    private Optional<Duration> idleTimeBeforeReuse = Optional.empty();
    private int heldBytes;
    private int requests;
    private boolean closed;
    private boolean closedByPool;
    private boolean reset;

    private PooledConnection(String address, HttpClientConnection connection, Peer peer) {
      this.address = address;
      this.peer = peer;
      this.connection = connection;
      this.responses = StrictResponseDecoder.install(connection, responseRules.get(peer));
      this.localPort =
          Optional.ofNullable(connection.localAddress()).map(SocketAddress::port).orElse(0);
      traffic.clientConnectionOpened();
      recordOpened(this);
      connection.closeHandler(
          v -> {
            closed = true;
            releaseHeld();
            traffic.clientConnectionClosed();
            removeIdle(this);
            recordClosed(this);
          });
      connection.exceptionHandler(e -> reset |= e instanceof IOException);
    }

    HttpClientConnection connection() {
      return connection;
    }

    /** Lets the next request await its response behind a complete one to the request before. */
    void skipPreviousResponse() {
      responses.skipPreviousResponse();
    }

    /** Counts a request that is now written, and returns its place on the connection. */
    ConnectionUse recordRequest() {
      requests++;
      return new ConnectionUse(localPort, requests);
    }

    /** Returns the counter of the bytes of the requests and responses on this connection. */
    LinkTraffic traffic() {
      return traffic;
    }

    /** Returns whether a request was refused on the connection and must not be written to it. */
    private boolean hasRefused(String requestId) {
      return responses.hasRefused(requestId);
    }

    /** Returns whether the connection is closed, or is about to be because it is retired. */
    boolean isUnusable() {
      return closed || !responses.isReusable();
    }

    /**
     * Returns the connection to the pool after a complete response of an endpoint.
     *
     * @param advertisedKeepAlive how long the endpoint keeps idle connections open, empty if not
     *     advertised
     */
    void release(Optional<Duration> advertisedKeepAlive) {
      this.advertisedKeepAlive = advertisedKeepAlive;
      returnToPool(Optional.empty());
    }

    /** Returns the connection to the pool with a fixed idle timeout. */
    void releaseWithIdleTimeout(Duration idleTimeout) {
      returnToPool(Optional.of(idleTimeout));
    }

    /**
     * Records the size of the part of the current response that is held, which ends when the
     * connection is released or closed.
     *
     * @return false if it exceeds a limit; the response must then be given up
     */
    boolean tryHold(int bytes) {
      long newTotalBytes = totalHeldBytes - heldBytes + bytes;
      if (bytes > MAX_HELD_BYTES || newTotalBytes > MAX_TOTAL_HELD_BYTES) {
        return false;
      }
      // What was read before the connection closed may be delivered later, after a pause.
      if (!closed) {
        totalHeldBytes = newTotalBytes;
        heldBytes = bytes;
      }
      return true;
    }

    private void releaseHeld() {
      totalHeldBytes -= heldBytes;
      heldBytes = 0;
    }

    private void returnToPool(Optional<Duration> idleTimeout) {
      releaseHeld();
      if (isUnusable()) {
        return;
      }
      fixedIdleTimeout = idleTimeout;
      idleSince = Optional.of(clock.instant());
      idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addFirst(this);
    }

    private boolean isReusable(Instant now) {
      Duration idleTimeout =
          fixedIdleTimeout.orElseGet(
              () -> keepAlivePolicy.idleTimeout(address, advertisedKeepAlive, now));
      return !isUnusable()
          && idleSince.filter(since -> since.plus(idleTimeout).isAfter(now)).isPresent();
    }

    /** Records that the connection was reset before any byte of a response. */
    void recordResetBeforeResponse() {
      Instant now = clock.instant();
      idleTimeBeforeReuse.ifPresent(
          idleTime -> keepAlivePolicy.recordReset(address, idleTime, now));
    }

    /** Closes the connection, which also cancels the request on it. */
    void close() {
      closedByPool = true;
      closeAfterFailure();
    }

    /** Closes the connection after an error, which counts as a loss of the connection. */
    void closeAfterFailure() {
      closed = true;
      connection.close();
    }
  }

  /**
   * Opens a new connection and closes the idle ones. Used for an endpoint that became unresponsive:
   * a request written to an old connection may or may not run, whereas a failure to connect proves
   * that it has not.
   */
  Future<PooledConnection> acquireNew(String address, Peer peer) {
    List.copyOf(idle.getOrDefault(address, new ArrayDeque<>())).forEach(PooledConnection::close);
    idle.remove(address);
    return connect(address, peer);
  }

  /**
   * Returns an idle connection on which a request was not refused, or opens a new one if there is
   * none. A new one replaces an idle one on which the request was refused, so that callers who send
   * a request often do not use up the connections that the peer accepts.
   */
  Future<PooledConnection> acquire(String address, Peer peer, String requestId) {
    Deque<PooledConnection> idleConnections = idle.getOrDefault(address, new ArrayDeque<>());
    Deque<PooledConnection> passedOver = new ArrayDeque<>(1);
    Instant now = clock.instant();
    while (!idleConnections.isEmpty()) {
      PooledConnection pooled = idleConnections.removeFirst();
      if (!pooled.isReusable(now)) {
        pooled.close();
      } else if (pooled.hasRefused(requestId)) {
        passedOver.addLast(pooled);
      } else {
        addIdle(address, passedOver);
        pooled.idleTimeBeforeReuse = pooled.idleSince.map(since -> Duration.between(since, now));
        return Future.succeededFuture(pooled);
      }
    }
    if (!passedOver.isEmpty()) {
      metrics.passedOverConnections.inc();
      passedOver.removeLast().close();
      addIdle(address, passedOver);
    }
    return connect(address, peer);
  }

  /** Adds connections before those that are idle, in their order. */
  private void addIdle(String address, Deque<PooledConnection> connections) {
    if (!connections.isEmpty()) {
      Deque<PooledConnection> idleConnections =
          idle.computeIfAbsent(address, a -> new ArrayDeque<>());
      connections.descendingIterator().forEachRemaining(idleConnections::addFirst);
    }
  }

  /**
   * Opens an idle connection to another entry unless there is one already.
   *
   * @param idleTimeout the idle timeout of a new connection
   * @return fails if the connection cannot be established
   */
  Future<Void> ensureIdleConnection(String address, Duration idleTimeout) {
    if (!idle.getOrDefault(address, new ArrayDeque<>()).isEmpty()) {
      return Future.succeededFuture();
    }
    return connect(address, Peer.ENTRY)
        .onSuccess(pooled -> pooled.releaseWithIdleTimeout(idleTimeout))
        .mapEmpty();
  }

  private Future<PooledConnection> connect(String address, Peer peer) {
    SocketAddress target = SocketAddresses.parse(address);
    return client
        .connect(
            new HttpConnectOptions()
                .setHost(target.host())
                .setPort(target.port())
                .setConnectTimeout(Math.toIntExact(peer.connectTimeout.toMillis())))
        .map(connection -> new PooledConnection(address, connection, peer));
  }

  /** Returns whether a connection to the endpoint at an address is open. */
  boolean isConnectedTo(String address) {
    return openToEndpoints.containsKey(address);
  }

  private void recordOpened(PooledConnection pooled) {
    if (pooled.peer == Peer.ENDPOINT) {
      openToEndpoints.computeIfAbsent(pooled.address, a -> new OpenConnections()).count++;
    }
  }

  private void recordClosed(PooledConnection pooled) {
    OpenConnections open = openToEndpoints.get(pooled.address);
    if (pooled.peer != Peer.ENDPOINT || open == null) {
      return;
    }
    open.count--;
    open.closedByPeer |= !pooled.closedByPool;
    open.reset |= pooled.reset;
    if (open.count == 0) {
      openToEndpoints.remove(pooled.address);
      if (open.closedByPeer) {
        lossListener.connectionsLost(pooled.address, open.reset);
      }
    }
  }

  private void removeIdle(PooledConnection pooled) {
    Deque<PooledConnection> idleConnections = idle.get(pooled.address);
    if (idleConnections != null) {
      idleConnections.remove(pooled);
      if (idleConnections.isEmpty()) {
        idle.remove(pooled.address);
      }
    }
  }

  private void closeExpired() {
    Instant now = clock.instant();
    for (Deque<PooledConnection> idleConnections : List.copyOf(idle.values())) {
      for (PooledConnection pooled : List.copyOf(idleConnections)) {
        if (!pooled.isReusable(now)) {
          pooled.close();
          removeIdle(pooled);
        }
      }
    }
  }
}
