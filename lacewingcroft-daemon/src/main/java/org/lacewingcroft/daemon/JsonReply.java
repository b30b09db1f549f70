package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.ext.web.RoutingContext;

/** Sends JSON documents as responses of the daemon's own API. */
final class JsonReply {
  static final ObjectMapper JSON = new ObjectMapper();

  private JsonReply() {}

  static void send(RoutingContext ctx, JsonNode document) {
    ctx.response().putHeader("Content-Type", "application/json").end(document.toString());
  }
}
