package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.gateway.ErrorReply;
import org.lacewingcroft.gateway.RequestBody;
import org.lacewingcroft.peer.LinkFaults;
import org.lacewingcroft.peer.Membership;

/**
 * The fault injection API for experiments, disabled unless {@code --fault-injection} is set: {@code
 * POST /v1/faults} with {@code {"cutRegions": ["r"], "delayMillis": 50}} replaces the faults on
 * this daemon's links to other regions.
 */
final class FaultApi {
  private final Membership membership;
  private final Consumer<LinkFaults> faultSink;

  FaultApi(Membership membership, Consumer<LinkFaults> faultSink) {
    this.membership = membership;
    this.faultSink = faultSink;
  }

  void mount(Router router) {
    router.post("/v1/faults").handler(this::replaceFaults);
  }

  private void replaceFaults(RoutingContext ctx) {
    JsonNode body;
    try {
      body = JsonReply.JSON.readTree(RequestBody.of(ctx));
    } catch (IOException e) {
      ErrorReply.send(
          ctx.response(), ErrorKind.MALFORMED_REQUEST, "the body is not JSON", Optional.empty());
      return;
    }
    Set<String> cutRegions = new HashSet<>();
    body.path("cutRegions").forEach(r -> cutRegions.add(r.asText()));
    LinkFaults faults =
        new LinkFaults(
            membership.self().region(),
            cutRegions,
            body.path("delayMillis").asLong(0),
            membership::regionOf);
    faultSink.accept(faults);
    ObjectNode reply = JsonReply.JSON.createObjectNode();
    reply.set("cutRegions", JsonReply.JSON.valueToTree(cutRegions));
    reply.put("delayMillis", faults.delayMillis());
    JsonReply.send(ctx, reply);
  }
}
