package org.lacewingcroft.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the request path through the demo deployment, which is started once as real processes on
 * free loopback ports and must shut down cleanly after the tests.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DeploymentEndToEndTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int ORDER_COUNT = 150;
  private LocalDeployment deployment;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  @BeforeAll
  void start(@TempDir Path workDir) throws Exception {
    deployment = LocalDeployment.start(DemoDeployment.topology(), workDir);
  }

  @AfterAll
  void stop() throws Exception {
    assertThat("processes that did not stop cleanly", deployment.stop(), is(empty()));
  }

  @Test
  void servesTheWholeTraceThroughSeparateProcesses() throws Exception {
    List<TraceRequest> trace = DemoDeployment.trace();
    ReplayResult result;
    try (TraceReplayer replayer = new TraceReplayer()) {
      Map<String, String> entries = deployment.entryUrls();
      result = replayer.replay(trace, r -> entries.get(r.region() + "-entry-1"));
    }
    assertThat(result.report("e2e"), result.outcome("served"), is(trace.size()));
    assertThat(result.corrupted, is(0));
    assertThat(result.outsideResidency, is(0));
  }

  /**
   * Sends every non-idempotent order concurrently to both entries of the region, and again
   * afterwards. According to the run counters of the service each key must run at most once, and
   * all responses for a key must contain the same order.
   */
  @Test
  void runsEachNonIdempotentOrderAtMostOnce() throws Exception {
    String first = deployment.entryUrls().get("uusimaa-entry-1");
    String second = deployment.entryUrls().get("uusimaa-entry-2");
    Map<String, List<CompletableFuture<HttpResponse<String>>>> responses = new HashMap<>();
    for (int i = 0; i < ORDER_COUNT; i++) {
      String key = "order-" + i;
      responses.put(key, new ArrayList<>(List.of(sendOrder(first, key), sendOrder(second, key))));
    }
    for (Map.Entry<String, List<CompletableFuture<HttpResponse<String>>>> e :
        responses.entrySet()) {
      for (CompletableFuture<HttpResponse<String>> f : e.getValue()) {
        f.get(30, TimeUnit.SECONDS);
      }
      e.getValue().add(sendOrder(first, e.getKey()));
    }
    Map<String, List<String>> orderNumbers = new HashMap<>();
    for (Map.Entry<String, List<CompletableFuture<HttpResponse<String>>>> e :
        responses.entrySet()) {
      for (CompletableFuture<HttpResponse<String>> f : e.getValue()) {
        HttpResponse<String> r = f.get(30, TimeUnit.SECONDS);
        if (r.statusCode() == 200) {
          orderNumbers
              .computeIfAbsent(e.getKey(), k -> new ArrayList<>())
              .add(JSON.readTree(r.body()).path("order").asText());
        }
      }
    }
    List<String> deskRunners =
        deployment.standinUrlsByGroup().entrySet().stream()
            .filter(group -> group.getKey().startsWith("desk-"))
            .flatMap(group -> group.getValue().stream())
            .toList();
    Map<String, Integer> runs = runsByKey(deskRunners);
    assertThat(runs.values(), everyItem(lessThanOrEqualTo(1)));
    assertThat(runs.size(), is(ORDER_COUNT));
    for (List<String> numbers : orderNumbers.values()) {
      assertThat(numbers.stream().distinct().count(), is(1L));
    }
  }

  private CompletableFuture<HttpResponse<String>> sendOrder(String entry, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(entry + "/v1/services/desk/v1/orders"))
            .timeout(Duration.ofSeconds(20))
            .header("Content-Type", "application/json")
            .header("X-Organisation", "puhdas-seina")
            .header("X-Idempotent", "false")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"wall\":\"A\"}"))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private Map<String, Integer> runsByKey(List<String> runners) throws Exception {
    Map<String, Integer> runs = new HashMap<>();
    for (String runner : runners) {
      HttpResponse<String> r =
          http.send(
              HttpRequest.newBuilder(URI.create(runner + "/v1/runs")).build(),
              HttpResponse.BodyHandlers.ofString());
      JsonNode byKey = JSON.readTree(r.body()).path("byKey");
      byKey
          .fields()
          .forEachRemaining(f -> runs.merge(f.getKey(), f.getValue().asInt(), Integer::sum));
    }
    return runs;
  }
}
