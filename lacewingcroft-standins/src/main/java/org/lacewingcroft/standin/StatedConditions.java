package org.lacewingcroft.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.OptionalDouble;

/**
 * On which conditions a stand-in runner takes requests, as its answers state them: the requests a
 * second that it takes from all senders together, a pause that it asks for while it turns
 * everything away, and that it leaves.
 */
final class StatedConditions {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int UNAVAILABLE = 503;

  private volatile OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private volatile OptionalDouble pauseSeconds = OptionalDouble.empty();

  /**
   * Takes conditions from an order.
   *
   * @param body a JSON object with {@code requestsPerSecond} and {@code pauseSeconds}, each a
   *     number that is not negative; what is missing is not stated any more
   * @return false if it is none, which changes nothing
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

  /** Adds them to the head of an answer. */
  void state(HttpServerResponse response, boolean leaving) {
    requestsPerSecond.ifPresent(rate -> response.putHeader("Server-Limit", Double.toString(rate)));
    if (leaving) {
      response.putHeader("Server-Leaving", "1");
    }
  }

  /** Turns a request away if the runner asks for a pause; returns whether it did. */
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
