package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint that responds to its first request with given bytes and to all others correctly. It
 * uses a raw socket, because an HTTP server only sends what its status and method allow.
 */
public final class RawEndpoint implements AutoCloseable {
  /** The body of the correct responses, which is also a stream of one event. */
  public static final String OWN_BODY = "id: 1\ndata: own\n\n";

  /** Time between the response and the bytes that follow it late. */
  static final long LATE_MILLIS = 40;

  private final Vertx vertx;
  private final String response;
  private final String lateBytes;
  private final List<NetSocket> connectionOfRequest = new CopyOnWriteArrayList<>();
  private final NetServer server;

  /**
   * Starts the endpoint.
   *
   * @param response the response to the first request, {@code ID} for its id
   * @param lateBytes bytes that follow it some time later, empty for none
   */
  public RawEndpoint(Vertx vertx, String response, String lateBytes) throws Exception {
    this.vertx = vertx;
    this.response = response;
    this.lateBytes = lateBytes;
    this.server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.exceptionHandler(e -> {});
                  RawRequests.read(socket, (head, body) -> respond(socket, head));
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
  }

  private void respond(NetSocket socket, String head) {
    connectionOfRequest.add(socket);
    String id = RawRequests.header(head, "x-request-id");
    if (connectionOfRequest.size() > 1) {
      socket.write(ownResponse(200, OWN_BODY).replace("ID", id));
      return;
    }
    socket.write(response.replace("ID", id));
    if (!lateBytes.isEmpty()) {
      vertx.setTimer(LATE_MILLIS, timer -> socket.write(lateBytes.replace("ID", id)));
    }
  }

  /** Returns a complete response with the id {@code ID}, signed if it is a success. */
  public static String ownResponse(int status, String body) {
    return "HTTP/1.1 "
        + status
        + " Status\r\nX-Request-Id: ID\r\nX-Proof: signed\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns the port on which it listens. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the number of complete requests received. */
  public int requests() {
    return connectionOfRequest.size();
  }

  /** Returns whether the first two requests arrived on the same connection. */
  public boolean isFirstConnectionReused() {
    return connectionOfRequest.get(0) == connectionOfRequest.get(1);
  }

  @Override
  public void close() {
    server.close();
  }
}
