package org.lacewingcroft.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.http.AbortedResponses;
import org.lacewingcroft.http.AbortedResponses.AbortedResponse;
import org.lacewingcroft.http.AbortedResponses.Cause;
import org.lacewingcroft.idempotency.IdempotencyTable;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Immediately sends callers the final responses that do not come from an endpoint: refusals, errors
 * and replays of recorded responses.
 */
final class CallerReply {
  private static final System.Logger LOG = System.getLogger(CallerReply.class.getName());
  private final GatewayMetrics metrics;
  private final KeyOwnership keys;
  private final AbortedResponses abortedResponses;

  CallerReply(GatewayMetrics metrics, KeyOwnership keys, AbortedResponses abortedResponses) {
    this.metrics = metrics;
    this.keys = keys;
    this.abortedResponses = abortedResponses;
  }

  /** Refuses a request for which no exchange has been created. */
  void refuse(HttpServerResponse response, ErrorKind kind, String detail) {
    metrics.requests.labelValues(kind.code()).inc();
    ErrorReply.send(response, kind, detail, Optional.empty());
  }

  /**
   * Refuses a request that no endpoint received and releases its idempotency key. If an endpoint
   * may have received the request, responds that the outcome is unknown instead.
   */
  void sendNotRun(Exchange exchange, ErrorKind kind, String detail) {
    sendNotRun(exchange, kind, Cause.NO_TARGET, detail);
  }

  /**
   * Refuses a request as the other method does.
   *
   * @param cause reported if a response that has already started has to be aborted
   */
  void sendNotRun(Exchange exchange, ErrorKind kind, Cause cause, String detail) {
    if (exchange.mayHaveRun()) {
      sendOutcomeUnknown(exchange, cause, detail);
      return;
    }
    exchange.refuse();
    exchange.claimedKey().ifPresent(keys::release);
    LOG.log(
        System.Logger.Level.INFO,
        "request.refused",
        "request",
        exchange.requestId(),
        "code",
        kind.code(),
        "reason",
        detail);
    send(exchange, kind, detail);
  }

  /**
   * Refuses a request whose content or one of whose messages crashes the endpoints that run it.
   *
   * @param remaining how long it remains quarantined
   */
  void sendQuarantined(Exchange exchange, Duration remaining) {
    setRetryAfter(exchange, remaining);
    sendNotRun(
        exchange,
        ErrorKind.CONTENT_QUARANTINED,
        "several endpoints broke off while they had the content "
            + exchange.fingerprints().content()
            + " or one of its messages "
            + exchange.fingerprints().promptPartsText());
  }

  /**
   * Sets {@code Retry-After} on the refusal that follows, unless an endpoint may have run the
   * request or no response can be started any more.
   */
  void setRetryAfter(Exchange exchange, Duration pause) {
    if (!exchange.mayHaveRun() && !exchange.responseCommitted()) {
      ErrorReply.setRetryAfter(exchange.response(), pause);
    }
  }

  /**
   * Responds that the outcome of a request is unknown, because its endpoint failed after it
   * received the request. A response that has already started is aborted.
   *
   * @param cause reported if the response is aborted
   */
  void sendOutcomeUnknown(Exchange exchange, Cause cause, String detail) {
    exchange.claimedKey().ifPresent(keys::markUnknown);
    LOG.log(
        System.Logger.Level.WARNING,
        "request.outcome_unknown",
        "request",
        exchange.requestId(),
        "reason",
        detail);
    HttpServerResponse response = exchange.response();
    if (exchange.callerDisconnected() || response.ended()) {
      return;
    }
    if (!response.headWritten()) {
      send(exchange, ErrorKind.OUTCOME_UNKNOWN, detail);
      return;
    }
    metrics.requests.labelValues(ErrorKind.OUTCOME_UNKNOWN.code()).inc();
    abortedResponses.report(
        new AbortedResponse(
            exchange.requestId(),
            exchange.context().request().path(),
            cause,
            detail,
            exchange.lastTarget(),
            exchange.hop() != HopAuthenticator.Hop.NONE,
            OptionalLong.empty(),
            exchange.elapsed()));
    abort(exchange, detail);
  }

  /**
   * Aborts a response that has already started: ends an event stream with an error event and resets
   * the connection of any other body, so that the caller cannot mistake it for a complete response.
   */
  private static void abort(Exchange exchange, String detail) {
    HttpServerResponse response = exchange.response();
    String contentType = response.headers().get("Content-Type");
    if (contentType != null && contentType.startsWith("text/event-stream")) {
      String body =
          ErrorReply.body(ErrorKind.OUTCOME_UNKNOWN, detail, exchange.request().idempotencyKey());
      response.end("event: error\ndata: " + body + "\n\n");
    } else {
      response.reset();
    }
  }

  /** Responds to a request whose idempotency key is already claimed or could not be claimed. */
  void sendKeyNotClaimed(Exchange exchange, KeyAdmission admission) {
    if (admission instanceof KeyAdmission.Replay replay) {
      replay(exchange, replay.record());
    } else if (admission instanceof KeyAdmission.InProgress) {
      send(exchange, ErrorKind.IN_PROGRESS, "a request with this idempotency key is running");
    } else if (admission instanceof KeyAdmission.Unconfirmed unconfirmed) {
      send(exchange, ErrorKind.NOT_RUN, "the key could not be claimed: " + unconfirmed.detail());
    } else {
      send(
          exchange,
          ErrorKind.OUTCOME_UNKNOWN,
          "an earlier request with this idempotency key failed after dispatch");
    }
  }

  private void replay(Exchange exchange, IdempotencyTable.Entry record) {
    HttpServerResponse response = exchange.response();
    if (exchange.responseCommitted()) {
      return;
    }
    metrics.requests.labelValues("replayed").inc();
    response.setStatusCode(record.status()).putHeader(EntryGateway.REPLAY_HEADER, "true");
    if (!record.contentType().isEmpty()) {
      response.putHeader("Content-Type", record.contentType());
    }
    response.end(Buffer.buffer(record.body()));
  }

  private void send(Exchange exchange, ErrorKind kind, String detail) {
    metrics.requests.labelValues(kind.code()).inc();
    if (!exchange.responseCommitted()) {
      ErrorReply.send(exchange.response(), kind, detail, exchange.request().idempotencyKey());
    }
  }
}
