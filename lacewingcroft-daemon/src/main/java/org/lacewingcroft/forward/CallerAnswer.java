package org.lacewingcroft.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The answer to one caller: whole at once, or a stream that either ends properly or is cut off so
 * that it cannot be taken for complete.
 */
final class CallerAnswer {
  /**
   * Tells another entry, whose caller's request this is, that no endpoint ran it, and how many
   * turned it away.
   */
  static final String NOT_RUN_HEADER = "X-Lacewingcroft-Not-Run";

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final boolean toEntry;
  private boolean finished;
  private int turnedAway;

  CallerAnswer(HttpServerRequest request, boolean toEntry) {
    this.request = request;
    this.response = request.response();
    this.toEntry = toEntry;
  }

  /** Calls back once if the caller's connection closes before the answer is complete. */
  void onLeft(Runnable callback) {
    response.closeHandler(
        v -> {
          if (!finished) {
            finished = true;
            callback.run();
          }
        });
    response.exceptionHandler(e -> {});
  }

  /** Returns whether the answer may still be written to. */
  boolean open() {
    return !finished && !response.closed();
  }

  boolean begun() {
    return response.headWritten();
  }

  /** Asks the caller to use another connection for its next request. */
  void closeAfterwards() {
    if (!response.headWritten()) {
      response.putHeader("Connection", "close");
    }
  }

  void whole(int status, List<Map.Entry<String, String>> headers, Buffer body) {
    if (!open()) {
      return;
    }
    finished = true;
    response.setStatusCode(status);
    headers.forEach(h -> response.headers().add(h.getKey(), h.getValue()));
    response.end(body);
  }

  void beginStream(int status, List<Map.Entry<String, String>> headers) {
    response.setStatusCode(status).setChunked(true);
    headers.forEach(h -> response.headers().add(h.getKey(), h.getValue()));
  }

  void write(byte[] bytes) {
    if (open()) {
      response.write(Buffer.buffer(bytes));
    }
  }

  boolean full() {
    return response.writeQueueFull();
  }

  void onDrained(Runnable callback) {
    response.drainHandler(v -> callback.run());
  }

  void endStream() {
    if (open()) {
      finished = true;
      response.end();
    }
  }

  /** Breaks the connection, so that what was sent so far does not look complete. */
  void cut() {
    if (!finished) {
      finished = true;
      request.connection().close();
    }
  }

  /** Notes how many endpoints have turned the request away so far. */
  void turnedAwayBy(int endpoints) {
    turnedAway = endpoints;
  }

  /** Refuses or fails the request with an answer of our own. */
  void own(int status, String reason, boolean notRun, Optional<Duration> retryAfter) {
    if (!open()) {
      return;
    }
    if (begun()) {
      cut();
      return;
    }
    finished = true;
    boolean closing = "close".equals(response.headers().get("Connection"));
    response.headers().clear();
    response
        .setChunked(false)
        .setStatusCode(status)
        .putHeader("Content-Type", "text/plain; charset=utf-8");
    if (closing) {
      response.putHeader("Connection", "close");
    }
    retryAfter.ifPresent(
        after ->
            response.putHeader(
                "Retry-After", String.format(Locale.ROOT, "%.2f", after.toMillis() / 1000.0)));
    if (toEntry && notRun) {
      response.putHeader(NOT_RUN_HEADER, Integer.toString(turnedAway));
    }
    response.end(reason + "\n");
  }
}
