package org.lacewingcroft.forward;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Callers that send requests with divided prompts to all entries until closed. No two requests are
 * alike, and half of them take long to run.
 */
final class PromptTraffic implements AutoCloseable {
  private static final int CALLERS_PER_ENTRY = 3;
  private static final long PAUSE_MILLIS = 20;
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_200);
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  private final String service;
  private final IntFunction<List<String>> sharedParts;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refusedAsCrashing = new AtomicInteger();
  private volatile boolean stopping;

  /** The number of requests that ended in a period. */
  record Result(int sent, int served) {
    double servedRatio() {
      return (double) served / Math.max(1, sent);
    }

    @Override
    public String toString() {
      return served + " of " + sent;
    }
  }

  /**
   * Starts the callers.
   *
   * @param sharedParts the prompt parts of a request that others have in common with it, by the
   *     request's number
   */
  PromptTraffic(
      List<FleetHarness.Entry> entries, String service, IntFunction<List<String>> sharedParts) {
    this.service = service;
    this.sharedParts = sharedParts;
    for (FleetHarness.Entry entry : entries) {
      for (int i = 0; i < CALLERS_PER_ENTRY; i++) {
        Thread thread = new Thread(() -> callRepeatedly(entry));
        threads.add(thread);
        thread.start();
      }
    }
  }

  private void callRepeatedly(FleetHarness.Entry entry) {
    try {
      while (!stopping) {
        call(entry);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(FleetHarness.Entry entry) {
    int number = REQUESTS.get();
    HttpResponse<String> response =
        sendAsync(entry, service, sharedParts.apply(number)).exceptionally(e -> null).join();
    sent.incrementAndGet();
    if (response != null && response.statusCode() == 200) {
      served.incrementAndGet();
    }
    if (response != null
        && response.statusCode() == 503
        && response.body().contains("endpoints that ran")) {
      refusedAsCrashing.incrementAndGet();
    }
  }

  /** Sends a request that has the given prompt parts and a last one of its own. */
  static CompletableFuture<HttpResponse<String>> sendAsync(
      FleetHarness.Entry entry, String service, List<String> sharedParts) {
    int number = REQUESTS.incrementAndGet();
    String parts =
        Stream.concat(sharedParts.stream(), Stream.of("own-" + number))
            .map(id -> id + ":20")
            .collect(Collectors.joining(","));
    String kind = number % 2 == 0 ? FaultyEndpoints.LONG : "short";
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + service + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString(kind + " " + number))
            .header("X-Request-Id", "prompt-" + number)
            .header("X-Deadline", Long.toString(REQUEST_TIMEOUT.toMillis()))
            .header("X-Parts", parts)
            .header("X-Tokens", "100,20")
            .timeout(REQUEST_TIMEOUT.plus(REQUEST_TIMEOUT))
            .build();
    return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the requests that ended since the last call. */
  Result takeResult() {
    return new Result(sent.getAndSet(0), served.getAndSet(0));
  }

  /** Returns how many requests were refused because of crashed endpoints. */
  int refusedAsCrashing() {
    return refusedAsCrashing.get();
  }

  @Override
  public void close() throws InterruptedException {
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
