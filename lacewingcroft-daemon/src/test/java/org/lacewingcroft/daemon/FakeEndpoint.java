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
    ANSWERS,
    /** Streams two events and completes the response. */
    STREAMS,
    /** Reads the request and closes the connection without a response. */
    DIES_AT_ONCE,
    /**
     * Crashes with all its connections if the body contains "poison", and listens on its port again
     * after {@link #DOWN_MILLIS}. Responds to other requests.
     */
    DIES_OF_POISON,
    /**
     * Closes the connection if the body contains "poison", until {@link #release}. Responds to
     * other requests.
     */
    DROPS_POISON,
    /** Sends one event of a stream and closes the connection. */
    DIES_IN_STREAM,
    /** Sends a Content-Length of 100 and 10 bytes of body, and closes the connection. */
    DIES_IN_BODY,
    /** Responds with status 503. */
    REFUSES,
    /**
     * Responds with status 503 and requests a pause of {@link #PAUSE_SECONDS}, until {@link
     * #release}.
     */
    ASKS_FOR_PAUSE,
    /** Responds with the id of another request. */
    ANSWERS_ANOTHER,
    /** Does not respond until {@link #release}. */
    HANGS
  }

  /** The pause that an endpoint requests by {@code Retry-After}. */
  static final int PAUSE_SECONDS = 3;

  private static final long DOWN_MILLIS = 200;

  private final Vertx vertx;
  private final Behaviour behaviour;
  private final int port;
  private HttpServer server;
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger poisonRuns = new AtomicInteger();
  private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
  private final Set<String> keysRun = ConcurrentHashMap.newKeySet();
  private final CompletableFuture<Void> released = new CompletableFuture<>();

  FakeEndpoint(Vertx vertx, Behaviour behaviour) throws Exception {
    this.vertx = vertx;
    this.behaviour = behaviour;
    this.port =
        listen(0).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS).actualPort();
  }

  private Future<HttpServer> listen(int wantedPort) {
    server =
        vertx
            .createHttpServer(new HttpServerOptions().setReuseAddress(true))
            .requestHandler(
                request -> request.body().onSuccess(body -> handle(request, body.toString())));
    return server.listen(wantedPort, "127.0.0.1");
  }

  /**
   * Closes the server with all its connections. The next incarnation listens on the same port after
   * {@link #DOWN_MILLIS}.
   */
  private void die(HttpServerRequest request) {
    server.close();
    request.connection().close();
    vertx.setTimer(DOWN_MILLIS, id -> listen(port));
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
  Set<String> keysRun() {
    return keysRun;
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
    keysRun.add(String.valueOf(request.getHeader("Idempotency-Key")));
    HttpServerResponse response = request.response();
    String id = request.getHeader("X-Request-Id");
    response.exceptionHandler(e -> {});
    switch (behaviour) {
      case DIES_AT_ONCE -> request.connection().close();
      case DIES_OF_POISON -> {
        if (poison) {
          die(request);
        } else {
          response.end("answer to " + id);
        }
      }
      case DROPS_POISON -> {
        if (poison && !released.isDone()) {
          request.connection().close();
        } else {
          response.end("answer to " + id);
        }
      }
      case DIES_IN_STREAM ->
          stream(response).write("data: one\n\n").onComplete(sent -> request.connection().close());
      case DIES_IN_BODY ->
          response
              .putHeader("Content-Length", "100")
              .write("0123456789")
              .onComplete(sent -> request.connection().close());
      case STREAMS -> stream(response).end("data: one\n\ndata: [DONE]\n\n");
      case ASKS_FOR_PAUSE -> {
        if (released.isDone()) {
          response.end("answer to " + id);
        } else {
          response
              .setStatusCode(503)
              .putHeader("Retry-After", Integer.toString(PAUSE_SECONDS))
              .end("full");
        }
      }
      case REFUSES -> response.setStatusCode(503).end("full");
      case ANSWERS_ANOTHER -> response.putHeader("X-Request-Id", "another").end("stolen");
      case HANGS -> released.thenRun(() -> response.end("late " + id));
      default -> response.putHeader("X-Request-Id", id).end("answer to " + id);
    }
  }

  private static HttpServerResponse stream(HttpServerResponse response) {
    return response.setChunked(true).putHeader("Content-Type", "text/event-stream");
  }

  @Override
  public void close() {
    server.close();
  }
}
