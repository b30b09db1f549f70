package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.gateway.EntryGateway;
import org.lacewingcroft.gateway.ErrorReply;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The quarantine API, for request contents that entries refuse because they crashed endpoints:
 * {@code GET /v1/quarantine} lists the contents by their fingerprints, {@code DELETE
 * /v1/quarantine/FINGERPRINT} lifts the quarantine of a content at all entries and responds with
 * {@link ErrorKind#NOT_QUARANTINED} if the content is not quarantined.
 */
final class QuarantineApi {
  private static final System.Logger LOG = System.getLogger(QuarantineApi.class.getName());
  private static final String PATH = "/v1/quarantine";
  private static final String FINGERPRINT = "fingerprint";

  private final EntryGateway gateway;

  QuarantineApi(EntryGateway gateway) {
    this.gateway = gateway;
  }

  void mount(Router router) {
    router.get(PATH).handler(this::list);
    router.delete(PATH + "/:" + FINGERPRINT).handler(this::lift);
  }

  private void list(RoutingContext ctx) {
    ArrayNode list = JsonReply.JSON.createArrayNode();
    for (Suspicion suspicion : gateway.quarantinedContents()) {
      ObjectNode node = list.addObject();
      node.put(FINGERPRINT, suspicion.content().toString());
      node.put("lastEndAgeMillis", suspicion.age().toMillis());
      ArrayNode endpoints = node.putArray("endpoints");
      suspicion.crashedIncarnations().stream().sorted().forEach(endpoints::add);
    }
    JsonReply.send(ctx, list);
  }

  private void lift(RoutingContext ctx) {
    String digits = ctx.pathParam(FINGERPRINT);
    boolean lifted = RequestFingerprint.parse(digits).filter(gateway::liftQuarantine).isPresent();
    LOG.log(
        System.Logger.Level.INFO,
        "quarantine.lift",
        FINGERPRINT,
        digits,
        "lifted",
        lifted,
        "operator",
        String.valueOf(ctx.request().remoteAddress()));
    if (lifted) {
      JsonReply.send(ctx, JsonReply.JSON.createObjectNode().put(FINGERPRINT, digits));
    } else {
      ErrorReply.send(
          ctx.response(),
          ErrorKind.NOT_QUARANTINED,
          digits + " is not quarantined",
          Optional.empty());
    }
  }
}
