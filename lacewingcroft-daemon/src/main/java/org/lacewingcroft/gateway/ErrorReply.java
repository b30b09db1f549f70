package org.lacewingcroft.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import org.lacewingcroft.error.ErrorKind;

/**
 * Writes typed errors to callers as JSON: {@code {"error": {"code", "message", "remedy", "run",
 * "idempotencyKey"}}}, with {@code Retry-After} in seconds on refusals a caller may retry.
 */
public final class ErrorReply {
  /** Seconds that a caller should wait before it retries a refusal, unless another delay is set. */
  public static final int DEFAULT_RETRY_AFTER_SECONDS = 1;

  private static final String RETRY_AFTER_HEADER = "Retry-After";
  private static final ObjectMapper JSON = new ObjectMapper();

  private ErrorReply() {}

  /** Returns the JSON error body. */
  public static String body(ErrorKind kind, String detail, Optional<String> idempotencyKey) {
    ObjectNode error = JSON.createObjectNode();
    error.put("code", kind.code());
    error.put("message", detail);
    error.put("remedy", kind.remedy());
    error.put("run", runStatus(kind));
    idempotencyKey.ifPresent(k -> error.put("idempotencyKey", k));
    ObjectNode root = JSON.createObjectNode();
    root.set("error", error);
    return root.toString();
  }

  /** Sends the error as the complete response, unless the response head was already written. */
  public static void send(
      HttpServerResponse response, ErrorKind kind, String detail, Optional<String> key) {
    if (response.headWritten() || response.ended()) {
      return;
    }
    response
        .setStatusCode(kind.httpStatus())
        .putHeader("Content-Type", "application/json")
        .putHeader(EntryGateway.RUN_HEADER, runStatus(kind));
    if (isRetryable(kind) && !response.headers().contains(RETRY_AFTER_HEADER)) {
      response.putHeader(RETRY_AFTER_HEADER, Integer.toString(DEFAULT_RETRY_AFTER_SECONDS));
    }
    response.end(body(kind, detail, key));
  }

  /** Sets {@code Retry-After} to a duration rounded up to whole seconds, at least one. */
  public static void setRetryAfter(HttpServerResponse response, Duration delay) {
    long seconds = Math.max(1, (delay.toMillis() + 999) / 1000);
    response.putHeader(RETRY_AFTER_HEADER, Long.toString(seconds));
  }

  private static String runStatus(ErrorKind kind) {
    return kind.guaranteesNotRun() ? EntryGateway.RUN_NO : "unknown";
  }

  private static boolean isRetryable(ErrorKind kind) {
    return kind == ErrorKind.NOT_RUN
        || kind == ErrorKind.RATE_LIMITED
        || kind == ErrorKind.SHUTTING_DOWN
        || kind == ErrorKind.OUTCOME_UNKNOWN
        || kind == ErrorKind.IN_PROGRESS
        || kind == ErrorKind.CHANGE_UNKNOWN
        || kind == ErrorKind.NO_QUORUM;
  }
}
