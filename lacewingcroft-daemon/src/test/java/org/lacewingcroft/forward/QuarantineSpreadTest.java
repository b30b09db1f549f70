package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.forward.FaultyEndpoints.Fault;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Checks that all instances receive a quarantine, that it survives restarts, and that harmless
 * content is served.
 */
class QuarantineSpreadTest {
  private static final String SERVICE = "model";
  private static final int LARGE_REGION_ENTRIES = 12;
  private static final int ENDPOINTS = 4;
  private static final int CRASHES_TO_QUARANTINE = 3;

  /** Longer than a control instance takes to write the quarantine to disk. */
  private static final long DISK_WRITE_MILLIS = 1_000;

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(15);
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  /** What the requests that crash endpoints have in common. */
  private enum Cause {
    CONTENT,
    PROMPT_PART
  }

  @TempDir private Path dataDir;
  private FleetHarness fleet;
  private FaultyEndpoints endpoints;
  private final List<FleetHarness.Entry> entries = new ArrayList<>();
  private Cause cause = Cause.CONTENT;

  @BeforeEach
  void start() throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(SERVICE, RouteKind.AT_MOST_ONCE, false, 1, REQUEST_TIMEOUT)),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    fleet = new FleetHarness(dataDir, Map.of(1L, table));
    fleet.activateRouteTable(1);
    endpoints =
        new FaultyEndpoints(
            fleet, SERVICE, Collections.nCopies(ENDPOINTS, "north"), false, Fault.CRASH);
    startEntries(2);
  }

  @AfterEach
  void stop() throws Exception {
    endpoints.close();
    fleet.close();
  }

  private void startEntries(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      entries.add(fleet.startEntry("north-" + entries.size(), "north"));
    }
    for (FleetHarness.Entry entry : entries) {
      fleet.awaitReady(entry);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, LARGE_REGION_ENTRIES})
  void allEntriesReceiveTheQuarantine(int count) throws Exception {
    startEntries(count - entries.size());
    quarantine();
    for (FleetHarness.Entry entry : entries) {
      awaitQuarantined(entry);
    }
  }

  @ParameterizedTest
  @EnumSource(Cause.class)
  void startingEntryReceivesTheQuarantineBeforeItIsReady(Cause cause) throws Exception {
    this.cause = cause;
    quarantine();
    awaitQuarantinedAtControl();
    startEntries(1);
    int runs = endpoints.poisonRuns();
    HttpResponse<String> response = sendCrashing(last(entries));
    assertThat(response.statusCode(), is(503));
    assertThat(response.headers().firstValue("Retry-After").isPresent(), is(true));
    assertThat(endpoints.poisonRuns(), is(runs));
  }

  @ParameterizedTest
  @EnumSource(Cause.class)
  void restartedControlInstanceReceivesTheQuarantine(Cause cause) throws Exception {
    this.cause = cause;
    quarantine();
    awaitQuarantined(entries.get(0));
    fleet.restartControl();
    awaitQuarantinedAtControl();
  }

  /**
   * Entries and control instances restore the quarantine from each other; after a restart of the
   * whole fleet only the control instance's disk has it.
   */
  @ParameterizedTest
  @EnumSource(Cause.class)
  void quarantineSurvivesRestartOfTheWholeFleet(Cause cause) throws Exception {
    this.cause = cause;
    quarantine();
    for (FleetHarness.Entry entry : entries) {
      awaitQuarantined(entry);
      fleet.stopEntry(entry);
    }
    entries.clear();
    TimeUnit.MILLISECONDS.sleep(DISK_WRITE_MILLIS);
    fleet.restartControl();
    startEntries(1);
    int runs = endpoints.poisonRuns();
    assertThat(sendCrashing(last(entries)).statusCode(), is(503));
    assertThat(endpoints.poisonRuns(), is(runs));
    awaitServed("innocent");
  }

  @Test
  void reportsAreRepeatedUntilTheControlInstanceIsBack() throws Exception {
    fleet.stopControl();
    quarantine();
    fleet.restartControl();
    for (FleetHarness.Entry entry : entries) {
      awaitQuarantined(entry);
    }
  }

  @Test
  void contentThatRanConcurrentlyIsServedAgain() throws Exception {
    List<String> harmless = List.of("long 1", "long 2", "long 3");
    for (int i = 0; i < CRASHES_TO_QUARANTINE - 1; i++) {
      List<CompletableFuture<Void>> concurrent = new ArrayList<>();
      harmless.forEach(body -> concurrent.add(CompletableFuture.runAsync(() -> trySend(body))));
      crashNext();
      concurrent.forEach(CompletableFuture::join);
    }
    quarantine();
    for (String body : harmless) {
      awaitServed(body);
    }
  }

  @Test
  void contentOfManyCallersIsServedAfterTheLossOfAllEndpoints() throws Exception {
    for (int i = 0; i < CRASHES_TO_QUARANTINE; i++) {
      for (FleetHarness.Entry entry : entries) {
        awaitServed(entry, FaultyEndpoints.LONG);
      }
      List<CompletableFuture<Void>> requests = new ArrayList<>();
      for (int n = 0; n < 2 * ENDPOINTS; n++) {
        requests.add(CompletableFuture.runAsync(() -> trySend(FaultyEndpoints.LONG)));
      }
      TimeUnit.MILLISECONDS.sleep(150);
      endpoints.crashAll();
      requests.forEach(CompletableFuture::join);
    }
    awaitServed(FaultyEndpoints.LONG);
  }

  /**
   * Crashes endpoints with the same content or prompt part until the combined reports of all
   * entries quarantine it.
   */
  private void quarantine() throws Exception {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    while (endpoints.crashes() < CRASHES_TO_QUARANTINE && Instant.now().isBefore(deadline)) {
      crashNext();
    }
    assertThat(endpoints.crashes(), is(CRASHES_TO_QUARANTINE));
  }

  private void crashNext() throws Exception {
    int crashesBefore = endpoints.crashes();
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    while (endpoints.crashes() == crashesBefore && Instant.now().isBefore(deadline)) {
      try {
        sendCrashing(entries.get(REQUESTS.get() % entries.size()));
      } catch (IOException connectionLost) {
        // Expected: the request crashes the endpoint.
      }
      TimeUnit.MILLISECONDS.sleep(60);
    }
  }

  private void awaitQuarantined(FleetHarness.Entry entry) throws Exception {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    int size = 0;
    while (size == 0 && Instant.now().isBefore(deadline)) {
      size = fleet.onContext(() -> Future.succeededFuture(entry.node().quarantine().size()));
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(entry.node().name() + " quarantined contents", size, is(1));
  }

  private void awaitQuarantinedAtControl() throws InterruptedException {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    while (fleet.control().quarantinedContents() == 0 && Instant.now().isBefore(deadline)) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(fleet.control().quarantinedContents(), is(1));
  }

  private void awaitServed(String body) throws Exception {
    awaitServed(entries.get(REQUESTS.get() % entries.size()), body);
  }

  private void awaitServed(FleetHarness.Entry entry, String body) throws Exception {
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    int status = 0;
    while (status != 200 && Instant.now().isBefore(deadline)) {
      TimeUnit.MILLISECONDS.sleep(50);
      status = send(entry, body).statusCode();
    }
    assertThat(body + " at " + entry.node().name(), status, is(200));
  }

  private void trySend(String body) {
    try {
      send(entries.get(REQUESTS.get() % entries.size()), body);
    } catch (IOException connectionLost) {
      // Expected: the endpoint crashed for another request.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static <T> T last(List<T> all) {
    return all.get(all.size() - 1);
  }

  private HttpResponse<String> sendCrashing(FleetHarness.Entry entry)
      throws IOException, InterruptedException {
    return switch (cause) {
      case CONTENT -> send(entry, FaultyEndpoints.POISON);
      case PROMPT_PART -> {
        int number = REQUESTS.get();
        String parts = FaultyEndpoints.POISON_PART + "1:20,own-" + number + ":20";
        yield send(entry, "body " + number, Optional.of(parts));
      }
    };
  }

  private static HttpResponse<String> send(FleetHarness.Entry entry, String body)
      throws IOException, InterruptedException {
    return send(entry, body, Optional.empty());
  }

  private static HttpResponse<String> send(
      FleetHarness.Entry entry, String body, Optional<String> promptParts)
      throws IOException, InterruptedException {
    String target = "http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x";
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(target))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .header("X-Request-Id", "id-" + REQUESTS.incrementAndGet())
            .header("X-Deadline", Long.toString(REQUEST_TIMEOUT.toMillis()))
            .timeout(REQUEST_TIMEOUT.plus(REQUEST_TIMEOUT));
    promptParts.ifPresent(parts -> request.header("X-Parts", parts));
    return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
