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
final class StatedConditions {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int UNAVAILABLE = 503;

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
    JsonNode order;
    try {
      order = JSON.readTree(body.getBytes());
    } catch (IOException e) {
      return false;
    }
    if (!isNumberOrMissing(order, "requestsPerSecond")
        || !isNumberOrMissing(order, "pauseSeconds")) {
      return false;
    }
    requestsPerSecond = number(order, "requestsPerSecond");
    pauseSeconds = number(order, "pauseSeconds");
    return true;
  }

  private static boolean isNumberOrMissing(JsonNode order, String field) {
    JsonNode value = order.path(field);
    return order.isObject() && (value.isMissingNode() || value.isNumber() && value.asDouble() >= 0);
  }

  private static OptionalDouble number(JsonNode order, String field) {
    return order.has(field)
        ? OptionalDouble.of(order.get(field).asDouble())
        : OptionalDouble.empty();
  }

  /** Adds the headers that advertise the rate limit and the draining state to a response. */
  void state(HttpServerResponse response, boolean leaving) {
    requestsPerSecond.ifPresent(rate -> response.putHeader("Server-Limit", Double.toString(rate)));
    if (leaving) {
      response.putHeader("Server-Leaving", "1");
    }
  }

  /** Rejects a request with status 503 if a pause is set, and returns whether it did. */
  boolean turnsAway(HttpServerResponse response) {
    OptionalDouble pause = pauseSeconds;
    if (pause.isEmpty()) {
      return false;
    }
    response
        .setStatusCode(UNAVAILABLE)
        .putHeader("Retry-After", Double.toString(pause.getAsDouble()))
        .end("{\"error\":\"turned_away\"}");
    return true;
  }
}
