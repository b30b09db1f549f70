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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingcroft.forward.FragileEndpoints.Fault;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Checks which instances receive a quarantine, when it persists, and which content is not affected. */
class QuarantineSpreadTest {
  private static final String SERVICE = "model";
  private static final int LARGE_REGION = 12;
  private static final int ENDPOINTS = 4;
  private static final int ENDS_TO_QUARANTINE = 3;

  /** Longer than a control instance takes to write the quarantine to disk. */
  private static final long WRITTEN_MILLIS = 1_000;

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final Duration PATIENCE = Duration.ofSeconds(15);
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  @TempDir private Path dataDir;
  private FleetHarness fleet;
  private FragileEndpoints endpoints;
  private final List<FleetHarness.Entry> entries = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(FleetHarness.routeTo(SERVICE, RouteKind.AT_MOST_ONCE, false, 1, TIMEOUT)),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    fleet = new FleetHarness(dataDir, Map.of(1L, table));
    fleet.route(1);
    endpoints =
        new FragileEndpoints(
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
  @ValueSource(ints = {2, LARGE_REGION})
  void allEntriesHearOfIt(int count) throws Exception {
    startEntries(count - entries.size());
    quarantine();
    for (FleetHarness.Entry entry : entries) {
      awaitQuarantined(entry);
    }
  }

  @Test
  void entryThatStartsKnowsItBeforeItIsReady() throws Exception {
    quarantine();
    startEntries(1);
    int runs = endpoints.poisonRuns();
    HttpResponse<String> answer = send(last(entries), FragileEndpoints.POISON);
    assertThat(answer.statusCode(), is(503));
    assertThat(answer.headers().firstValue("Retry-After").isPresent(), is(true));
    assertThat(endpoints.poisonRuns(), is(runs));
  }

  @Test
  void controlInstanceThatRestartsIsTold() throws Exception {
    quarantine();
    awaitQuarantined(entries.get(0));
    fleet.restartControl();
    Instant end = Instant.now().plus(PATIENCE);
    while (fleet.control().quarantinedContents() == 0 && Instant.now().isBefore(end)) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(fleet.control().quarantinedContents(), is(1));
  }

  /**
   * Entries and control instances restore the quarantine from each other; after a restart of the whole
   * fleet only the control instance's disk has it.
   */
  @Test
  void fleetThatRestartsAsWholeRemembersIt() throws Exception {
    quarantine();
    for (FleetHarness.Entry entry : entries) {
      awaitQuarantined(entry);
      fleet.stopEntry(entry);
    }
    entries.clear();
    TimeUnit.MILLISECONDS.sleep(WRITTEN_MILLIS);
    fleet.restartControl();
    startEntries(1);
    int runs = endpoints.poisonRuns();
    assertThat(send(last(entries), FragileEndpoints.POISON).statusCode(), is(503));
    assertThat(endpoints.poisonRuns(), is(runs));
    awaitServed("innocent");
  }

  @Test
  void evidenceWaitsForTheControlInstance() throws Exception {
    fleet.stopControl();
    quarantine();
    fleet.restartControl();
    for (FleetHarness.Entry entry : entries) {
      awaitQuarantined(entry);
    }
  }

  @Test
  void requestsThatRanBesideItAreServedWhenTheyComeAgain() throws Exception {
    List<String> innocents = List.of("long 1", "long 2", "long 3");
    for (int i = 0; i < ENDS_TO_QUARANTINE - 1; i++) {
      List<CompletableFuture<Void>> beside = new ArrayList<>();
      innocents.forEach(body -> beside.add(CompletableFuture.runAsync(() -> trySend(body))));
      endNext();
      beside.forEach(CompletableFuture::join);
    }
    quarantine();
    for (String body : innocents) {
      awaitServed(body);
    }
  }

  @Test
  void contentThatManyAskForOutlivesTheLossOfAllEndpoints() throws Exception {
    for (int i = 0; i < ENDS_TO_QUARANTINE; i++) {
      for (FleetHarness.Entry entry : entries) {
        awaitServed(entry, FragileEndpoints.LONG);
      }
      List<CompletableFuture<Void>> asked = new ArrayList<>();
      for (int n = 0; n < 2 * ENDPOINTS; n++) {
        asked.add(CompletableFuture.runAsync(() -> trySend(FragileEndpoints.LONG)));
      }
      TimeUnit.MILLISECONDS.sleep(150);
      endpoints.endAll();
      asked.forEach(CompletableFuture::join);
    }
    awaitServed(FragileEndpoints.LONG);
  }

  /** Crashes endpoints with the same content until the reports of all entries quarantine it. */
  private void quarantine() throws Exception {
    Instant end = Instant.now().plus(PATIENCE);
    while (endpoints.ends() < ENDS_TO_QUARANTINE && Instant.now().isBefore(end)) {
      endNext();
    }
    assertThat(endpoints.ends(), is(ENDS_TO_QUARANTINE));
  }

  private void endNext() throws Exception {
    int ends = endpoints.ends();
    Instant end = Instant.now().plus(PATIENCE);
    while (endpoints.ends() == ends && Instant.now().isBefore(end)) {
      trySend(FragileEndpoints.POISON);
      TimeUnit.MILLISECONDS.sleep(60);
    }
  }

  private void awaitQuarantined(FleetHarness.Entry entry) throws Exception {
    Instant end = Instant.now().plus(PATIENCE);
    int size = 0;
    while (size == 0 && Instant.now().isBefore(end)) {
      size = fleet.onContext(() -> Future.succeededFuture(entry.node().quarantine().size()));
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(entry.node().name() + " has it quarantined", size, is(1));
  }

  private void awaitServed(String body) throws Exception {
    awaitServed(entries.get(REQUESTS.get() % entries.size()), body);
  }

  private void awaitServed(FleetHarness.Entry entry, String body) throws Exception {
    Instant end = Instant.now().plus(PATIENCE);
    int status = 0;
    while (status != 200 && Instant.now().isBefore(end)) {
      TimeUnit.MILLISECONDS.sleep(50);
      status = send(entry, body).statusCode();
    }
    assertThat(body + " at " + entry.node().name(), status, is(200));
  }

  private void trySend(String body) {
    try {
      send(entries.get(REQUESTS.get() % entries.size()), body);
    } catch (IOException broken) {
      // Expected: the request crashes the endpoint.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static <T> T last(List<T> all) {
    return all.get(all.size() - 1);
  }

  private static HttpResponse<String> send(FleetHarness.Entry entry, String body)
      throws IOException, InterruptedException {
    String target = "http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(target))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .header("X-Request-Id", "id-" + REQUESTS.incrementAndGet())
            .header("X-Deadline", Long.toString(TIMEOUT.toMillis()))
            .timeout(TIMEOUT.plus(TIMEOUT))
            .build();
    return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
  }
}
