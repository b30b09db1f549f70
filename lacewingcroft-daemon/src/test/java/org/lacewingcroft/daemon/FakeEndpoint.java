package org.lacewingcroft.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that responds or fails in a fixed way, and counts the requests that reach it. */
final class FakeEndpoint implements AutoCloseable {
  /** The ways in which an endpoint handles requests. */
  enum Behaviour {
    /** Responds with status 200 and the request's id in the body. */
    RESPONDS,
    /** Streams two events and completes the response. */
    STREAMS,
    /** Reads the request and closes the connection without a response. */
    CLOSES_CONNECTION,
    /**
     * Crashes with all its connections if the body contains "poison", and listens on its port again
     * after {@link #RESTART_DELAY_MILLIS}. Responds to other requests.
     */
    CRASHES_ON_POISON,
    /**
     * Closes the connection if the body contains "poison", until {@link #release}. Responds to
     * other requests.
     */
    CLOSES_CONNECTION_ON_POISON,
    /** Sends one event of a stream and closes the connection. */
    CLOSES_CONNECTION_IN_STREAM,
    /** Sends a Content-Length of 100 and 10 bytes of body, and closes the connection. */
    CLOSES_CONNECTION_IN_BODY,
    /** Sends a part of the first event of a stream, and the rest after {@link #PAUSE_MILLIS}. */
    PAUSES_IN_EVENT,
    /** Sends one event of a stream and never continues. */
    HANGS_IN_STREAM,
    /** Sends a Content-Length of 100 and 10 bytes of body, and never continues. */
    HANGS_IN_BODY,
    /** Responds with status 503. */
    REJECTS,
    /**
     * Responds with status 503 and requests a pause of {@link #PAUSE_SECONDS}, until {@link
     * #release}.
     */
    REQUESTS_PAUSE,
    /** Responds with the id of another request. */
    RESPONDS_WITH_OTHER_ID,
    /** Does not respond until {@link #release}. */
    HANGS
  }

  /** The pause that an endpoint requests by {@code Retry-After}. */
  static final int PAUSE_SECONDS = 3;

  /** Longer than the time after which the tests hedge. */
  private static final long PAUSE_MILLIS = 700;

  private static final long RESTART_DELAY_MILLIS = 200;

  private final Vertx vertx;
  private final Behaviour behaviour;
  private final int port;
  private HttpServer server;
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger poisonRuns = new AtomicInteger();
  private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
  private final Set<String> receivedKeys = ConcurrentHashMap.newKeySet();
  private final CompletableFuture<Void> released = new CompletableFuture<>();

  FakeEndpoint(Vertx vertx, Behaviour behaviour) throws Exception {
    this.vertx = vertx;
    this.behaviour = behaviour;
    this.port =
        listen(0).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS).actualPort();
  }

  private Future<HttpServer> listen(int requestedPort) {
    server =
        vertx
            .createHttpServer(new HttpServerOptions().setReuseAddress(true))
            .requestHandler(
                request -> request.body().onSuccess(body -> handle(request, body.toString())));
    return server.listen(requestedPort, "127.0.0.1");
  }

  /**
   * Closes the server with all its connections. The next incarnation listens on the same port after
   * {@link #RESTART_DELAY_MILLIS}.
   */
  private void crash(HttpServerRequest request) {
    server.close();
    request.connection().close();
    vertx.setTimer(RESTART_DELAY_MILLIS, id -> listen(port));
  }

  int port() {
    return port;
  }

  int runs() {
    return runs.get();
  }

  /** Returns the arrival time of each request, by {@link System#nanoTime}. */
  List<Long> arrivalNanos() {
    return arrivalNanos;
  }

  /** Returns the number of requests received whose body contains "poison". */
  int poisonRuns() {
    return poisonRuns.get();
  }

  /** Returns the idempotency keys of the requests received. */
  Set<String> receivedKeys() {
    return receivedKeys;
  }

  void release() {
    released.complete(null);
  }

  private void handle(HttpServerRequest request, String body) {
    runs.incrementAndGet();
    arrivalNanos.add(System.nanoTime());
    boolean poison = body.contains("poison");
    if (poison) {
      poisonRuns.incrementAndGet();
    }
    receivedKeys.add(String.valueOf(request.getHeader("Idempotency-Key")));
    HttpServerResponse response = request.response();
    String id = request.getHeader("X-Request-Id");
    response.exceptionHandler(e -> {});
    switch (behaviour) {
      case CLOSES_CONNECTION -> request.connection().close();
      case CRASHES_ON_POISON -> {
        if (poison) {
          crash(request);
        } else {
          response.end("answer to " + id);
        }
      }
      case CLOSES_CONNECTION_ON_POISON -> {
        if (poison && !released.isDone()) {
          request.connection().close();
        } else {
          response.end("answer to " + id);
        }
      }
      case CLOSES_CONNECTION_IN_STREAM ->
          stream(response).write("data: one\n\n").onComplete(sent -> request.connection().close());
      case CLOSES_CONNECTION_IN_BODY ->
          response
              .putHeader("Content-Length", "100")
              .write("0123456789")
              .onComplete(sent -> request.connection().close());
      case PAUSES_IN_EVENT -> {
        stream(response).write("data: o");
        vertx.setTimer(PAUSE_MILLIS, timer -> response.end("ne\n\n"));
      }
      case HANGS_IN_STREAM -> stream(response).write("data: one\n\n");
      case HANGS_IN_BODY -> response.putHeader("Content-Length", "100").write("0123456789");
      case STREAMS -> stream(response).end("data: one\n\ndata: [DONE]\n\n");
      case REQUESTS_PAUSE -> {
        if (released.isDone()) {
          response.end("answer to " + id);
        } else {
          response
              .setStatusCode(503)
              .putHeader("Retry-After", Integer.toString(PAUSE_SECONDS))
              .end("full");
        }
      }
      case REJECTS -> response.setStatusCode(503).end("full");
      case RESPONDS_WITH_OTHER_ID -> response.putHeader("X-Request-Id", "another").end("stolen");
      case HANGS -> released.thenRun(() -> response.end("late " + id));
      default -> response.putHeader("X-Request-Id", id).end("answer to " + id);
    }
  }

  private static HttpServerResponse stream(HttpServerResponse response) {
    return response.setChunked(true).putHeader("Content-Type", "text/event-stream");
  }

  /** Closes the server and waits until its port refuses connections. */
  @Override
  public void close() {
    server.close().toCompletionStage().toCompletableFuture().orTimeout(10, TimeUnit.SECONDS).join();
  }
}
