package org.lacewingcroft.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Relays one upstream response to the caller as it arrives, with back pressure from the caller.
 *
 * <p>The response to a request with a claimed idempotency key is also buffered and is recorded
 * before the caller receives its end. It is read to the end without back pressure, even if the
 * caller disconnects.
 */
final class AnswerRelay {
  private static final System.Logger LOG = System.getLogger(AnswerRelay.class.getName());
  private static final int SERVER_ERROR = 500;

  /** Bound on the buffered body; a key whose response is longer gets an unknown outcome. */
  private static final int MAX_KEPT_BYTES = 1024 * 1024;

  private static final List<String> RELAYED_HEADERS =
      List.of(
          "Content-Type",
          "Content-Length",
          "Retry-After",
          EntryGateway.REPLAY_HEADER,
          EntryGateway.RUN_HEADER);

  private final Exchange exchange;
  private final Attempt attempt;
  private final HttpClientResponse answer;
  private final KeyOwnership keys;
  private final GatewayMetrics metrics;
  private final CallerReply reply;
  private final ContentQuarantine quarantine;
  private final Optional<Buffer> kept;
  private boolean firstByteRelayed;

  /** Creates the relay of one response. */
  interface Factory {
    AnswerRelay create(Exchange exchange, Attempt attempt, HttpClientResponse answer);
  }

  AnswerRelay(
      Exchange exchange,
      Attempt attempt,
      HttpClientResponse answer,
      KeyOwnership keys,
      GatewayMetrics metrics,
      CallerReply reply,
      ContentQuarantine quarantine) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.answer = answer;
    this.keys = keys;
    this.metrics = metrics;
    this.reply = reply;
    this.quarantine = quarantine;
    this.kept = exchange.claimedKey().map(key -> Buffer.buffer());
  }

  void start() {
    if (!exchange.answered()) {
      writeHead(exchange.response());
    }
    answer.handler(this::relay);
    answer.exceptionHandler(e -> brokenOff());
    answer.endHandler(v -> complete());
  }

  private void writeHead(HttpServerResponse response) {
    response.setStatusCode(answer.statusCode());
    for (String name : RELAYED_HEADERS) {
      String value = answer.getHeader(name);
      if (value != null) {
        response.putHeader(name, value);
      }
    }
    String servedIn = answer.getHeader(EntryGateway.REGION_HEADER);
    response.putHeader(
        EntryGateway.REGION_HEADER, servedIn != null ? servedIn : attempt.targetRegion());
    response.putHeader(EntryGateway.ENDPOINT_HEADER, attempt.target());
    if (answer.getHeader("Content-Length") == null) {
      response.setChunked(true);
    }
    response.drainHandler(v -> answer.resume());
  }

  private void relay(Buffer chunk) {
    if (!firstByteRelayed) {
      firstByteRelayed = true;
      metrics.firstByteSeconds.observe(exchange.elapsedSeconds());
    }
    kept.filter(k -> k.length() <= MAX_KEPT_BYTES).ifPresent(k -> k.appendBuffer(chunk));
    HttpServerResponse response = exchange.response();
    if (exchange.callerLeft() || response.ended()) {
      return;
    }
    response.write(chunk);
    if (response.writeQueueFull() && kept.isEmpty()) {
      answer.pause();
    }
  }

  private void brokenOff() {
    if (attempt.end()) {
      if (attempt.toEndpoint()) {
        quarantine.brokeOff(attempt.target(), exchange.content());
      }
      reply.outcomeUnknown(exchange, "the answer broke off in the middle");
    }
  }

  private void complete() {
    if (!attempt.end()) {
      return;
    }
    if (attempt.toEndpoint() && answer.statusCode() < SERVER_ERROR) {
      quarantine.completed(exchange.content());
    }
    exchange.claimedKey().ifPresent(this::record);
    if (!exchange.callerLeft() && !exchange.response().ended()) {
      metrics.requests.labelValues("served").inc();
      exchange.response().end();
    }
    LOG.log(
        System.Logger.Level.INFO,
        "request.served",
        "request",
        exchange.requestId(),
        "target",
        attempt.target(),
        "status",
        answer.statusCode());
  }

  private void record(String key) {
    Buffer body = kept.orElseThrow();
    if (body.length() > MAX_KEPT_BYTES) {
      keys.markUnknown(key);
      return;
    }
    String contentType = Optional.ofNullable(answer.getHeader("Content-Type")).orElse("");
    keys.complete(key, answer.statusCode(), contentType, body.getBytes());
  }
}
