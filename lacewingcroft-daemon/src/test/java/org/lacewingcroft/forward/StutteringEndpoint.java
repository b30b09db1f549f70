package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * An endpoint that answers each request with the bytes of a script, so that bytes that belong to no
 * request can follow a complete response. It uses a raw socket, because an HTTP server only sends
 * one response to each request.
 */
public final class StutteringEndpoint implements AutoCloseable {
  /** The time for which {@link Moment#IDLE_CONNECTION} leaves the connection idle. */
  private static final long IDLE_MILLIS = 4;

  /**
   * A request that the endpoint has received.
   *
   * @param id its id in lower case, empty if it has none
   * @param previousIds the ids of the requests before it on its connection, in order
   */
  public record ReceivedRequest(String id, List<String> previousIds) {
    /** Returns 1 for the first request on its connection. */
    public int numberOnConnection() {
      return previousIds.size() + 1;
    }

    /** Returns the id of the request before it on its connection. */
    public Optional<String> previousId() {
      return previousIds.isEmpty()
          ? Optional.empty()
          : Optional.of(previousIds.get(previousIds.size() - 1));
    }
  }

  /**
   * Bytes that are written at once.
   *
   * @param delayMillis the time between the piece before it, or the request, and this one
   * @param bytes one character for each byte
   */
  public record Piece(long delayMillis, String bytes) {
    /** Creates a piece that is written without a delay. */
    public static Piece of(String bytes) {
      return new Piece(0, bytes);
    }
  }

  /** Determines what the endpoint writes after it has received a request. */
  public interface Script {
    /** Returns the pieces in the order in which they are written. */
    List<Piece> piecesFor(ReceivedRequest request);
  }

  /** When the bytes that follow a complete response are written. */
  public enum Moment {
    /** At once with the end of the response. */
    SAME_SEGMENT,
    /** Shortly after the response, while no request is outstanding on the connection. */
    IDLE_CONNECTION,
    /** After the next request on the connection was received, before the response to it. */
    AFTER_NEXT_REQUEST
  }

  private final Vertx vertx;
  private final Script script;
  private final Set<String> receivedIds = ConcurrentHashMap.newKeySet();
  private final Set<NetSocket> openConnections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger requestsOnUsedConnections = new AtomicInteger();
  private final AtomicInteger unwrittenPieces = new AtomicInteger();
  private final NetServer server;

  /** Starts the endpoint. */
  public StutteringEndpoint(Vertx vertx, Script script) throws Exception {
    this.vertx = vertx;
    this.script = script;
    this.server =
        vertx
            .createNetServer()
            .connectHandler(this::onConnect)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
  }

  /**
   * Returns a script that answers each request and lets further bytes follow.
   *
   * @param responseTo returns the bytes of the response to the request with an id
   * @param strayBytesAfter returns the bytes that follow that response, empty for none
   * @param strayRestAfter returns the bytes that follow the response after that one, empty for none
   */
  public static Script answeringWithStrayBytes(
      Moment moment,
      Function<String, String> responseTo,
      Function<String, String> strayBytesAfter,
      Function<String, String> strayRestAfter) {
    return request -> {
      String response = responseTo.apply(request.id());
      return switch (moment) {
        case SAME_SEGMENT -> List.of(Piece.of(response + strayBytesAfter.apply(request.id())));
        case IDLE_CONNECTION ->
            List.of(
                Piece.of(response), new Piece(IDLE_MILLIS, strayBytesAfter.apply(request.id())));
        case AFTER_NEXT_REQUEST ->
            List.of(
                Piece.of(request.previousId().map(strayBytesAfter).orElse("")),
                Piece.of(response),
                Piece.of(request.previousId().map(strayRestAfter).orElse("")));
      };
    };
  }

  private void onConnect(NetSocket socket) {
    openConnections.add(socket);
    socket.closeHandler(closed -> openConnections.remove(socket));
    socket.exceptionHandler(e -> {});
    Connection connection = new Connection(socket);
    RawRequests.read(socket, (head, body) -> connection.onRequest(head));
  }

  /** A connection of which the requests are counted. */
  private final class Connection {
    private final NetSocket socket;
    private final List<String> previousIds = new ArrayList<>();

    private Connection(NetSocket socket) {
      this.socket = socket;
    }

    private void onRequest(String head) {
      String id = RawRequests.header(head, "x-request-id");
      if (!previousIds.isEmpty()) {
        requestsOnUsedConnections.incrementAndGet();
      }
      receivedIds.add(id);
      List<Piece> pieces = script.piecesFor(new ReceivedRequest(id, List.copyOf(previousIds)));
      previousIds.add(id);
      unwrittenPieces.addAndGet(pieces.size());
      write(pieces);
    }

    private void write(List<Piece> pieces) {
      if (pieces.isEmpty()) {
        return;
      }
      Piece next = pieces.get(0);
      if (next.delayMillis() > 0) {
        vertx.setTimer(next.delayMillis(), timer -> writeFirst(pieces));
      } else {
        writeFirst(pieces);
      }
    }

    private void writeFirst(List<Piece> pieces) {
      byte[] bytes = pieces.get(0).bytes().getBytes(StandardCharsets.ISO_8859_1);
      socket
          .write(Buffer.buffer(bytes))
          .onComplete(
              written -> {
                unwrittenPieces.decrementAndGet();
                write(pieces.subList(1, pieces.size()));
              });
    }
  }

  /** Waits until all bytes that follow the requests received so far have been written. */
  public void awaitWritten() throws InterruptedException {
    while (unwrittenPieces.get() > 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  /** Returns whether it has received a request. */
  public boolean hasReceived(String id) {
    return receivedIds.contains(id);
  }

  /** Returns the number of requests that were not the first one on their connection. */
  public int requestsOnUsedConnections() {
    return requestsOnUsedConnections.get();
  }

  /** Returns the number of its open connections. */
  public int openConnections() {
    return openConnections.size();
  }

  /** Closes all connections and waits until they are closed. */
  public void closeConnections() throws Exception {
    Future.join(openConnections.stream().map(NetSocket::close).toList())
        .toCompletionStage()
        .toCompletableFuture()
        .get(10, TimeUnit.SECONDS);
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
