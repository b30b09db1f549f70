package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lacewingcroft.forward.StutteringEndpoint.Piece;
import org.lacewingcroft.forward.StutteringEndpoint.ReceivedRequest;

/** An endpoint that responds to its first request with given bytes and to all others correctly. */
public final class RawEndpoint implements AutoCloseable {
  /** The body of the correct responses, which is also a stream of one event. */
  public static final String OWN_BODY = "id: 1\ndata: own\n\n";

  /** Time between the response and the bytes that follow it late. */
  static final long LATE_MILLIS = 40;

  private final String response;
  private final String lateBytes;
  private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
  private final StutteringEndpoint endpoint;

  /**
   * Starts the endpoint.
   *
   * @param response the response to the first request, {@code ID} for its id
   * @param lateBytes bytes that follow it some time later, empty for none
   */
  public RawEndpoint(Vertx vertx, String response, String lateBytes) throws Exception {
    this.response = response;
    this.lateBytes = lateBytes;
    this.endpoint = new StutteringEndpoint(vertx, this::piecesFor);
  }

  private List<Piece> piecesFor(ReceivedRequest request) {
    requests.add(request);
    if (requests.size() > 1) {
      return List.of(Piece.of(ownResponse(200, OWN_BODY).replace("ID", request.id())));
    }
    return List.of(
        Piece.of(response.replace("ID", request.id())),
        new Piece(LATE_MILLIS, lateBytes.replace("ID", request.id())));
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
    return endpoint.port();
  }

  /** Returns the number of complete requests received. */
  public int requests() {
    return requests.size();
  }

  /** Returns whether the first two requests arrived on the same connection. */
  public boolean isFirstConnectionReused() {
    return requests.get(1).numberOnConnection() > 1;
  }

  @Override
  public void close() {
    endpoint.close();
  }
}
