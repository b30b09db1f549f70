package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.peer.LoopbackPorts;

/**
 * An endpoint that starts again at its address, under its id, and states in its health responses
 * how long it stays cold.
 */
final class RestartableEndpoint implements AutoCloseable {
  static final String HEALTH_PATH = "/health";

  private final Vertx vertx;
  private final String id;
  private final NetServerOptions options;
  private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
  private final List<AdvertisingEndpoints.Arrival> arrivals = new CopyOnWriteArrayList<>();
  private volatile long coldUntilNanos = System.nanoTime();
  private NetServer server;

  /**
   * Starts the endpoint.
   *
   * @param resets whether it resets its connections when it ends, instead of closing them
   */
  RestartableEndpoint(Vertx vertx, String id, boolean resets) throws Exception {
    this.vertx = vertx;
    this.id = id;
    this.options = new NetServerOptions();
    if (resets) {
      options.setSoLinger(0);
    }
    listen(LoopbackPorts.allocatePort());
  }

  /** Listens at a port, which the server that was closed before it may release a moment later. */
  private void listen(int port) throws Exception {
    Future<NetServer> listening = Future.failedFuture("not tried yet");
    for (int i = 0; i < 50 && !listening.succeeded(); i++) {
      listening =
          vertx.createNetServer(options).connectHandler(this::onConnect).listen(port, "127.0.0.1");
      listening.toCompletionStage().toCompletableFuture().handle((s, e) -> s).get();
      TimeUnit.MILLISECONDS.sleep(listening.succeeded() ? 0 : 20);
    }
    server = listening.toCompletionStage().toCompletableFuture().get();
  }

  private void onConnect(NetSocket socket) {
    sockets.add(socket);
    socket.closeHandler(v -> sockets.remove(socket));
    socket.exceptionHandler(e -> {});
    RawRequests.read(socket, (head, body) -> respond(socket, head));
  }

  private void respond(NetSocket socket, String head) {
    final long nowNanos = System.nanoTime();
    String requestId = RawRequests.header(head, "x-request-id");
    String headers;
    if (head.startsWith("get " + HEALTH_PATH + " ")) {
      long coldNanos = Math.max(0, coldUntilNanos - nowNanos);
      headers =
          "X-Instance: %s\r\nX-Warm-Up: %d\r\n"
              .formatted(id, TimeUnit.NANOSECONDS.toMillis(coldNanos));
    } else {
      arrivals.add(new AdvertisingEndpoints.Arrival(nowNanos, requestId));
      headers = "X-Request-Id: %s\r\nX-Proof: signed\r\n".formatted(requestId);
    }
    socket.write("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 4\r\n\r\ndone");
  }

  int port() {
    return server.actualPort();
  }

  /** Closes or resets all connections, without a restart. */
  void closeConnections() {
    sockets.forEach(NetSocket::close);
  }

  /** Ends the endpoint and starts it again after some time, cold for the given time. */
  void restart(Duration downTime, Duration coldFor) throws Exception {
    final int port = port();
    closeConnections();
    close();
    TimeUnit.MILLISECONDS.sleep(downTime.toMillis());
    arrivals.clear();
    coldUntilNanos = System.nanoTime() + coldFor.toNanos();
    listen(port);
  }

  /** Returns the maximum number of requests in a second since the last restart. */
  int maxRequestsPerSecond() {
    return AdvertisingEndpoints.maxArrivalsWithin(List.copyOf(arrivals), 1_000);
  }

  @Override
  public void close() throws Exception {
    server.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
