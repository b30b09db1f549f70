package org.lacewingcroft.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A control daemon and entry daemons that run in the test process on free ports. */
final class TestCluster implements AutoCloseable {
  static final int MAX_BODY_BYTES = 4_096;
  static final int MAX_IN_FLIGHT = 8;
  static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<Daemon> daemons = new ArrayList<>();
  private final int maxBodyBytes;
  private final Daemon control;

  /** A response of a daemon; a body that is not JSON is represented by a JSON null. */
  record Reply(int status, JsonNode body, HttpResponse<String> response) {
    String code() {
      return body.path("error").path("code").asText();
    }

    String remedy() {
      return body.path("error").path("remedy").asText();
    }

    Optional<String> header(String name) {
      return response.headers().firstValue(name);
    }
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  TestCluster(Path dir, String document) throws Exception {
    this(dir, document, MAX_BODY_BYTES);
  }

  /** Starts a control daemon whose entries accept request bodies up to a size. */
  TestCluster(Path dir, String document, int maxBodyBytes) throws Exception {
    this.maxBodyBytes = maxBodyBytes;
    control = start(settings(Role.CONTROL, "control-1", "uusimaa", Duration.ZERO, dir));
    await(() -> send(control, "PUT", "/v1/config", change("setup", "0"), document).status() == 200);
  }

  Daemon control() {
    return control;
  }

  /** Starts an entry and waits until it is ready and lists all entries. */
  Daemon startEntry(String nodeId, String region, Duration hedgeAfter) throws Exception {
    Daemon entry = start(settings(Role.ENTRY, nodeId, region, hedgeAfter, null));
    await(() -> send(entry, "GET", "/readyz", Map.of(), "").status() == 200);
    await(() -> entriesListedBy(entry) == daemons.size() - 1);
    return entry;
  }

  private int entriesListedBy(Daemon daemon) throws Exception {
    return send(daemon, "GET", "/v1/entries", Map.of(), "").body().path("entries").size();
  }

  private Daemon start(Settings settings) throws Exception {
    Daemon daemon = Daemon.start(settings);
    daemons.add(daemon);
    return daemon;
  }

  private Settings settings(
      Role role, String nodeId, String region, Duration hedgeAfter, Path dataDir) {
    List<String> peers =
        role == Role.ENTRY ? List.of("127.0.0.1:" + control.peerPort()) : List.of();
    return new Settings(
            role,
            nodeId,
            region,
            region + "-a",
            "127.0.0.1",
            0,
            0,
            peers,
            Optional.ofNullable(dataDir),
            List.of(),
            true,
            true,
            SECRET,
            "least-in-flight",
            maxBodyBytes,
            MAX_IN_FLIGHT,
            hedgeAfter,
            Duration.ofSeconds(60),
            Duration.ofMillis(200),
            Duration.ofSeconds(5),
            Optional.empty())
        .check();
  }

  static Map<String, String> change(String id, String expectedVersion) {
    return Map.of("X-Change-Id", id, "X-Expected-Version", expectedVersion);
  }

  /** Announces an engine endpoint to an entry. */
  Reply announce(Daemon entry, String id, String region, String model, int port, boolean draining)
      throws Exception {
    String body =
        String.format(
            "{\"id\":\"%s\",\"url\":\"http://127.0.0.1:%d\",\"region\":\"%s\","
                + "\"failureDomain\":\"%s-a\",\"kind\":\"engine\",\"labels\":{},"
                + "\"models\":[\"%s\"],\"capacity\":4,\"draining\":%b,\"sequence\":%d}",
            id, port, region, region, model, draining, draining ? 2 : 1);
    return send(entry, "POST", "/v1/endpoints/announce", Map.of(), body);
  }

  Reply send(Daemon daemon, String method, String path, Map<String, String> headers, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.httpPort() + path))
            .timeout(Duration.ofSeconds(20))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    HttpResponse<String> response =
        http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    boolean json = response.body().startsWith("{") || response.body().startsWith("[");
    JsonNode parsed = json ? JSON.readTree(response.body()) : JSON.nullNode();
    return new Reply(response.statusCode(), parsed, response);
  }

  long version(Daemon daemon) throws Exception {
    return send(daemon, "GET", "/v1/config", Map.of(), "")
        .response()
        .headers()
        .firstValueAsLong("X-Config-Version")
        .orElse(-1);
  }

  static void await(Condition condition) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.holds()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the condition did not hold within 20 s");
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Override
  public void close() throws Exception {
    for (int i = daemons.size() - 1; i >= 0; i--) {
      daemons.get(i).close();
    }
  }
}
