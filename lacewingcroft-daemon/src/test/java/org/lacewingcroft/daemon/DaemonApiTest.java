package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the contract of the caller, announcement and configuration APIs: each invalid input
 * receives a typed error that names a remedy, reaches no endpoint and changes nothing.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DaemonApiTest {
  private static final String CHAT =
      "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
  private static final String ANNOUNCEMENT =
      "{\"id\":\"e1\",\"url\":\"http://127.0.0.1:%d\",\"region\":\"uusimaa\","
          + "\"failureDomain\":\"uusimaa-a\",\"kind\":\"engine\",\"labels\":{},"
          + "\"models\":[\"writer\"],\"capacity\":4}";
  private static final Map<String, String> CALLER = Map.of("X-Organisation", "puhdas-seina");

  private final Vertx vertx = Vertx.vertx();
  private FakeEndpoint engine;
  private TestCluster cluster;
  private Daemon entry;

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    engine = new FakeEndpoint(vertx, FakeEndpoint.Behaviour.RESPONDS);
    cluster = new TestCluster(dir.resolve("data"), "{}");
    entry = cluster.startEntry("entry-1", "uusimaa", Duration.ZERO);
    cluster.announce(entry, "e1", "uusimaa", "writer", engine.port(), false);
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    engine.close();
    vertx.close();
  }

  static Stream<Arguments> badRequests() {
    Map<String, String> unknownRegion =
        Map.of("X-Organisation", "puhdas-seina", "X-Residency", "atlantis");
    Map<String, String> noKey = Map.of("X-Organisation", "puhdas-seina", "X-Idempotent", "false");
    String chat = "/v1/chat/completions";
    return Stream.of(
        row("malformed JSON", chat, CALLER, "{", 400, "malformed_request"),
        row("body is not an object", chat, CALLER, "[]", 400, "malformed_request"),
        row("empty body", chat, CALLER, "", 400, "malformed_request"),
        row("no model", chat, CALLER, "{\"messages\":[1]}", 400, "malformed_request"),
        row("no messages", chat, CALLER, "{\"model\":\"writer\"}", 400, "malformed_request"),
        row("no organisation", chat, Map.of(), CHAT, 400, "malformed_request"),
        row("unknown model", chat, CALLER, CHAT.replace("writer", "poet"), 404, "unknown_model"),
        row("unknown region", chat, unknownRegion, CHAT, 400, "unknown_region"),
        row("non-idempotent without key", chat, noKey, CHAT, 400, "malformed_request"),
        row("oversized body", chat, CALLER, "x".repeat(8_192), 413, "payload_too_large"),
        row("unknown path", "/v2/chat", CALLER, CHAT, 404, "unknown_path"),
        row("unknown service", "/v1/services/none/x", CALLER, "{}", 404, "unknown_model"));
  }

  private static Arguments row(
      String name, String path, Map<String, String> headers, String body, int status, String code) {
    return Arguments.of(name, path, headers, body, status, code);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("badRequests")
  void refusesBadRequestsWithoutRunningThem(
      String name, String path, Map<String, String> headers, String body, int status, String code)
      throws Exception {
    final int runsBefore = engine.runs();
    TestCluster.Reply reply = send(entry, "POST", path, headers, body);
    assertThat(reply.status(), is(status));
    assertThat(reply.code(), is(code));
    assertThat(reply.remedy(), is(not("")));
    assertThat(engine.runs(), is(runsBefore));
    assertThat(send(entry, "POST", "/v1/chat/completions", CALLER, CHAT).status(), is(200));
  }

  @ParameterizedTest
  @ValueSource(strings = {"X-Organisation", "x-organisation", "OpenAI-Organization"})
  void acceptsEveryOrganisationHeader(String header) throws Exception {
    Map<String, String> caller = Map.of(header, "puhdas-seina");
    assertThat(send(entry, "POST", "/v1/chat/completions", caller, CHAT).status(), is(200));
  }

  @Test
  void listsServedModels() throws Exception {
    TestCluster.Reply reply = send(entry, "GET", "/v1/models", Map.of(), "");
    assertThat(reply.status(), is(200));
    assertThat(
        reply.body().toString(),
        is("{\"object\":\"list\",\"data\":[{\"id\":\"writer\",\"object\":\"model\"}]}"));
  }

  static Stream<Arguments> badAnnouncements() {
    String good = String.format(ANNOUNCEMENT, 1);
    return Stream.of(
        Arguments.of("malformed JSON", "{"),
        Arguments.of("not an object", "[]"),
        Arguments.of("empty", ""),
        Arguments.of("unknown key", good.replace("\"labels\":{}", "\"label\":{}")),
        Arguments.of("unknown kind", good.replace("engine", "toaster")),
        Arguments.of("no capacity", good.replace("\"capacity\":4", "\"capacity\":0")),
        Arguments.of("no models", good.replace("[\"writer\"]", "[]")),
        Arguments.of("bad address", good.replace("http://", "ftp://")),
        Arguments.of("no id", good.replace("\"e1\"", "\"\"")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("badAnnouncements")
  void refusesBadAnnouncementsAndKeepsTheEndpoint(String name, String body) throws Exception {
    TestCluster.Reply reply = send(entry, "POST", "/v1/endpoints/announce", Map.of(), body);
    assertThat(reply.status(), is(400));
    assertThat(reply.code(), is("malformed_request"));
    assertThat(send(entry, "GET", "/v1/endpoints", Map.of(), "").body().size(), is(1));
  }

  static Stream<Arguments> badChanges() {
    Map<String, String> noId = Map.of("X-Expected-Version", "1");
    Map<String, String> noVersion = Map.of("X-Change-Id", "a");
    String removesRules = "remove: {rules: [a]}";
    return Stream.of(
        Arguments.of("no change id", "PUT", noId, "{}", 400),
        Arguments.of("no expected version", "PUT", noVersion, "{}", 400),
        Arguments.of("version is not a number", "PUT", TestCluster.change("a", "one"), "{}", 400),
        Arguments.of("older version", "PUT", TestCluster.change("b", "0"), "{}", 409),
        Arguments.of("newer version", "PUT", TestCluster.change("c", "7"), "{}", 409),
        Arguments.of("unknown key", "PUT", TestCluster.change("d", "1"), "selektors: []", 422),
        Arguments.of("not YAML", "PUT", TestCluster.change("e", "1"), "a: [", 422),
        Arguments.of("patch: no change id", "PATCH", noId, "{}", 400),
        Arguments.of("patch: older version", "PATCH", TestCluster.change("f", "0"), "{}", 409),
        Arguments.of("patch: not a mapping", "PATCH", TestCluster.change("g", "1"), "[]", 422),
        Arguments.of(
            "patch: removes from unknown list",
            "PATCH",
            TestCluster.change("h", "1"),
            removesRules,
            422));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("badChanges")
  void refusesBadChangesAndKeepsTheVersion(
      String name, String method, Map<String, String> headers, String document, int status)
      throws Exception {
    TestCluster.Reply reply = send(cluster.control(), method, "/v1/config", headers, document);
    assertThat(reply.status(), is(status));
    assertThat(reply.remedy(), is(not("")));
    assertThat(cluster.version(cluster.control()), is(1L));
  }

  private TestCluster.Reply send(
      Daemon daemon, String method, String path, Map<String, String> headers, String body)
      throws Exception {
    return cluster.send(daemon, method, path, headers, body);
  }
}
