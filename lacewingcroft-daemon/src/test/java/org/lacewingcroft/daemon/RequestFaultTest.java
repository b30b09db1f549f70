package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks what callers receive when endpoints fail: every request gets a complete response or an
 * error that correctly says whether it may have run, and a request that may run only once is not
 * sent again. Each test uses a separate model with endpoints a and b, of which a is tried first.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RequestFaultTest {
  private static final String REGION = "uusimaa";
  private static final int SHORT_DEADLINE_REQUESTS = 600;
  private final Vertx vertx = Vertx.vertx();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private TestCluster cluster;
  private Daemon entry;
  private int modelCount;

  /** How the caller marks its request. */
  private enum RequestType {
    IDEMPOTENT,
    KEYED
  }

  @BeforeAll
  void start(@TempDir Path dir) throws Exception {
    cluster =
        new TestCluster(
            dir.resolve("data"), "organisations: [{name: limited, requestsPerSecond: 1}]");
    entry = cluster.startEntry("entry-1", REGION, Duration.ofMillis(300));
  }

  @AfterEach
  void closeEndpoints() {
    endpoints.forEach(FakeEndpoint::release);
    endpoints.forEach(FakeEndpoint::close);
    endpoints.clear();
  }

  @AfterAll
  void stop() throws Exception {
    cluster.close();
    vertx.close();
  }

  static Stream<Arguments> faults() {
    FakeEndpoint.Behaviour responds = FakeEndpoint.Behaviour.RESPONDS;
    FakeEndpoint.Behaviour closes = FakeEndpoint.Behaviour.CLOSES_CONNECTION;
    FakeEndpoint.Behaviour rejects = FakeEndpoint.Behaviour.REJECTS;
    FakeEndpoint.Behaviour otherId = FakeEndpoint.Behaviour.RESPONDS_WITH_OTHER_ID;
    FakeEndpoint.Behaviour hangs = FakeEndpoint.Behaviour.HANGS;
    return Stream.of(
        row(
            "connection closed, the other responds",
            RequestType.IDEMPOTENT,
            closes,
            responds,
            200,
            "",
            2),
        row("rejects, the other responds", RequestType.IDEMPOTENT, rejects, responds, 200, "", 2),
        row("response of another request", RequestType.IDEMPOTENT, otherId, responds, 200, "", 2),
        row("hangs, the hedge responds", RequestType.IDEMPOTENT, hangs, responds, 200, "", 2),
        row(
            "both connections closed",
            RequestType.IDEMPOTENT,
            closes,
            closes,
            502,
            "outcome_unknown",
            2),
        row("both reject", RequestType.IDEMPOTENT, rejects, rejects, 503, "", 2),
        row(
            "connection closed, may run once",
            RequestType.KEYED,
            closes,
            responds,
            502,
            "outcome_unknown",
            1),
        row("rejects, may run once", RequestType.KEYED, rejects, responds, 503, "", 1),
        row(
            "response of another, may run once",
            RequestType.KEYED,
            otherId,
            responds,
            502,
            "outcome_unknown",
            1));
  }

  private static Arguments row(
      String name,
      RequestType type,
      FakeEndpoint.Behaviour a,
      FakeEndpoint.Behaviour b,
      int status,
      String code,
      int runs) {
    return Arguments.of(name, type, a, b, status, code, runs);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void respondsCompletelyOrReportsOutcome(
      String name,
      RequestType type,
      FakeEndpoint.Behaviour a,
      FakeEndpoint.Behaviour b,
      int status,
      String code,
      int runs)
      throws Exception {
    String model = announceModel(a, b);
    Optional<String> key =
        type == RequestType.KEYED ? Optional.of("key-" + model) : Optional.empty();
    TestCluster.Reply reply = chat(model, key, Map.of("X-Request-Id", "id-" + model));
    assertThat(reply.response().body(), reply.status(), is(status));
    assertThat(reply.code(), is(code));
    if (status == 200) {
      assertThat(reply.response().body(), is("answer to id-" + model));
    }
    assertThat(totalRuns(), is(runs));
    if (key.isPresent()) {
      assertThat(chat(model, key, Map.of()).status(), is(status));
      assertThat("runs after a resend", totalRuns(), is(runs));
    }
  }

  @Test
  void reportsNotRunOnlyIfNoEndpointReceivedTheRequest() throws Exception {
    FakeEndpoint unreachable = endpoint(FakeEndpoint.Behaviour.RESPONDS);
    String model = "model-" + modelCount++;
    cluster.announce(entry, model + "-a", REGION, model, unreachable.port(), false);
    unreachable.close();
    TestCluster.await(() -> chat(model, Optional.of("k"), Map.of()).status() == 503);
    TestCluster.Reply reply = chat(model, Optional.of("k"), Map.of());
    assertThat(reply.code(), is("not_run"));
    assertThat(reply.header("X-Lacewingcroft-Run"), is(Optional.of("no")));
    assertThat(reply.header("Retry-After"), is(Optional.of("1")));
    FakeEndpoint replacement = endpoint(FakeEndpoint.Behaviour.RESPONDS);
    cluster.announce(entry, model + "-b", REGION, model, replacement.port(), false);
    assertThat("the key was released", chat(model, Optional.of("k"), Map.of()).status(), is(200));
  }

  @Test
  void endsBrokenStreamWithAnErrorEvent() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.CLOSES_CONNECTION_IN_STREAM);
    final int abortedBefore = abortedByEndpoints();
    String body = chat(model, Optional.empty(), Map.of()).response().body();
    assertThat(abortedByEndpoints(), is(abortedBefore + 1));
    assertThat(body, containsString("data: one\n\nevent: error\n"));
    assertThat(body, containsString("outcome_unknown"));
    assertThat(body, not(containsString("[DONE]")));
  }

  /** Guards against a hedge for a response that is arriving, whose head would mix with its own. */
  @Test
  void sendsNoHedgeOnceTheResponseHasBegun() throws Exception {
    String model =
        announceModel(FakeEndpoint.Behaviour.PAUSES_IN_EVENT, FakeEndpoint.Behaviour.RESPONDS);
    TestCluster.Reply reply = chat(model, Optional.empty(), Map.of());
    assertThat(reply.response().body(), is("data: one\n\n"));
    assertThat(totalRuns(), is(1));
  }

  @Test
  void closesConnectionOfIncompleteBody() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.CLOSES_CONNECTION_IN_BODY);
    final int abortedBefore = abortedByEndpoints();
    assertThrows(IOException.class, () -> chat(model, Optional.empty(), Map.of()));
    assertThat(abortedByEndpoints(), is(abortedBefore + 1));
  }

  /** Returns the number of responses that ended early because of their endpoint. */
  private int abortedByEndpoints() throws Exception {
    String metrics = cluster.send(entry, "GET", "/metrics", Map.of(), "").response().body();
    String name = "lwc_aborted_responses_total{cause=\"endpoint_failed\"} ";
    return metrics
        .lines()
        .filter(line -> line.startsWith(name))
        .mapToInt(line -> (int) Double.parseDouble(line.substring(name.length())))
        .sum();
  }

  @Test
  void failsAtTheDeadlineWithRetryAfter() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.HANGS);
    long startNanos = System.nanoTime();
    TestCluster.Reply reply = chat(model, Optional.of("late"), Map.of("X-Deadline-Millis", "400"));
    final long millis = (System.nanoTime() - startNanos) / 1_000_000;
    assertThat(reply.code(), is("outcome_unknown"));
    assertThat(reply.header("Retry-After"), is(Optional.of("1")));
    assertThat(millis, is(lessThan(15_000L)));
    assertThat(chat(model, Optional.of("late"), Map.of()).code(), is("outcome_unknown"));
    assertThat(totalRuns(), is(1));
  }

  /** Uses deadlines so short that many expire between the claim of the key and the send. */
  @Test
  void neverRunsRequestsRefusedAtTheDeadline() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.RESPONDS);
    Set<String> refused = new HashSet<>();
    for (int i = 0; i < SHORT_DEADLINE_REQUESTS; i++) {
      String key = "short-" + i;
      String deadlineMillis = Integer.toString(1 + i % 2);
      TestCluster.Reply reply =
          chat(model, Optional.of(key), Map.of("X-Deadline-Millis", deadlineMillis));
      if (reply.code().equals("not_run")) {
        refused.add(key);
      }
    }
    assertThat(chat(model, Optional.of("last"), Map.of()).status(), is(200));
    refused.retainAll(endpoints.get(0).receivedKeys());
    assertThat("refused as not run, but run", refused, is(empty()));
  }

  @Test
  void refusesRequestsAboveMaxInFlight() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.HANGS);
    List<CompletableFuture<Integer>> responses = new ArrayList<>();
    for (int i = 0; i < TestCluster.MAX_IN_FLIGHT; i++) {
      responses.add(CompletableFuture.supplyAsync(() -> statusOf(model)));
    }
    TestCluster.await(() -> totalRuns() == TestCluster.MAX_IN_FLIGHT);
    TestCluster.Reply refused = chat(model, Optional.empty(), Map.of());
    assertThat(refused.code(), is("not_run"));
    endpoints.forEach(FakeEndpoint::release);
    for (CompletableFuture<Integer> status : responses) {
      assertThat(status.get(), is(200));
    }
    assertThat(totalRuns(), is(TestCluster.MAX_IN_FLIGHT));
  }

  private int statusOf(String model) {
    try {
      return chat(model, Optional.of("key-" + System.nanoTime()), Map.of()).status();
    } catch (Exception e) {
      return -1;
    }
  }

  @Test
  void limitsAnOrganisationWithRetryAfter() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.RESPONDS);
    Map<String, String> limited = Map.of("X-Organisation", "limited");
    int served = 0;
    TestCluster.Reply refused = chat(model, Optional.empty(), limited);
    while (refused.status() == 200) {
      served++;
      refused = chat(model, Optional.empty(), limited);
    }
    assertThat(served, is(greaterThan(0)));
    assertThat(refused.status(), is(429));
    assertThat(refused.code(), is("rate_limited"));
    assertThat(refused.header("Retry-After"), is(Optional.of("1")));
    assertThat(chat(model, Optional.empty(), Map.of()).status(), is(200));
  }

  @Test
  void refusesHopHeadersWithoutAuthenticationTag() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.RESPONDS);
    for (String header : List.of("X-Lacewingcroft-Forwarded", "X-Lacewingcroft-Owner-Hop")) {
      TestCluster.Reply reply = chat(model, Optional.of("k"), Map.of(header, "pirkanmaa"));
      assertThat(reply.code(), is("unauthenticated"));
      assertThat(totalRuns(), is(0));
    }
  }

  @Test
  void sendsNoNewRequestsToDrainingEndpoint() throws Exception {
    String model = announceModel(FakeEndpoint.Behaviour.RESPONDS);
    assertThat(chat(model, Optional.empty(), Map.of()).status(), is(200));
    cluster.announce(entry, model + "-a", REGION, model, endpoints.get(0).port(), true);
    assertThat(chat(model, Optional.empty(), Map.of()).code(), is("not_run"));
    cluster.announce(entry, model + "-a", REGION, model, endpoints.get(0).port(), false);
    assertThat(
        "announcement with an older sequence",
        chat(model, Optional.empty(), Map.of()).status(),
        is(503));
    assertThat(totalRuns(), is(1));
  }

  /** Announces endpoints a, b and so on for a new model, and returns the model. */
  private String announceModel(FakeEndpoint.Behaviour... behaviours) throws Exception {
    String model = "model-" + modelCount++;
    for (int i = 0; i < behaviours.length; i++) {
      FakeEndpoint endpoint = endpoint(behaviours[i]);
      String id = model + "-" + (char) ('a' + i);
      cluster.announce(entry, id, REGION, model, endpoint.port(), false);
    }
    return model;
  }

  private FakeEndpoint endpoint(FakeEndpoint.Behaviour behaviour) throws Exception {
    FakeEndpoint endpoint = new FakeEndpoint(vertx, behaviour);
    endpoints.add(endpoint);
    return endpoint;
  }

  private int totalRuns() {
    return endpoints.stream().mapToInt(FakeEndpoint::runs).sum();
  }

  private TestCluster.Reply chat(String model, Optional<String> key, Map<String, String> more)
      throws Exception {
    Map<String, String> headers = new HashMap<>(Map.of("X-Organisation", "puhdas-seina"));
    key.ifPresent(k -> headers.put("Idempotency-Key", k));
    headers.putAll(more);
    String body =
        "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
    return cluster.send(entry, "POST", "/v1/chat/completions", headers, body);
  }
}
