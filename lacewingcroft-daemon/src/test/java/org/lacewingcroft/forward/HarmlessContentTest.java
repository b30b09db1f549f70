package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.FaultyEndpoints.Fault;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Checks that content that does not crash endpoints is not quarantined. Guards against counting
 * each closed connection as a crash of the endpoint: three resets for one content would then
 * quarantine it, whatever the endpoints respond afterwards. While connections were reset for twenty
 * seconds, harmless content was quarantined at every entry two seconds after the first reset and
 * refused from then on:
 *
 * <pre>
 * content.quarantined fingerprint 7d46c7712a115a05 endpoints [a@0, b@0, c@0] cause "seen here"
 * </pre>
 *
 * <p>None of the three endpoints had crashed. Lost responses, network partitions, and endpoints
 * that crash together for another reason cannot be distinguished on a single connection.
 */
class HarmlessContentTest {
  private static final String SERVICE = "model";
  private static final int ENDPOINTS = 3;

  /** Several times the number of failed runs after which content would be quarantined. */
  private static final int FAILED_RUNS = 12;

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_000);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

  /** Duration of a network partition; longer than the lease of endpoints, so that it expires. */
  private static final Duration PARTITION_DURATION = Duration.ofSeconds(4);

  private static final long CALL_INTERVAL_MILLIS = 40;

  /** One more than quarantine content, if they are not simultaneous. */
  private static final int CRASHES = 4;

  private static final long CRASH_INTERVAL_MILLIS = 150;
  private static final String QUARANTINE_REASON = "endpoints that ran this content";
  private static final int CALLERS_PER_ENTRY = 24;

  private static final long POLL_INTERVAL_MILLIS = 5;

  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  @TempDir private Path dataDir;
  private final List<FleetHarness.Entry> entries = new ArrayList<>();
  private FleetHarness fleet;
  private FaultyEndpoints endpoints;

  /** Number of endpoints that had received a long request when all of them crashed. */
  private final AtomicInteger runningAtCrash = new AtomicInteger();

  /** A test case: the kind of request, its maximum attempts, and how the endpoints fail. */
  record TestCase(RouteKind kind, boolean resumable, int attempts, Fault fault) {
    private boolean streams() {
      return kind == RouteKind.STREAM;
    }
  }

  static Stream<TestCase> testCases() {
    return Stream.of(Fault.RESET, Fault.LOST_ANSWER)
        .flatMap(
            fault ->
                Stream.of(
                    new TestCase(RouteKind.AT_MOST_ONCE, false, 1, fault),
                    new TestCase(RouteKind.IDEMPOTENT, false, 2, fault),
                    new TestCase(RouteKind.STREAM, true, 2, fault)));
  }

  private void start(TestCase testCase) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(
                    SERVICE,
                    testCase.kind(),
                    testCase.resumable(),
                    testCase.attempts(),
                    REQUEST_TIMEOUT)),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    fleet = new FleetHarness(dataDir, Map.of(1L, table));
    fleet.activateRouteTable(1);
    endpoints =
        new FaultyEndpoints(
            fleet,
            SERVICE,
            Collections.nCopies(ENDPOINTS, "north"),
            testCase.streams(),
            testCase.fault());
    for (int i = 0; i < 3; i++) {
      entries.add(fleet.startEntry("north-" + i, "north"));
    }
    for (FleetHarness.Entry entry : entries) {
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, ENDPOINTS);
    }
  }

  @AfterEach
  void stop() throws Exception {
    endpoints.close();
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void contentWhoseConnectionsAreLostIsServedAfterwards(TestCase testCase) throws Exception {
    start(testCase);
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    while ((endpoints.poisonRuns() < FAILED_RUNS || endpoints.failedCount() < ENDPOINTS)
        && Instant.now().isBefore(deadline)) {
      callEachEntry(FaultyEndpoints.POISON);
    }
    assertThat(endpoints.poisonRuns(), greaterThanOrEqualTo(FAILED_RUNS));
    assertThat(endpoints.failedCount(), is(ENDPOINTS));
    endpoints.disablePoison();
    assertServedEverywhere(FaultyEndpoints.POISON);
  }

  /**
   * Requests reach the endpoints, but no response or announcement arrives for longer than a lease.
   */
  @Test
  void contentSentDuringOneWayPartitionIsServedAfterwards() throws Exception {
    start(new TestCase(RouteKind.AT_MOST_ONCE, false, 1, Fault.RESET));
    endpoints.setPartitioned(true);
    Instant partitionEnd = Instant.now().plus(PARTITION_DURATION);
    while (Instant.now().isBefore(partitionEnd)) {
      callConcurrently(FaultyEndpoints.LONG);
    }
    assertThat(endpoints.longRunCount(), is(ENDPOINTS));
    endpoints.setPartitioned(false);
    assertServedEverywhere(FaultyEndpoints.LONG);
  }

  /**
   * Content that many callers send runs at several endpoints when they crash for another reason.
   */
  @Test
  void contentOfManyCallersIsServedAfterUnrelatedCrashes() throws Exception {
    start(new TestCase(RouteKind.AT_MOST_ONCE, false, 1, Fault.CRASH));
    Thread crashing = new Thread(this::crashAllWhileRunning);
    crashing.start();
    callConcurrently(FaultyEndpoints.LONG);
    crashing.join();
    assertThat(runningAtCrash.get(), is(ENDPOINTS));
    assertServedEverywhere(FaultyEndpoints.LONG);
  }

  /** Guards against refusing content before the entries that have completed it could report so. */
  @Test
  void contentThatAnotherEntryHasCompletedIsNotRefused() throws Exception {
    start(new TestCase(RouteKind.IDEMPOTENT, false, 2, Fault.CRASH));
    FleetHarness.Entry completing = entries.get(0);
    endpoints.disablePoison();
    assertThat(call(completing, FaultyEndpoints.POISON), is(200));
    endpoints.enablePoison();
    FleetHarness.Entry crashing = entries.get(1);
    // Requests that allow the entry to send others again.
    for (int n = 0; n < CALLERS_PER_ENTRY; n++) {
      call(crashing, "harmless");
    }
    Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
    List<String> responses = new ArrayList<>();
    while (endpoints.crashes() < CRASHES && Instant.now().isBefore(deadline)) {
      responses.add(callForBody(crashing, FaultyEndpoints.POISON));
      TimeUnit.MILLISECONDS.sleep(CRASH_INTERVAL_MILLIS);
    }
    assertThat(endpoints.crashes(), greaterThanOrEqualTo(CRASHES));
    assertThat(responses, not(hasItem(containsString(QUARANTINE_REASON))));
  }

  private void crashAllWhileRunning() {
    try {
      Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
      while (endpoints.longRunCount() < ENDPOINTS && Instant.now().isBefore(deadline)) {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      }
      runningAtCrash.set(endpoints.longRunCount());
      endpoints.crashAll();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends several concurrent requests to every entry and waits for all of them. */
  private void callConcurrently(String body) throws InterruptedException {
    List<Thread> callers = new ArrayList<>();
    for (int n = 0; n < CALLERS_PER_ENTRY * entries.size(); n++) {
      FleetHarness.Entry entry = entries.get(n % entries.size());
      callers.add(new Thread(() -> call(entry, body)));
    }
    callers.forEach(Thread::start);
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private void callEachEntry(String body) throws InterruptedException {
    for (FleetHarness.Entry entry : entries) {
      call(entry, body);
      TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
    }
  }

  private void assertServedEverywhere(String body) throws Exception {
    for (FleetHarness.Entry entry : entries) {
      Instant deadline = Instant.now().plus(AWAIT_TIMEOUT);
      int status = 0;
      while (status != 200 && Instant.now().isBefore(deadline)) {
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
        status = call(entry, body);
      }
      assertThat(body + " at " + entry.node().name(), status, is(200));
      int quarantined =
          fleet.onContext(() -> Future.succeededFuture(entry.node().quarantine().size()));
      assertThat("quarantined at " + entry.node().name(), quarantined, is(0));
    }
    assertThat(fleet.control().quarantinedContents(), is(0));
  }

  /** Sends a request under a new id; returns the status, 0 if the connection was lost. */
  private static int call(FleetHarness.Entry entry, String body) {
    return send(entry, body).map(HttpResponse::statusCode).orElse(0);
  }

  /** Sends a request under a new id; returns the response body, empty without a response. */
  private static String callForBody(FleetHarness.Entry entry, String body) {
    return send(entry, body).map(HttpResponse::body).orElse("");
  }

  private static Optional<HttpResponse<String>> send(FleetHarness.Entry entry, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .header("X-Request-Id", "id-" + REQUESTS.incrementAndGet())
            .header("X-Deadline", Long.toString(REQUEST_TIMEOUT.toMillis()))
            .timeout(REQUEST_TIMEOUT.plus(REQUEST_TIMEOUT))
            .build();
    try {
      return Optional.of(CLIENT.send(request, HttpResponse.BodyHandlers.ofString()));
    } catch (IOException connectionLost) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
