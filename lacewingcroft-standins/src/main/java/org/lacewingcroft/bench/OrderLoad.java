package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates callers that send non-idempotent orders to the entries of one region. Each order is
 * sent twice concurrently and resent after every refusal or lost response, until a response is
 * final. Afterwards the run counters of the stand-in service are compared with the responses.
 */
public final class OrderLoad {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CALLERS = 8;
  private static final int MAX_SENDS = 40;
  private static final long RETRY_MILLIS = 150;
  private static final long SETTLE_MILLIS = 1_000;

  private final LocalDeployment deployment;
  private final List<String> entries;
  private final List<String> runners;
  private final String keyPrefix;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicInteger nextOrder = new AtomicInteger();
  private final Map<String, Set<String>> ordersByKey = new ConcurrentHashMap<>();
  private final Map<String, String> outcomeByKey = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> responsesByOutcome = new ConcurrentHashMap<>();
  private final ExecutorService callers = Executors.newFixedThreadPool(2 * CALLERS);
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private Map<String, Integer> runs = Map.of();

  /** Whether a response is final, or the caller must resend the order. */
  private enum Finality {
    FINAL,
    ASK_AGAIN
  }

  /**
   * Creates a load that is not started.
   *
   * @param deployment the deployment that receives the orders
   * @param entries the node ids of the entries that the orders are sent to
   * @param runners the base URLs of the runners of the stand-in service
   * @param keyPrefix the prefix of the idempotency keys of this load
   */
  public OrderLoad(
      LocalDeployment deployment, List<String> entries, List<String> runners, String keyPrefix) {
    this.deployment = deployment;
    this.entries = List.copyOf(entries);
    this.runners = List.copyOf(runners);
    this.keyPrefix = keyPrefix;
  }

  /** Starts the callers, which send orders until {@link #finish} is called. */
  public CompletableFuture<Void> start() {
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      all.add(CompletableFuture.runAsync(this::sendUntilStopped, callers));
    }
    return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
  }

  /** Stops the load, waits for the final response to every order and reads the run counters. */
  public void finish(CompletableFuture<Void> started) throws Exception {
    sleep(SETTLE_MILLIS);
    stopping.set(true);
    started.get(120, TimeUnit.SECONDS);
    callers.shutdown();
    runs = readRuns();
  }

  private void sendUntilStopped() {
    while (!stopping.get()) {
      int orderNumber = nextOrder.getAndIncrement();
      String key = keyPrefix + "-" + orderNumber;
      CompletableFuture<Void> duplicate =
          CompletableFuture.runAsync(() -> sendUntilFinal(key, orderNumber + 1), callers);
      sendUntilFinal(key, orderNumber);
      duplicate.join();
    }
  }

  private void sendUntilFinal(String key, int firstEntry) {
    for (int sends = 0; sends < MAX_SENDS; sends++) {
      String entry = deployment.urlOf(entries.get((firstEntry + sends) % entries.size()));
      if (sendOnce(entry, key) == Finality.FINAL) {
        return;
      }
      sleep(RETRY_MILLIS);
    }
  }

  private Finality sendOnce(String entry, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(entry + "/v1/services/desk/v1/orders"))
            .timeout(Duration.ofSeconds(8))
            .header("X-Organisation", "puhdas-seina")
            .header("X-Idempotent", "false")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"wall\":\"A\"}"))
            .build();
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode body = JSON.readTree(response.body());
      if (response.statusCode() == 200) {
        String order = body.path("runner").asText() + "/" + body.path("order").asText();
        ordersByKey.computeIfAbsent(key, k -> ConcurrentHashMap.newKeySet()).add(order);
        recordOutcome(key, "served");
        return Finality.FINAL;
      }
      String code = body.path("error").path("code").asText("http_" + response.statusCode());
      recordOutcome(key, code);
      return code.equals("outcome_unknown") ? Finality.FINAL : Finality.ASK_AGAIN;
    } catch (IOException e) {
      recordOutcome(key, "no_answer");
      return Finality.ASK_AGAIN;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Finality.FINAL;
    }
  }

  private void recordOutcome(String key, String outcome) {
    responsesByOutcome.computeIfAbsent(outcome, w -> new AtomicInteger()).incrementAndGet();
    outcomeByKey.merge(
        key,
        outcome,
        (current, next) -> current.equals("served") ? current : lessCertain(current, next));
  }

  /** Returns the outcome that leaves it open whether the order ran, if either of them does. */
  private static String lessCertain(String current, String next) {
    return isNotRun(current) ? next : current;
  }

  private static boolean isNotRun(String outcome) {
    return outcome.equals("not_run") || outcome.equals("shutting_down");
  }

  private Map<String, Integer> readRuns() throws IOException, InterruptedException {
    Map<String, Integer> all = new HashMap<>();
    for (String runner : runners) {
      HttpResponse<String> response =
          http.send(
              HttpRequest.newBuilder(URI.create(runner + "/v1/runs")).build(),
              HttpResponse.BodyHandlers.ofString());
      JSON.readTree(response.body())
          .path("byKey")
          .fields()
          .forEachRemaining(f -> all.merge(f.getKey(), f.getValue().asInt(), Integer::sum));
    }
    all.keySet().removeIf(k -> !k.startsWith(keyPrefix + "-"));
    return all;
  }

  /** Returns the number of runs by key. */
  public Map<String, Integer> runsByKey() {
    return runs;
  }

  /** Returns the keys whose responses contain different orders. */
  public Set<String> keysWithDifferentOrders() {
    Set<String> keys = new TreeSet<>();
    ordersByKey.forEach(
        (key, orders) -> {
          if (orders.size() > 1) {
            keys.add(key);
          }
        });
    return keys;
  }

  /** Returns the keys with a successful response that no runner has run. */
  public Set<String> servedKeysNotRun() {
    Set<String> keys = new TreeSet<>(ordersByKey.keySet());
    keys.removeAll(runs.keySet());
    return keys;
  }

  /** Returns the keys that a runner has run although every response reported them as not run. */
  public Set<String> refusedKeysThatRan() {
    Set<String> keys = new TreeSet<>();
    outcomeByKey.forEach(
        (key, outcome) -> {
          if (isNotRun(outcome) && runs.containsKey(key)) {
            keys.add(key);
          }
        });
    return keys;
  }

  /** Returns the number of keys with a successful response. */
  public int served() {
    return ordersByKey.size();
  }

  /** Returns the number of responses by outcome, and the number of keys run more than once. */
  public String summary() {
    Map<String, Integer> counts = new TreeMap<>();
    responsesByOutcome.forEach((outcome, n) -> counts.put(outcome, n.get()));
    long keysRunTwice = runs.values().stream().filter(n -> n > 1).count();
    return "orders "
        + nextOrder.get()
        + ", outcomes "
        + counts
        + ", keys run "
        + runs.size()
        + ", keys run more than once "
        + keysRunTwice;
  }

  /** Sleeps for the given time, or until the thread is interrupted. */
  public static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
