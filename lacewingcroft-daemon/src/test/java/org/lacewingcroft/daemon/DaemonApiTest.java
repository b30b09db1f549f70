package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Contract of the caller, announce and configuration APIs: each bad input gets a typed error that
 * names a remedy, reaches no endpoint and changes nothing.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DaemonApiTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHAT =
      "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
  private static final String ANNOUNCEMENT =
      "{\"id\":\"e1\",\"url\":\"http://127.0.0.1:%d\",\"region\":\"uusimaa\","
          + "\"failureDomain\":\"uusimaa-a\",\"kind\":\"engine\",\"labels\":{},"
          + "\"models\":[\"writer\"],\"capacity\":4}";
  private static final Map<String, String> CALLER = Map.of("X-Organisation", "puhdas-seina");
  private static final int MAX_BODY_BYTES = 4_096;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger runs = new AtomicInteger();
  private final HttpClient http = HttpClient.newHttpClient();
  private HttpServer engine;
  private Daemon control;
  private Daemon entry;

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    engine =
        vertx
            .createHttpServer()
            .requestHandler(
                r -> {
                  runs.incrementAndGet();
                  r.response().end("{\"ok\":true}");
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
    control = Daemon.start(settings(Role.CONTROL, List.of(), Optional.of(dir.resolve("data"))));
    entry =
        Daemon.start(
            settings(Role.ENTRY, List.of("127.0.0.1:" + control.peerPort()), Optional.empty()));
    await(() -> send(control, "PUT", "/v1/config", change("setup", "0"), "{}").code().isEmpty());
    await(() -> version(entry) == 1);
    Reply announced = send(entry, "POST", "/v1/endpoints/announce", Map.of(), announcement());
    assertThat(announced.status(), is(200));
  }

  @AfterAll
  void stop() throws Exception {
    entry.close();
    control.close();
    engine.close();
    vertx.close();
  }

  private static Settings settings(Role role, List<String> peers, Optional<Path> dataDir) {
    return new Settings(
            role,
            role.spelling() + "-1",
            "uusimaa",
            "uusimaa-a",
            "127.0.0.1",
            0,
            0,
            peers,
            dataDir,
            List.of(),
            true,
            false,
            "0123456789abcdef".getBytes(StandardCharsets.UTF_8),
            "least-in-flight",
            MAX_BODY_BYTES,
            Duration.ofSeconds(60),
            Duration.ofMillis(100),
            Duration.ofSeconds(5),
            Optional.empty())
        .check();
  }

  private String announcement() {
    return String.format(ANNOUNCEMENT, engine.actualPort());
  }

  private static Map<String, String> change(String id, String expectedVersion) {
    return Map.of("X-Change-Id", id, "X-Expected-Version", expectedVersion);
  }

  static Stream<Arguments> badRequests() {
    Map<String, String> unknownRegion =
        Map.of("X-Organisation", "puhdas-seina", "X-Residency", "atlantis");
    Map<String, String> noKey = Map.of("X-Organisation", "puhdas-seina", "X-Idempotent", "false");
    String chat = "/v1/chat/completions";
    return Stream.of(
        row("malformed JSON", chat, CALLER, "{", 400, "malformed_request"),
        row("body is no object", chat, CALLER, "[]", 400, "malformed_request"),
        row("empty body", chat, CALLER, "", 400, "malformed_request"),
        row("no model", chat, CALLER, "{\"messages\":[1]}", 400, "malformed_request"),
        row("no messages", chat, CALLER, "{\"model\":\"writer\"}", 400, "malformed_request"),
        row("no organisation", chat, Map.of(), CHAT, 400, "malformed_request"),
        row("unknown model", chat, CALLER, CHAT.replace("writer", "poet"), 404, "unknown_model"),
        row("unknown region", chat, unknownRegion, CHAT, 400, "unknown_region"),
        row("non-idempotent without key", chat, noKey, CHAT, 400, "malformed_request"),
        row("oversized body", chat, CALLER, "x".repeat(8_192), 413, "payload_too_large"),
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
    final int runsBefore = runs.get();
    Reply reply = send(entry, "POST", path, headers, body);
    assertThat(reply.status(), is(status));
    assertThat(reply.code(), is(code));
    assertThat(reply.remedy(), is(not("")));
    assertThat(runs.get(), is(runsBefore));
    assertThat(send(entry, "POST", "/v1/chat/completions", CALLER, CHAT).status(), is(200));
  }

  static Stream<Arguments> badAnnouncements() {
    String good = String.format(ANNOUNCEMENT, 1);
    return Stream.of(
        Arguments.of("malformed JSON", "{"),
        Arguments.of("no object", "[]"),
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
    Reply reply = send(entry, "POST", "/v1/endpoints/announce", Map.of(), body);
    assertThat(reply.status(), is(400));
    assertThat(reply.code(), is("malformed_request"));
    assertThat(send(entry, "GET", "/v1/endpoints", Map.of(), "").body().size(), is(1));
  }

  static Stream<Arguments> badChanges() {
    return Stream.of(
        Arguments.of("no change id", Map.of("X-Expected-Version", "1"), "{}", 400),
        Arguments.of("no expected version", Map.of("X-Change-Id", "a"), "{}", 400),
        Arguments.of("expected version no number", change("a", "one"), "{}", 400),
        Arguments.of("older expected version", change("b", "0"), "{}", 409),
        Arguments.of("newer expected version", change("c", "7"), "{}", 409),
        Arguments.of("unknown key", change("d", "1"), "selektors: []", 422),
        Arguments.of("no YAML", change("e", "1"), "a: [", 422));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("badChanges")
  void refusesBadChangesAndKeepsTheVersion(
      String name, Map<String, String> headers, String document, int status) throws Exception {
    Reply reply = send(control, "PUT", "/v1/config", headers, document);
    assertThat(reply.status(), is(status));
    assertThat(reply.remedy(), is(not("")));
    assertThat(version(control), is(1L));
  }

  private record Reply(int status, JsonNode body, HttpResponse<String> response) {
    String code() {
      return body.path("error").path("code").asText();
    }

    String remedy() {
      return body.path("error").path("remedy").asText();
    }
  }

  private Reply send(
      Daemon daemon, String method, String path, Map<String, String> headers, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.httpPort() + path))
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    HttpResponse<String> response =
        http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    boolean json = response.body().startsWith("{") || response.body().startsWith("[");
    JsonNode parsed = json ? JSON.readTree(response.body()) : JSON.nullNode();
    return new Reply(response.statusCode(), parsed, response);
  }

  private long version(Daemon daemon) throws Exception {
    return send(daemon, "GET", "/v1/config", Map.of(), "")
        .response()
        .headers()
        .firstValueAsLong("X-Config-Version")
        .orElse(-1);
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(Condition condition) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.holds()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the condition did not hold within 20 s");
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }
}
