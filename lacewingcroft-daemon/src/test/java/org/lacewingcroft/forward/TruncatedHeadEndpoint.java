package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that closes each connection in the middle of the head of its first response. It uses
 * a raw socket, because an HTTP server only sends complete heads.
 */
public final class TruncatedHeadEndpoint implements AutoCloseable {
  private static final long CLOSE_DELAY_MILLIS = 50;

  private final Vertx vertx;
  private final String head;
  private final AtomicInteger requests = new AtomicInteger();
  private final NetServer server;

  /**
   * Starts the endpoint.
   *
   * @param head the bytes that it sends before it closes the connection, {@code ID} for the id of
   *     the request
   * @param reset whether it resets the connection
   */
  public TruncatedHeadEndpoint(Vertx vertx, String head, boolean reset) throws Exception {
    this.vertx = vertx;
    this.head = head;
    this.server =
        vertx
            .createNetServer(new NetServerOptions().setSoLinger(reset ? 0 : -1))
            .connectHandler(
                socket -> RawRequests.read(socket, (request, body) -> respond(socket, request)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
  }

  private void respond(NetSocket socket, String request) {
    requests.incrementAndGet();
    socket
        .write(head.replace("ID", RawRequests.header(request, "x-request-id")))
        .onComplete(sent -> vertx.setTimer(CLOSE_DELAY_MILLIS, timer -> socket.close()));
  }

  /** Returns the port on which it listens. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the number of complete requests received. */
  public int requests() {
    return requests.get();
  }

  @Override
  public void close() {
    server.close();
  }
}
