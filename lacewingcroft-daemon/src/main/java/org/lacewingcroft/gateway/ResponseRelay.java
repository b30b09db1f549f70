package org.lacewingcroft.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.http.AbortedResponses.Cause;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.stream.EventSplitter;

/**
 * Relays one upstream response to the caller as it arrives, with backpressure from the caller.
 *
 * <p>The response to a request with a claimed idempotency key is also buffered and is recorded
 * before the caller receives its end. It is read without backpressure, even if the caller
 * disconnects, as long as it is not too large to be recorded.
 */
final class ResponseRelay {
  private static final System.Logger LOG = System.getLogger(ResponseRelay.class.getName());
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVER_ERROR = 500;

  /** Bound on the buffered body; a key whose response is longer gets an unknown outcome. */
  private static final int MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

  /** Bound on an event that is not complete. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private static final List<String> RELAYED_HEADERS =
      List.of("Content-Type", "Content-Length", "Retry-After");

  /** Headers that only entries send. */
  private static final List<String> ENTRY_HEADERS =
      List.of(EntryGateway.REPLAY_HEADER, EntryGateway.RUN_HEADER);

  private final Exchange exchange;
  private final Attempt attempt;
  private final HttpClientResponse upstreamResponse;
  private final KeyOwnership keys;
  private final GatewayMetrics metrics;
  private final CallerReply reply;
  private final ContentQuarantine quarantine;
  private Optional<Buffer> bufferedBody;
  private final Optional<EventSplitter> events;
  private boolean firstByteRelayed;

  /** Creates the relay of one response. */
  interface Factory {
    ResponseRelay create(Exchange exchange, Attempt attempt, HttpClientResponse upstreamResponse);
  }

  ResponseRelay(
      Exchange exchange,
      Attempt attempt,
      HttpClientResponse upstreamResponse,
      KeyOwnership keys,
      GatewayMetrics metrics,
      CallerReply reply,
      ContentQuarantine quarantine) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.upstreamResponse = upstreamResponse;
    this.keys = keys;
    this.metrics = metrics;
    this.reply = reply;
    this.quarantine = quarantine;
    this.bufferedBody = exchange.claimedKey().map(key -> Buffer.buffer());
    this.events =
        Optional.ofNullable(upstreamResponse.getHeader("Content-Type"))
            .filter(type -> type.startsWith(EVENT_STREAM))
            .map(type -> EventSplitter.ofStreamWithoutIds());
  }

  void start() {
    if (!exchange.responseCommitted()) {
      copyResponseHead(exchange.response());
    }
    // A paused response is read on, to find that nobody uses it any more.
    exchange.onFinish(upstreamResponse::resume);
    upstreamResponse.handler(this::relayChunk);
    upstreamResponse.exceptionHandler(e -> onConnectionLost());
    upstreamResponse.endHandler(v -> onComplete());
  }

  private void copyResponseHead(HttpServerResponse response) {
    response.setStatusCode(upstreamResponse.statusCode());
    copyHeaders(RELAYED_HEADERS, response);
    if (!attempt.toEndpoint()) {
      copyHeaders(ENTRY_HEADERS, response);
    }
    String servingRegion = upstreamResponse.getHeader(EntryGateway.REGION_HEADER);
    response.putHeader(
        EntryGateway.REGION_HEADER, servingRegion != null ? servingRegion : attempt.targetRegion());
    response.putHeader(EntryGateway.ENDPOINT_HEADER, attempt.target());
    if (upstreamResponse.getHeader("Content-Length") == null) {
      response.setChunked(true);
    }
    response.drainHandler(v -> upstreamResponse.resume());
  }

  private void copyHeaders(List<String> names, HttpServerResponse response) {
    for (String name : names) {
      String value = upstreamResponse.getHeader(name);
      if (value != null) {
        response.putHeader(name, value);
      }
    }
  }

  private void relayChunk(Buffer chunk) {
    if (!attempt.live()) {
      return;
    }
    if (events.isEmpty()) {
      relayBytes(chunk);
      return;
    }
    if (events.get().incompleteBytes() + chunk.length() > MAX_EVENT_BYTES) {
      attempt.cancel();
      reply.sendOutcomeUnknown(exchange, cause(), "an event exceeds " + MAX_EVENT_BYTES + " bytes");
      return;
    }
    // An event that is broken off must not precede the error event that ends the response.
    byte[] completeEvents = events.get().append(chunk.getBytes());
    if (completeEvents.length > 0) {
      relayBytes(Buffer.buffer(completeEvents));
    }
  }

  private void relayBytes(Buffer chunk) {
    if (!firstByteRelayed) {
      firstByteRelayed = true;
      metrics.firstByteSeconds.observe(exchange.elapsedSeconds());
    }
    bufferedBody =
        bufferedBody
            .filter(body -> body.length() + chunk.length() <= MAX_BUFFERED_BODY_BYTES)
            .map(body -> body.appendBuffer(chunk));
    HttpServerResponse response = exchange.response();
    if (exchange.callerDisconnected() || response.ended()) {
      if (bufferedBody.isEmpty()) {
        // Nobody uses the rest.
        attempt.cancel();
        exchange.claimedKey().ifPresent(keys::markUnknown);
      }
      return;
    }
    response.write(chunk);
    if (response.writeQueueFull() && bufferedBody.isEmpty()) {
      upstreamResponse.pause();
    }
  }

  private Cause cause() {
    return attempt.toEndpoint() ? Cause.ENDPOINT_FAILED : Cause.RELAY_FAILED;
  }

  private void onConnectionLost() {
    if (attempt.end()) {
      if (attempt.toEndpoint()) {
        quarantine.onConnectionLost(attempt.target(), exchange.fingerprints());
      }
      reply.sendOutcomeUnknown(exchange, cause(), "the answer broke off in the middle");
    }
  }

  private void onComplete() {
    // A stream without length and chunks ends with its connection, also when the endpoint crashes.
    if (events.filter(e -> e.incompleteEvent().length > 0).isPresent()) {
      onConnectionLost();
      return;
    }
    if (!attempt.end()) {
      return;
    }
    int status = upstreamResponse.statusCode();
    if (attempt.toEndpoint() && status < SERVER_ERROR) {
      quarantine.recordCompletion(exchange.fingerprints(), status < MULTIPLE_CHOICES);
    }
    exchange.claimedKey().ifPresent(this::recordResponse);
    if (!exchange.callerDisconnected() && !exchange.response().ended()) {
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
        upstreamResponse.statusCode());
  }

  private void recordResponse(String key) {
    if (bufferedBody.isEmpty()) {
      keys.markUnknown(key);
      return;
    }
    String contentType = Optional.ofNullable(upstreamResponse.getHeader("Content-Type")).orElse("");
    byte[] body = bufferedBody.get().getBytes();
    keys.complete(key, upstreamResponse.statusCode(), contentType, body);
  }
}
