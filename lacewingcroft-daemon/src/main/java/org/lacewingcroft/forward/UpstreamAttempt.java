package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lacewingcroft.http.InvalidResponseException;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.EndpointTracker.Outcome;

/**
 * One send of a request to one target. Connects, writes the request, and passes the response to its
 * {@link Listener} as it arrives.
 */
final class UpstreamAttempt {
  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

  /**
   * Receives the response of an attempt. Exactly one of {@link #onComplete}, {@link
   * #onInvalidResponse}, {@link #onFailure} and {@link #onWithdrawn} is called, as the last call,
   * unless the attempt is cancelled.
   */
  interface Listener {
    /** Called when the response head has arrived. */
    void onHead(int status, HttpClientResponse response);

    /** Called for each chunk of the response body. */
    void onBody(Buffer chunk);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the target sent something that is not the response to this request.
     *
     * @param detail a description of what it sent
     */
    void onInvalidResponse(String detail);

    /**
     * Called when the attempt failed.
     *
     * @param sent whether any part of the request may have reached the target
     * @param detail a description of the failure
     */
    void onFailure(boolean sent, String detail);

    /**
     * Called when the request was not sent because the endpoint stopped accepting requests while
     * the connection was being established.
     */
    void onWithdrawn();

    /** Returns whether another endpoint may run the request if this attempt fails. */
    boolean mayRunAgain();
  }

  /** Determines when a request may be written to its connection. */
  interface SendGate {
    /** Runs an action, now or later; it has no effect if the attempt was cancelled meanwhile. */
    void run(Runnable action);
  }

  /** More informational responses than any endpoint sends to one request. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

  private final UpstreamTarget target;
  private final HeaderNames headerNames;
  private final InstantSource clock;
  private final Listener listener;
  private Optional<UpstreamConnections.PooledConnection> connection = Optional.empty();
  private Optional<HttpClientResponse> response = Optional.empty();
  private UpstreamConnections.ConnectionUse connectionUse = UpstreamConnections.ConnectionUse.NONE;
  private int informationalResponses;
  private boolean requestWritten;
  private boolean finished;

  UpstreamAttempt(
      UpstreamTarget target, HeaderNames headerNames, InstantSource clock, Listener listener) {
    this.target = target;
    this.headerNames = headerNames;
    this.clock = clock;
    this.listener = listener;
  }

  UpstreamTarget target() {
    return target;
  }

  /** Returns where the request was written. */
  UpstreamConnections.ConnectionUse connectionUse() {
    return connectionUse;
  }

  /** Returns whether the request may have reached the target. */
  boolean isRequestWritten() {
    return requestWritten;
  }

  /** Returns whether the request may have reached the target and the response is not complete. */
  boolean awaitsResponse() {
    return requestWritten && !finished;
  }

  /**
   * Starts the attempt. If no connection can be established, the attempt fails with the outcome
   * {@link Outcome#NOT_RUN}.
   *
   * @param extraHeaders supplies headers added to those of the request, replacing any of the same
   *     name, when the request is written
   * @param sendGate passes the attempt after its connection is established
   */
  void start(
      UpstreamConnections connectionPool,
      ForwardRequest request,
      Supplier<List<Map.Entry<String, String>>> extraHeaders,
      SendGate sendGate) {
    UpstreamConnections.Peer peer =
        target.endpoint().isPresent()
            ? UpstreamConnections.Peer.ENDPOINT
            : UpstreamConnections.Peer.ENTRY;
    // An unconfirmed endpoint has sent no byte since it was last unresponsive, so that connections
    // opened earlier may be dead: a new connection is used.
    boolean unconfirmed = target.endpoint().filter(EndpointTracker::isUnconfirmed).isPresent();
    Future<UpstreamConnections.PooledConnection> connecting =
        unconfirmed
            ? connectionPool.acquireNew(target.address(), peer)
            : connectionPool.acquire(target.address(), peer, request.id());
    connecting
        .onFailure(e -> fail(false, Outcome.NOT_RUN, "no connection: " + e.getMessage()))
        .onSuccess(
            acquired -> {
              boolean unusableBefore = acquired.isUnusable();
              sendGate.run(
                  () -> {
                    if (!finished && !unusableBefore && acquired.isUnusable()) {
                      // Closed by the peer while the request waited for the event loop.
                      start(connectionPool, request, extraHeaders, sendGate);
                    } else {
                      onConnected(acquired, request, extraHeaders);
                    }
                  });
            });
  }

  private void onConnected(
      UpstreamConnections.PooledConnection acquired,
      ForwardRequest request,
      Supplier<List<Map.Entry<String, String>>> extraHeaders) {
    if (finished) {
      acquired.release(Optional.empty());
      return;
    }
    Instant now = clock.instant();
    if (target.inFlightRequest().filter(r -> !r.isStillAdmitted(now)).isPresent()) {
      acquired.release(Optional.empty());
      withdraw();
      return;
    }
    connection = Optional.of(acquired);
    openRequest(acquired, request, extraHeaders);
  }

  private void withdraw() {
    finished = true;
    target.inFlightRequest().ifPresent(r -> r.finish(Outcome.NOT_RUN, clock.instant()));
    listener.onWithdrawn();
  }

  private void openRequest(
      UpstreamConnections.PooledConnection acquired,
      ForwardRequest request,
      Supplier<List<Map.Entry<String, String>>> extraHeaders) {
    acquired
        .connection()
        .request(new RequestOptions().setMethod(request.method()).setURI(request.uri()))
        .onFailure(e -> fail(false, Outcome.NOT_RUN, "no request: " + e.getMessage()))
        .onSuccess(upstreamRequest -> writeRequest(upstreamRequest, request, extraHeaders));
  }

  private void writeRequest(
      HttpClientRequest upstreamRequest,
      ForwardRequest request,
      Supplier<List<Map.Entry<String, String>>> extraHeaders) {
    if (finished) {
      return;
    }
    request.headers().forEach(h -> upstreamRequest.headers().add(h.getKey(), h.getValue()));
    extraHeaders.get().forEach(h -> upstreamRequest.headers().set(h.getKey(), h.getValue()));
    upstreamRequest.exceptionHandler(
        e -> fail(true, Outcome.FAILED, "broke off: " + e.getMessage()));
    upstreamRequest.continueHandler(v -> onInformational());
    upstreamRequest.earlyHintsHandler(headers -> onInformational());
    upstreamRequest.response().onSuccess(this::onResponse).onFailure(this::onNoResponse);
    requestWritten = true;
    connection.ifPresent(
        c -> {
          connectionUse = c.recordRequest();
          if (!listener.mayRunAgain()) {
            c.skipPreviousResponse();
          }
          c.traffic().requestSent(request.body().length());
        });
    if (request.body().length() > 0) {
      upstreamRequest.end(request.body());
    } else {
      upstreamRequest.end();
    }
  }

  private void onInformational() {
    informationalResponses++;
    if (informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
      fail(
          true, Outcome.FAILED, "more than " + MAX_INFORMATIONAL_RESPONSES + " responses with 1xx");
    }
  }

  private void onNoResponse(Throwable cause) {
    if (finished) {
      return;
    }
    if (cause instanceof InvalidResponseException) {
      cancel(Outcome.FAILED);
      listener.onInvalidResponse(cause.getMessage());
      return;
    }
    connection.ifPresent(UpstreamConnections.PooledConnection::recordResetBeforeResponse);
    fail(true, Outcome.FAILED, "no answer: " + cause.getMessage());
  }

  private void onResponse(HttpClientResponse received) {
    if (finished) {
      return;
    }
    response = Optional.of(received);
    connection.ifPresent(c -> c.traffic().responseHeadReceived());
    target.inFlightRequest().ifPresent(r -> r.bytesReceived(clock.instant()));
    received.exceptionHandler(e -> fail(true, Outcome.FAILED, "broke off: " + e.getMessage()));
    received.handler(
        chunk -> {
          if (!finished) {
            connection.ifPresent(c -> c.traffic().responseReceived(chunk.length()));
            target.inFlightRequest().ifPresent(r -> r.bytesReceived(clock.instant()));
            listener.onBody(chunk);
          }
        });
    received.endHandler(v -> onResponseEnd(received));
    listener.onHead(received.statusCode(), received);
  }

  private void onResponseEnd(HttpClientResponse received) {
    if (finished) {
      return;
    }
    finished = true;
    boolean notRun =
        received.getHeader(headerNames.notRun()) != null || received.statusCode() == 421;
    Outcome outcome =
        notRun ? Outcome.NOT_RUN : received.statusCode() >= 500 ? Outcome.FAILED : Outcome.ANSWERED;
    target.inFlightRequest().ifPresent(r -> r.finish(outcome, clock.instant()));
    connection.ifPresent(pooled -> releaseConnection(pooled, received));
    listener.onComplete();
  }

  private void releaseConnection(
      UpstreamConnections.PooledConnection pooled, HttpClientResponse received) {
    String connectionHeader = received.getHeader("Connection");
    if (!isFramed(received) || "close".equalsIgnoreCase(connectionHeader)) {
      pooled.close();
    } else if (target.entry().isPresent()) {
      pooled.releaseWithIdleTimeout(UpstreamConnections.RELAY_IDLE_TIMEOUT);
    } else {
      pooled.release(parseKeepAlive(received.getHeader("Keep-Alive")));
    }
  }

  /** Returns whether a response states where its body ends, by its length or by chunks. */
  static boolean isFramed(HttpClientResponse response) {
    return response.getHeader("Content-Length") != null
        || response.getHeader("Transfer-Encoding") != null;
  }

  private static Optional<Duration> parseKeepAlive(String header) {
    Matcher matcher = KEEP_ALIVE_SECONDS.matcher(header == null ? "" : header);
    return matcher.find()
        ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1))))
        : Optional.empty();
  }

  /**
   * Records the size of the part of the response that is held until it is complete; false if it
   * exceeds a limit.
   */
  boolean tryHold(int bytes) {
    return connection.filter(c -> c.tryHold(bytes)).isPresent();
  }

  /** Stops reading the response, for backpressure. */
  void pause() {
    response.ifPresent(HttpClientResponse::pause);
  }

  /** Continues reading the response. */
  void resume() {
    response.ifPresent(HttpClientResponse::resume);
  }

  /** Cancels the attempt without calling the listener, and closes its connection. */
  void cancel(Outcome outcome) {
    if (!finished) {
      finished = true;
      target.inFlightRequest().ifPresent(r -> r.finish(outcome, clock.instant()));
      connection.ifPresent(UpstreamConnections.PooledConnection::close);
    }
  }

  private void fail(boolean sent, Outcome outcome, String detail) {
    if (finished) {
      return;
    }
    finished = true;
    target.inFlightRequest().ifPresent(r -> r.finish(outcome, clock.instant()));
    connection.ifPresent(UpstreamConnections.PooledConnection::closeAfterFailure);
    listener.onFailure(sent && requestWritten, detail);
  }
}
