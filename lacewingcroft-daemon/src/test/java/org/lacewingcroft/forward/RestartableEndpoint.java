package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
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
  private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
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
    long nowNanos = System.nanoTime();
    String headers;
    if (head.toLowerCase(Locale.ROOT).startsWith("get " + HEALTH_PATH + " ")) {
      long coldNanos = Math.max(0, coldUntilNanos - nowNanos);
      headers =
          "X-Instance: %s\r\nX-Warm-Up: %d\r\n"
              .formatted(id, TimeUnit.NANOSECONDS.toMillis(coldNanos));
    } else {
      arrivalNanos.add(nowNanos);
      String requestId = RawRequests.header(head, "x-request-id");
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
    arrivalNanos.clear();
    coldUntilNanos = System.nanoTime() + coldFor.toNanos();
    listen(port);
  }

  /** Returns the maximum number of requests in a second since the last restart. */
  int maxRequestsPerSecond() {
    List<Long> arrivals = List.copyOf(arrivalNanos);
    int start = 0;
    int max = 0;
    for (int end = 0; end < arrivals.size(); end++) {
      while (arrivals.get(end) - arrivals.get(start) > TimeUnit.SECONDS.toNanos(1)) {
        start++;
      }
      max = Math.max(max, end - start + 1);
    }
    return max;
  }

  @Override
  public void close() throws Exception {
    server.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
