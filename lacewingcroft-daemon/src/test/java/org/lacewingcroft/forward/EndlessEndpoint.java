package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An endpoint that responds to each request with bytes that do not end, as fast as they are read,
 * until the connection is closed. It uses a raw socket, so that the bytes need not be a response.
 */
public final class EndlessEndpoint implements AutoCloseable {
  private final Vertx vertx;
  private final String first;
  private final String repeated;
  private final AtomicLong writtenBytes = new AtomicLong();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final NetServer server;

  /**
   * Starts the endpoint.
   *
   * @param first the bytes that it sends first, {@code ID} for the id of the request
   * @param repeated the bytes that it sends again and again
   */
  public EndlessEndpoint(Vertx vertx, String first, String repeated) throws Exception {
    this.vertx = vertx;
    this.first = first;
    this.repeated = repeated;
    this.server =
        vertx
            .createNetServer()
            .connectHandler(this::onConnect)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
  }

  private void onConnect(NetSocket socket) {
    openConnections.incrementAndGet();
    socket.exceptionHandler(e -> {});
    socket.closeHandler(v -> openConnections.decrementAndGet());
    RawRequests.read(
        socket,
        (head, body) -> {
          requests.incrementAndGet();
          write(socket, first.replace("ID", RawRequests.header(head, "x-request-id")));
        });
  }

  private void write(NetSocket socket, String bytes) {
    socket
        .write(bytes)
        .onSuccess(
            v -> {
              writtenBytes.addAndGet(bytes.length());
              vertx.runOnContext(next -> write(socket, repeated));
            });
  }

  /** Returns a chunk of a body. */
  public static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns the number of bytes that have left this process. */
  public long writtenBytes() {
    return writtenBytes.get();
  }

  /** Returns the number of complete requests received. */
  public int requests() {
    return requests.get();
  }

  /** Waits for some time until no connection is open; returns how many are. */
  public int awaitNoConnection() throws InterruptedException {
    for (int i = 0; i < 300 && openConnections.get() > 0; i++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return openConnections.get();
  }

  /** Returns the port on which it listens. */
  public int port() {
    return server.actualPort();
  }

  @Override
  public void close() {
    server.close();
  }
}
