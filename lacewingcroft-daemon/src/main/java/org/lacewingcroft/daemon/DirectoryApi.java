package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.gateway.EndpointRegistry;
import org.lacewingcroft.gateway.ErrorReply;
import org.lacewingcroft.gateway.RequestBody;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;

/**
 * The directory API: {@code GET /v1/entries} lists the entries that callers may use, {@code POST
 * /v1/endpoints/announce} receives announcements of endpoints, {@code GET /v1/endpoints} lists the
 * endpoints, and {@code GET /v1/models} lists their models in the format of the OpenAI API.
 */
final class DirectoryApi {
  private final Membership membership;
  private final EndpointRegistry endpoints;
  private final ConfigStore configs;
  private final InstantSource clock;
  private final BooleanSupplier acceptsRequests;

  /**
   * Creates the API.
   *
   * @param acceptsRequests whether this daemon is an entry that accepts new requests
   */
  DirectoryApi(
      Membership membership,
      EndpointRegistry endpoints,
      ConfigStore configs,
      InstantSource clock,
      BooleanSupplier acceptsRequests) {
    this.membership = membership;
    this.endpoints = endpoints;
    this.configs = configs;
    this.clock = clock;
    this.acceptsRequests = acceptsRequests;
  }

  /** Mounts the route that lists the entries. */
  void mountEntries(Router router) {
    router.get("/v1/entries").handler(this::serveEntries);
  }

  /** Mounts the routes for endpoints and models. */
  void mountEndpoints(Router router) {
    router.post("/v1/endpoints/announce").handler(this::announce);
    router.get("/v1/endpoints").handler(this::serveEndpoints);
    router.get("/v1/models").handler(this::serveModels);
  }

  private void serveEntries(RoutingContext ctx) {
    String region =
        Optional.ofNullable(ctx.request().getParam("region")).orElse(membership.self().region());
    Stream<MemberInfo> self =
        acceptsRequests.getAsBoolean() ? Stream.of(membership.self()) : Stream.empty();
    Stream<MemberInfo> others =
        membership.table().alive(MemberInfo.ENTRY, null, clock.instant()).stream()
            .map(Member::info);
    ArrayNode list = JsonReply.JSON.createArrayNode();
    Stream.concat(self, others)
        .sorted(
            Comparator.comparing((MemberInfo m) -> !m.region().equals(region))
                .thenComparing(MemberInfo::nodeId))
        .forEach(
            m -> {
              ObjectNode n = list.addObject();
              n.put("node", m.nodeId());
              n.put("region", m.region());
              n.put("failureDomain", m.failureDomain());
              n.put("url", "http://" + m.httpAddress());
            });
    ObjectNode reply = JsonReply.JSON.createObjectNode();
    reply.set("entries", list);
    JsonReply.send(ctx, reply);
  }

  private void announce(RoutingContext ctx) {
    try {
      Endpoint endpoint = endpoints.announce(RequestBody.of(ctx));
      membership.sendToRegionEntries(new PeerMessage.EndpointAnnounce(endpoint));
      ObjectNode reply = JsonReply.JSON.createObjectNode();
      reply.put("leaseExpiresAt", endpoint.leaseExpiresAt().toString());
      reply.put("configVersion", configs.current().version());
      JsonReply.send(ctx, reply);
    } catch (GatewayException e) {
      ErrorReply.send(ctx.response(), e.kind(), e.detail(), Optional.empty());
    }
  }

  private void serveEndpoints(RoutingContext ctx) {
    ArrayNode list = JsonReply.JSON.createArrayNode();
    endpoints.snapshot().all().stream()
        .sorted(Comparator.comparing(Endpoint::id))
        .forEach(e -> describe(e, list.addObject()));
    JsonReply.send(ctx, list);
  }

  private void serveModels(RoutingContext ctx) {
    ObjectNode reply = JsonReply.JSON.createObjectNode().put("object", "list");
    ArrayNode list = reply.putArray("data");
    endpoints.snapshot().all().stream()
        .flatMap(e -> e.models().stream())
        .distinct()
        .sorted()
        .forEach(m -> list.addObject().put("id", m).put("object", "model"));
    JsonReply.send(ctx, reply);
  }

  private static void describe(Endpoint e, ObjectNode n) {
    n.put("id", e.id());
    n.put("url", e.baseUrl());
    n.put("region", e.region());
    n.put("failureDomain", e.failureDomain());
    n.put("kind", e.kind().name().toLowerCase(Locale.ROOT));
    n.set("labels", JsonReply.JSON.valueToTree(e.labels()));
    n.set("models", JsonReply.JSON.valueToTree(e.models()));
    n.put("capacity", e.capacity());
    n.put("load", e.reportedLoad());
    n.put("draining", e.draining());
    n.put("leaseExpiresAt", e.leaseExpiresAt().toString());
  }
}
