package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingcroft.daemon.FakeEndpoint.Behaviour;

/**
 * Guards against request content that crashes endpoints being sent to endpoint after endpoint:
 * callers resend the same content, and each endpoint that runs it crashes. An entry tries up to
 * four endpoints for one idempotent request, so that without a quarantine eleven calls at two
 * entries reached ten endpoints 44 times.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CrashingContentTest {
  private static final String REGION = "uusimaa";
  private static final String POISON = "poison";
  private static final int ENDPOINTS = 10;
  private static final int CALLS = 12;

  /** Endpoints that may crash, plus sends that may still reach an endpoint after that. */
  private static final int MAX_POISON_RUNS = 3 + 3;

  private final Vertx vertx = Vertx.vertx();
  private final List<Daemon> entries = new ArrayList<>();
  private TestCluster cluster;

  /** How the caller marks its requests. */
  private enum RequestType {
    IDEMPOTENT,
    KEYED
  }

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster = new TestCluster(dir.resolve("data"), "organisations: [{name: desk}]");
    entries.add(cluster.startEntry("entry-1", REGION, Duration.ZERO));
    entries.add(cluster.startEntry("entry-2", REGION, Duration.ZERO));
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    vertx.close();
  }

  @ParameterizedTest
  @EnumSource(RequestType.class)
  void contentThatCrashesEndpointsIsQuarantined(RequestType type) throws Exception {
    String model = "model-" + type;
    List<FakeEndpoint> endpoints = announceAll(model, Behaviour.CRASHES_ON_POISON);
    TestCluster.await(() -> chat(entries.get(1), model, "innocent", type, 0).status() == 200);
    TestCluster.Reply last = chat(entries.get(0), model, POISON, type, 1);
    for (int call = 2; call < CALLS; call++) {
      last = chat(entries.get(call % entries.size()), model, POISON, type, call);
    }
    int poisonRuns = endpoints.stream().mapToInt(FakeEndpoint::poisonRuns).sum();
    assertThat(poisonRuns, greaterThanOrEqualTo(3));
    assertThat(poisonRuns, lessThanOrEqualTo(MAX_POISON_RUNS));
    assertThat(last.code(), is("content_quarantined"));
    assertThat(last.header("Retry-After").isPresent(), is(true));
    for (Daemon entry : entries) {
      TestCluster.await(() -> chat(entry, model, "innocent", type, CALLS).status() == 200);
    }
    endpoints.forEach(FakeEndpoint::close);
  }

  @Test
  void operatorListsAndLiftsQuarantinedContents() throws Exception {
    String model = "lifted";
    final List<FakeEndpoint> endpoints = announceAll(model, Behaviour.CRASHES_ON_POISON);
    Daemon entry = entries.get(1);
    Set<String> before = quarantined(entry);
    TestCluster.await(
        () -> {
          chat(entry, model, POISON, RequestType.KEYED, 0);
          return quarantined(entry).size() > before.size();
        });
    Set<String> added = quarantined(entry);
    added.removeAll(before);
    final String fingerprint = added.iterator().next();
    TestCluster.Reply unknown = lift(entry, "0123456789abcdef");
    assertThat(unknown.status(), is(404));
    assertThat(unknown.code(), is("not_quarantined"));
    assertThat(lift(entry, "no fingerprint").code(), is("not_quarantined"));
    assertThat(lift(entry, fingerprint).status(), is(200));
    for (Daemon other : entries) {
      TestCluster.await(() -> !quarantined(other).contains(fingerprint));
    }
    endpoints.forEach(FakeEndpoint::close);
  }

  /** The same for a message that requests have in common of which no two are alike. */
  @ParameterizedTest
  @EnumSource(RequestType.class)
  void messageThatCrashesEndpointsIsQuarantined(RequestType type) throws Exception {
    String model = "messages-" + type;
    List<FakeEndpoint> endpoints = announceAll(model, Behaviour.CRASHES_ON_POISON);
    List<String> sound = List.of("shared " + type, "sound " + type);
    List<String> crashing = List.of("shared " + type, POISON + " " + type);
    TestCluster.await(() -> chat(entries.get(1), model, sound, type).status() == 200);
    TestCluster.Reply last = chat(entries.get(0), model, crashing, type);
    for (int call = 1; call < CALLS; call++) {
      last = chat(entries.get(call % entries.size()), model, crashing, type);
      // The other messages of these requests are served all the while.
      chat(entries.get(call % entries.size()), model, sound, type);
    }
    int poisonRuns = endpoints.stream().mapToInt(FakeEndpoint::poisonRuns).sum();
    assertThat(poisonRuns, greaterThanOrEqualTo(3));
    assertThat(poisonRuns, lessThanOrEqualTo(MAX_POISON_RUNS));
    assertThat(last.code(), is("content_quarantined"));
    for (Daemon entry : entries) {
      TestCluster.await(() -> chat(entry, model, sound, type).status() == 200);
    }
    endpoints.forEach(FakeEndpoint::close);
  }

  private List<FakeEndpoint> announceAll(String model, Behaviour behaviour) throws Exception {
    List<FakeEndpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      FakeEndpoint endpoint = new FakeEndpoint(vertx, behaviour);
      endpoints.add(endpoint);
      cluster.announce(entries.get(0), model + "-" + i, REGION, model, endpoint.port(), false);
    }
    return endpoints;
  }

  private Set<String> quarantined(Daemon entry) throws Exception {
    Set<String> fingerprints = new HashSet<>();
    for (JsonNode content : cluster.send(entry, "GET", "/v1/quarantine", Map.of(), "").body()) {
      fingerprints.add(content.path("fingerprint").asText());
    }
    return fingerprints;
  }

  private TestCluster.Reply lift(Daemon entry, String fingerprint) throws Exception {
    String path = "/v1/quarantine/" + fingerprint.replace(" ", "%20");
    return cluster.send(entry, "DELETE", path, Map.of(), "");
  }

  /** Closed connections alone do not count as crashes of the endpoint, however often they occur. */
  @ParameterizedTest
  @EnumSource(RequestType.class)
  void closedConnectionsDoNotQuarantineContent(RequestType type) throws Exception {
    String model = "open-" + type;
    List<FakeEndpoint> endpoints = announceAll(model, Behaviour.CLOSES_CONNECTION_ON_POISON);
    TestCluster.await(() -> chat(entries.get(1), model, "innocent", type, 0).status() == 200);
    for (int call = 1; call < CALLS; call++) {
      chat(entries.get(call % entries.size()), model, POISON, type, call);
    }
    endpoints.forEach(FakeEndpoint::release);
    for (Daemon entry : entries) {
      TestCluster.await(() -> chat(entry, model, POISON, type, CALLS).status() == 200);
    }
    endpoints.forEach(FakeEndpoint::close);
  }

  private TestCluster.Reply chat(
      Daemon entry, String model, String text, RequestType type, int call) throws Exception {
    return send(entry, model, List.of(text), type, text + call);
  }

  /** Sends a request with the given messages and a last one that no other request has. */
  private TestCluster.Reply chat(
      Daemon entry, String model, List<String> sharedMessages, RequestType type) throws Exception {
    List<String> messages = new ArrayList<>(sharedMessages);
    messages.add("own " + System.nanoTime());
    return send(entry, model, messages, type, String.join(" ", messages));
  }

  private TestCluster.Reply send(
      Daemon entry, String model, List<String> messages, RequestType type, String key)
      throws Exception {
    Map<String, String> headers = new HashMap<>(Map.of("X-Organisation", "desk"));
    if (type == RequestType.KEYED) {
      headers.put("Idempotency-Key", model + key + System.nanoTime());
      headers.put("X-Idempotent", "false");
    }
    String body =
        messages.stream()
            .map(text -> "{\"role\":\"user\",\"content\":\"" + text + "\"}")
            .collect(Collectors.joining(",", "{\"model\":\"" + model + "\",\"messages\":[", "]}"));
    return cluster.send(entry, "POST", "/v1/chat/completions", headers, body);
  }
}
