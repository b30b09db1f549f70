package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.EndpointTracker.Outcome;

/**
 * One send of a request to one target. Connects, writes the request, and passes the response to its
 * {@link Listener} as it arrives.
 */
final class UpstreamAttempt {
  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

  /**
   * Receives the response of an attempt. Exactly one of {@link #complete}, {@link #failed} and {@link
   * #withdrawn} is called, as the last call, unless the attempt is cancelled.
   */
  interface Listener {
    /** Called when the response head has arrived. */
    void head(int status, HttpClientResponse response);

    /** Called for each chunk of the response body. */
    void body(Buffer piece);

    /** Called when the response is complete. */
    void complete();

    /**
     * Called when the attempt failed.
     *
     * @param sent whether any part of the request may have reached the target
     * @param detail a description of the failure
     */
    void failed(boolean sent, String detail);

    /**
     * Called when the request was not sent because the endpoint stopped accepting requests while the
     * connection was being established.
     */
    void withdrawn();
  }

  private final UpstreamTarget target;
  private final HeaderNames names;
  private final InstantSource clock;
  private final Listener listener;
  private Optional<UpstreamConnections.Lease> lease = Optional.empty();
  private Optional<HttpClientResponse> response = Optional.empty();
  private boolean written;
  private boolean over;

  UpstreamAttempt(
      UpstreamTarget target, HeaderNames names, InstantSource clock, Listener listener) {
    this.target = target;
    this.names = names;
    this.clock = clock;
    this.listener = listener;
  }

  UpstreamTarget target() {
    return target;
  }

  /** Returns whether the request may have reached the target. */
  boolean written() {
    return written;
  }

  /** Returns whether the request may have reached the target and the response is not complete. */
  boolean awaitsAnswer() {
    return written && !over;
  }

  /**
   * Starts the attempt. A connection that cannot be established fails it as not run.
   *
   * @param extraHeaders headers added to those of the request, replacing any of the same name
   */
  void start(
      UpstreamConnections connections,
      ForwardRequest request,
      List<Map.Entry<String, String>> extraHeaders) {
    boolean unproven = target.endpoint().filter(EndpointTracker::isUnconfirmed).isPresent();
    Future<UpstreamConnections.Lease> lent =
        unproven
            ? connections.acquireFresh(target.address())
            : connections.acquire(target.address());
    lent.onFailure(e -> fail(false, Outcome.NOT_RUN, "no connection: " + e.getMessage()))
        .onSuccess(
            acquired -> {
              if (over) {
                acquired.release(Optional.empty());
                return;
              }
              if (target.endpoint().filter(e -> !e.acceptsRequests(clock.instant())).isPresent()) {
                acquired.release(Optional.empty());
                withdraw();
                return;
              }
              lease = Optional.of(acquired);
              write(acquired, request, extraHeaders);
            });
  }

  private void withdraw() {
    over = true;
    target.ticket().ifPresent(t -> t.finish(Outcome.NOT_RUN, clock.instant()));
    listener.withdrawn();
  }

  private void write(
      UpstreamConnections.Lease acquired,
      ForwardRequest request,
      List<Map.Entry<String, String>> extraHeaders) {
    acquired
        .connection()
        .request(new RequestOptions().setMethod(request.method()).setURI(request.uri()))
        .onFailure(e -> fail(false, Outcome.NOT_RUN, "no request: " + e.getMessage()))
        .onSuccess(upstream -> send(upstream, request, extraHeaders));
  }

  private void send(
      HttpClientRequest upstream,
      ForwardRequest request,
      List<Map.Entry<String, String>> extraHeaders) {
    if (over) {
      return;
    }
    request.headers().forEach(h -> upstream.headers().add(h.getKey(), h.getValue()));
    extraHeaders.forEach(h -> upstream.headers().set(h.getKey(), h.getValue()));
    upstream.exceptionHandler(e -> fail(true, Outcome.FAILED, "broke off: " + e.getMessage()));
    upstream.response().onSuccess(this::answered).onFailure(e -> unanswered(e.getMessage()));
    written = true;
    if (request.body().length() > 0) {
      upstream.end(request.body());
    } else {
      upstream.end();
    }
  }

  private void unanswered(String detail) {
    if (!over) {
      lease.ifPresent(UpstreamConnections.Lease::resetUnanswered);
    }
    fail(true, Outcome.FAILED, "no answer: " + detail);
  }

  private void answered(HttpClientResponse answer) {
    if (over) {
      return;
    }
    response = Optional.of(answer);
    target.ticket().ifPresent(t -> t.bytesReceived(clock.instant()));
    answer.exceptionHandler(e -> fail(true, Outcome.FAILED, "broke off: " + e.getMessage()));
    answer.handler(
        piece -> {
          if (!over) {
            target.ticket().ifPresent(t -> t.bytesReceived(clock.instant()));
            listener.body(piece);
          }
        });
    answer.endHandler(v -> completed(answer));
    listener.head(answer.statusCode(), answer);
  }

  private void completed(HttpClientResponse answer) {
    if (over) {
      return;
    }
    over = true;
    boolean notRun = answer.getHeader(names.notRun()) != null || answer.statusCode() == 421;
    Outcome outcome =
        notRun ? Outcome.NOT_RUN : answer.statusCode() >= 500 ? Outcome.FAILED : Outcome.ANSWERED;
    target.ticket().ifPresent(t -> t.finish(outcome, clock.instant()));
    lease.ifPresent(l -> giveBack(l, answer));
    listener.complete();
  }

  private void giveBack(UpstreamConnections.Lease l, HttpClientResponse answer) {
    String connection = answer.getHeader("Connection");
    boolean framed =
        answer.getHeader("Content-Length") != null || answer.getHeader("Transfer-Encoding") != null;
    if (!framed || "close".equalsIgnoreCase(connection)) {
      l.discard();
    } else if (target.entry().isPresent()) {
      l.keepFor(UpstreamConnections.RELAY_KEEP);
    } else {
      l.release(keepAlive(answer.getHeader("Keep-Alive")));
    }
  }

  private static Optional<Duration> keepAlive(String header) {
    Matcher matcher = KEEP_ALIVE_SECONDS.matcher(header == null ? "" : header);
    return matcher.find()
        ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1))))
        : Optional.empty();
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
    if (!over) {
      over = true;
      target.ticket().ifPresent(t -> t.finish(outcome, clock.instant()));
      lease.ifPresent(UpstreamConnections.Lease::discard);
    }
  }

  private void fail(boolean sent, Outcome outcome, String detail) {
    if (over) {
      return;
    }
    over = true;
    target.ticket().ifPresent(t -> t.finish(outcome, clock.instant()));
    lease.ifPresent(UpstreamConnections.Lease::discard);
    listener.failed(sent && written, detail);
  }
}
