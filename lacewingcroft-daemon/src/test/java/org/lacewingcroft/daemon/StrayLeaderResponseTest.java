package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.control.ControlService;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.forward.RawEndpoint;
import org.lacewingcroft.forward.RawResponse;
import org.lacewingcroft.membership.Heartbeat;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;

/** Guards against a leader's bytes that are no response to a change being read as its outcome. */
class StrayLeaderResponseTest {
  private static final String SELF = "control-1";
  private static final String LEADER = "control-2";
  private static final long LEADER_TERM = 1_000;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final PeerTransport transport =
      new PeerTransport(vertx, new FrameCodec("0123456789abcdef".getBytes(StandardCharsets.UTF_8)));
  private final HttpClient http = HttpClient.newHttpClient();

  /** Referenced here because an HTTP client without references closes. */
  private ConfigApi api;

  @AfterEach
  void close() throws Exception {
    transport.close();
    await(vertx.close());
  }

  @ParameterizedTest
  @CsvSource({"409 C, ''", "'', 409 C", "'', 409 Conflict", "20, ''"})
  void changeGetsItsOwnOutcome(String strayStatus, String lateStatus, @TempDir Path folder)
      throws Exception {
    String first = RawEndpoint.ownResponse(200, "first");
    try (RawEndpoint leader =
            new RawEndpoint(vertx, first + cutHead(strayStatus), cutHead(lateStatus));
        ControlService control = follower(leader.port(), folder)) {
      int port = serve(control);
      assertThat(change(port, "a").body(), equalTo("first"));
      TimeUnit.MILLISECONDS.sleep(100);
      HttpResponse<String> second = change(port, "b");
      assertThat(second.statusCode(), equalTo(200));
      assertThat(second.body(), equalTo(RawEndpoint.OWN_BODY));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "102", "600", "0200"})
  void invalidStatusOfLeaderIsUnknownOutcome(String status, @TempDir Path folder) throws Exception {
    try (RawEndpoint leader = new RawEndpoint(vertx, RawResponse.withStatus(status), "");
        ControlService control = follower(leader.port(), folder)) {
      HttpResponse<String> response = change(serve(control), "a");
      assertThat(response.statusCode(), equalTo(ErrorKind.CHANGE_UNKNOWN.httpStatus()));
      assertThat(response.body(), containsString(ErrorKind.CHANGE_UNKNOWN.code()));
    }
  }

  private static String cutHead(String status) {
    return status.isEmpty() ? "" : "HTTP/1.1 " + status;
  }

  /** Starts a control instance that follows a leader whose API is at the given port. */
  private ControlService follower(int leaderPort, Path folder) throws Exception {
    Membership membership =
        new Membership(
            info(SELF, 1), List.of(), transport, InstantSource.system(), Duration.ofSeconds(1));
    ConfigStore configs = new ConfigStore();
    ControlService control =
        new ControlService(
            List.of(SELF, LEADER), folder.resolve("data"), true, configs, membership, e -> {});
    control.start();
    MemberInfo leader = info(LEADER, leaderPort);
    membership.onGossip(
        new PeerMessage.Gossip(
            leader, 0, List.of(new Heartbeat(LEADER, 1, 1, false)), List.of(), List.of(), false),
        0);
    vertx.setPeriodic(
        0,
        HEARTBEAT_INTERVAL_MILLIS,
        t ->
            control.receive(
                LEADER,
                new ConsensusMessage.AppendRequest(
                    LEADER_TERM,
                    0,
                    0,
                    List.of(),
                    0,
                    0,
                    OptionalLong.empty(),
                    OptionalLong.empty())));
    api = new ConfigApi(vertx, configs, membership, new GatewayMetrics());
    while (!control.status().leader().equals(Optional.of(LEADER))) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    return control;
  }

  private static MemberInfo info(String id, int httpPort) {
    return new MemberInfo(
        id, MemberInfo.CONTROL, "r", "r-a", "127.0.0.1:1", "127.0.0.1:" + httpPort, 1);
  }

  private int serve(ControlService control) throws Exception {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create());
    api.mountControl(router, control);
    HttpServer server = vertx.createHttpServer().requestHandler(router);
    return await(server.listen(0, "127.0.0.1")).actualPort();
  }

  private HttpResponse<String> change(int port, String id) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/config"))
            .PUT(HttpRequest.BodyPublishers.ofString("organisations: []"))
            .header("X-Change-Id", id)
            .header("X-Expected-Version", "0")
            .timeout(Duration.ofSeconds(10))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
