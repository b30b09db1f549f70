package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.lacewingcroft.config.ConfigParser;
import org.lacewingcroft.config.ConfigPatch;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.LogLimits;
import org.lacewingcroft.control.ControlService;
import org.lacewingcroft.control.StorageState;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.gateway.ErrorReply;
import org.lacewingcroft.http.ResponseBodies;
import org.lacewingcroft.http.ResponseMetrics;
import org.lacewingcroft.http.StrictResponseDecoder;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.peer.Membership;

/**
 * The configuration API for operators: {@code GET /v1/config} on every daemon, and on control
 * daemons {@code PUT /v1/config} (a whole document), {@code PATCH /v1/config} (a {@link
 * ConfigPatch}) and {@code GET /v1/control}.
 *
 * <p>A control daemon that is not the leader relays a change to the leader, but never one that was
 * already relayed.
 */
final class ConfigApi {
  private static final String CHANGE_ID_HEADER = "X-Change-Id";
  private static final String EXPECTED_VERSION_HEADER = "X-Expected-Version";
  private static final String CONTROL_HOP_HEADER = "X-Lacewingcroft-Control-Hop";

  /** Bounds the ids in a snapshot, which retains those of the last changes. */
  private static final int MAX_CHANGE_ID_CHARS = 128;

  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(4);
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final Duration RELAY_TIMEOUT = Duration.ofSeconds(6);

  /** Maximum size of the leader's response to a change, which holds its result or an error. */
  private static final int MAX_RELAYED_BODY_BYTES = 64 << 10;

  private final Vertx vertx;
  private final ConfigStore configs;
  private final Membership membership;
  private final HttpClient client;

  /** A change as sent by an operator: a whole document or a patch. */
  private record ChangeRequest(
      Command.Change change,
      long expectedVersion,
      HttpMethod method,
      String body,
      boolean relayed) {}

  ConfigApi(Vertx vertx, ConfigStore configs, Membership membership, GatewayMetrics metrics) {
    this.vertx = vertx;
    this.configs = configs;
    this.membership = membership;
    // Responses carry no change id: on a connection of its own, a call cannot get another's.
    HttpClientOptions options = new HttpClientOptions().setKeepAlive(false);
    this.client = createClient(vertx, options, new ResponseMetrics(metrics));
  }

  private static HttpClient createClient(
      Vertx vertx, HttpClientOptions options, StrictResponseDecoder.Observer observer) {
    StrictResponseDecoder.Rules responseRules =
        new StrictResponseDecoder.Rules(
            options,
            CHANGE_ID_HEADER,
            Set.of(),
            /* requiresId= */ false,
            /* refusals= */ head -> false,
            observer);
    return vertx
        .httpClientBuilder()
        .with(options)
        .withConnectHandler(
            connection -> {
              StrictResponseDecoder.install(connection, responseRules);
              // The failure is handled for the change, and is no error of the connection.
              connection.exceptionHandler(e -> {});
            })
        .build();
  }

  /**
   * Mounts the route that returns the active configuration.
   *
   * @param configKnown whether the active version is known on this daemon; until then reads are
   *     refused
   */
  void mountRead(Router router, BooleanSupplier configKnown) {
    router
        .get("/v1/config")
        .handler(
            ctx -> {
              if (configKnown.getAsBoolean()) {
                serveConfig(ctx);
              } else {
                sendError(
                    ctx, ErrorKind.NOT_RUN, "this daemon has not learned the version in force");
              }
            });
  }

  /** Mounts the routes of the control role. */
  void mountControl(Router router, ControlService control) {
    router.put("/v1/config").handler(ctx -> proposeChange(ctx, control));
    router.patch("/v1/config").handler(ctx -> proposeChange(ctx, control));
    router.get("/v1/control").handler(ctx -> serveStatus(ctx, control));
  }

  private void serveConfig(RoutingContext ctx) {
    ConfigStore.Applied current = configs.current();
    ctx.response()
        .putHeader("Content-Type", "application/yaml")
        .putHeader("X-Config-Version", Long.toString(current.version()))
        .end(current.document());
  }

  private static void serveStatus(RoutingContext ctx, ControlService control) {
    ControlService.Status status = control.status();
    ObjectNode reply = JsonReply.JSON.createObjectNode();
    reply.put("role", status.role().name().toLowerCase(Locale.ROOT));
    reply.put("leader", status.leader().orElse(null));
    reply.put("term", status.term());
    reply.put("commitIndex", status.commitIndex());
    reply.put("version", status.version());
    reply.put("voter", status.voter());
    reply.put("caughtUp", status.caughtUp());
    reply.put("storage", control.storage().wireName());
    JsonReply.send(ctx, reply);
  }

  private void proposeChange(RoutingContext ctx, ControlService control) {
    ChangeRequest request;
    try {
      request = parse(ctx);
    } catch (GatewayException e) {
      sendError(ctx, e.kind(), e.detail());
      return;
    }
    StorageState storage = control.storage();
    if (storage != StorageState.OPEN) {
      sendError(
          ctx,
          ErrorKind.NO_QUORUM,
          "this daemon cannot use its data folder ("
              + storage.wireName()
              + ") and takes no part in the control group; send the change to another control"
              + " daemon");
      return;
    }
    control
        .propose(request.change(), request.expectedVersion(), PROPOSAL_TIMEOUT)
        .onSuccess(result -> sendResult(ctx, request, result));
  }

  private static ChangeRequest parse(RoutingContext ctx) {
    String id = ctx.request().getHeader(CHANGE_ID_HEADER);
    String expectedVersion = ctx.request().getHeader(EXPECTED_VERSION_HEADER);
    if (id == null
        || id.isBlank()
        || expectedVersion == null
        || !expectedVersion.matches("\\d{1,18}")) {
      throw new GatewayException(
          ErrorKind.MALFORMED_REQUEST,
          "a change needs headers " + CHANGE_ID_HEADER + " and " + EXPECTED_VERSION_HEADER);
    }
    if (id.length() > MAX_CHANGE_ID_CHARS) {
      throw new GatewayException(
          ErrorKind.MALFORMED_REQUEST,
          CHANGE_ID_HEADER + " has more than " + MAX_CHANGE_ID_CHARS + " characters");
    }
    if (ctx.body().length() > LogLimits.MAX_DOCUMENT_BYTES) {
      throw new GatewayException(
          ErrorKind.PAYLOAD_TOO_LARGE,
          "the configuration exceeds " + LogLimits.MAX_DOCUMENT_BYTES + " bytes; shorten it");
    }
    String document =
        Optional.ofNullable(ctx.body().asString(StandardCharsets.UTF_8.name())).orElse("");
    boolean isPatch = ctx.request().method().equals(HttpMethod.PATCH);
    Command.Change change =
        isPatch
            ? new Command.PatchChange(id, ConfigPatch.parse(document).text())
            : parseDocumentChange(id, document);
    boolean relayed = ctx.request().getHeader(CONTROL_HOP_HEADER) != null;
    return new ChangeRequest(
        change, Long.parseLong(expectedVersion), ctx.request().method(), document, relayed);
  }

  private static Command.Change parseDocumentChange(String id, String document) {
    ConfigParser.parse(document);
    return new Command.ConfigChange(id, document);
  }

  private void sendResult(RoutingContext ctx, ChangeRequest request, ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      ObjectNode reply = JsonReply.JSON.createObjectNode();
      reply.put("version", accepted.version());
      reply.put("duplicate", accepted.duplicate());
      JsonReply.send(ctx, reply);
    } else if (result instanceof ChangeResult.Conflict conflict) {
      sendError(
          ctx,
          ErrorKind.VERSION_CONFLICT,
          "the change expects version "
              + request.expectedVersion()
              + " but version "
              + conflict.currentVersion()
              + " is in force; rebase on "
              + conflict.currentVersion());
    } else if (result instanceof ChangeResult.Overloaded) {
      sendError(
          ctx, ErrorKind.NO_QUORUM, "too many changes are not stored by a quorum yet; retry later");
    } else if (result instanceof ChangeResult.NotLeader notLeader) {
      relayToLeader(ctx, request, notLeader.leader());
    } else {
      sendError(ctx, ErrorKind.CHANGE_UNKNOWN, "no quorum confirmed the change in time");
    }
  }

  private void relayToLeader(RoutingContext ctx, ChangeRequest request, Optional<String> leader) {
    Optional<String> address =
        leader.flatMap(membership.table()::get).map(m -> m.info().httpAddress());
    if (request.relayed() || address.isEmpty()) {
      sendError(ctx, ErrorKind.NO_QUORUM, "the control group has no leader that can be reached");
      return;
    }
    RequestOptions options =
        new RequestOptions()
            .setMethod(request.method())
            .setAbsoluteURI("http://" + address.get() + "/v1/config")
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setIdleTimeout(RELAY_TIMEOUT.toMillis())
            .putHeader(CHANGE_ID_HEADER, request.change().changeId())
            .putHeader(EXPECTED_VERSION_HEADER, Long.toString(request.expectedVersion()))
            .putHeader(CONTROL_HOP_HEADER, membership.self().nodeId());
    client
        .request(options)
        .onFailure(e -> sendError(ctx, ErrorKind.NO_QUORUM, "the leader cannot be reached"))
        .onSuccess(
            upstream ->
                upstream
                    .send(Buffer.buffer(request.body()))
                    .compose(
                        response ->
                            ResponseBodies.read(
                                    vertx, response, MAX_RELAYED_BODY_BYTES, RELAY_TIMEOUT)
                                .map(body -> copyResponse(ctx, response, body)))
                    .onFailure(
                        e ->
                            sendError(ctx, ErrorKind.CHANGE_UNKNOWN, "the leader did not answer")));
  }

  private static Void copyResponse(RoutingContext ctx, HttpClientResponse response, Buffer body) {
    String retryAfter = response.getHeader("Retry-After");
    if (retryAfter != null) {
      ctx.response().putHeader("Retry-After", retryAfter);
    }
    ctx.response()
        .setStatusCode(response.statusCode())
        .putHeader("Content-Type", "application/json")
        .end(body);
    return null;
  }

  private static void sendError(RoutingContext ctx, ErrorKind kind, String detail) {
    ErrorReply.send(ctx.response(), kind, detail, Optional.empty());
  }
}
