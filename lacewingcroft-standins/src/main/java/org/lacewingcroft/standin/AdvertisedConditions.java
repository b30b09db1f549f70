package org.lacewingcroft.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.OptionalDouble;

/**
 * The conditions that a stand-in runner advertises in its responses: a rate limit over all senders
 * in requests per second, a requested pause during which it rejects every request, and whether it
 * is draining.
 */
final class AdvertisedConditions {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;

  private volatile OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private volatile OptionalDouble pauseSeconds = OptionalDouble.empty();

  /**
   * Sets the conditions from the body of a request.
   *
   * @param body a JSON object with {@code requestsPerSecond} and {@code pauseSeconds}, each a
   *     number that is not negative; conditions of missing fields are cleared
   * @return whether the body was valid; an invalid body changes nothing
   */
  boolean set(Buffer body) {
    JsonNode json;
    try {
      json = JSON.readTree(body.getBytes());
    } catch (IOException e) {
      return false;
    }
    if (!isNumberOrMissing(json, "requestsPerSecond") || !isNumberOrMissing(json, "pauseSeconds")) {
      return false;
    }
    requestsPerSecond = number(json, "requestsPerSecond");
    pauseSeconds = number(json, "pauseSeconds");
    return true;
  }

  private static boolean isNumberOrMissing(JsonNode json, String field) {
    JsonNode value = json.path(field);
    return json.isObject() && (value.isMissingNode() || value.isNumber() && value.asDouble() >= 0);
  }

  private static OptionalDouble number(JsonNode json, String field) {
    return json.has(field) ? OptionalDouble.of(json.get(field).asDouble()) : OptionalDouble.empty();
  }

  /** Adds the headers that advertise the rate limit and the draining state to a response. */
  void addHeaders(HttpServerResponse response, boolean draining) {
    requestsPerSecond.ifPresent(rate -> response.putHeader("Server-Limit", Double.toString(rate)));
    if (draining) {
      response.putHeader("Server-Leaving", "1");
    }
  }

  /** Rejects a request with status 503 if a pause is set, and returns whether it did. */
  boolean rejectIfPaused(HttpServerResponse response) {
    OptionalDouble pause = pauseSeconds;
    if (pause.isEmpty()) {
      return false;
    }
    response
        .setStatusCode(SERVICE_UNAVAILABLE_STATUS)
        .putHeader("Retry-After", Double.toString(pause.getAsDouble()))
        .end("{\"error\":\"turned_away\"}");
    return true;
  }
}
