package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.PartitionedEndpoints.Partition;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Guards against entries that serve their callers far worse than others while they are partitioned
 * from all endpoints, though other entries of their region reach the endpoints.
 */
class CutOffEntryTest {
  private static final List<String> ENTRY_NAMES =
      List.of("north-0", "north-1", "north-2", "south-0");
  private static final Map<String, RouteKind> SERVICES =
      Map.of("safe", RouteKind.IDEMPOTENT, "once", RouteKind.AT_MOST_ONCE);
  private static final int ENDPOINTS_PER_SERVICE = 2;
  private static final int RESPONSE_MILLIS = 20;
  private static final long CALL_INTERVAL_MILLIS = 40;
  private static final Duration WARM_UP = Duration.ofMillis(1_500);

  /** Time after the beginning of a partition from which the bounds hold. */
  private static final Duration CONTACT_TIME = Duration.ofSeconds(5);

  private static final Duration MEASURED = Duration.ofSeconds(4);
  private static final Duration HEAL_TIME = Duration.ofSeconds(5);
  private static final double MIN_SERVED_RATIO = 2.0 / 3;
  private static final int TOLERATED_FAILURES = 10;
  private static final int REQUESTS_PER_TOLERATED_FAILURE = 50;

  private record Try(String entry, long sentNanos, boolean served) {}

  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicInteger ids = new AtomicInteger();
  private final List<Try> tries = new CopyOnWriteArrayList<>();
  private final List<String> onceIds = new CopyOnWriteArrayList<>();

  static Stream<Arguments> partitions() {
    return Stream.of(Partition.values())
        .flatMap(
            partition ->
                Stream.of(
                    Arguments.of(partition, List.of("north-1")),
                    Arguments.of(partition, List.of("north-0", "north-1"))));
  }

  @ParameterizedTest
  @MethodSource("partitions")
  void servesItsCallersThroughOtherEntries(
      Partition partition, List<String> cutOff, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            SERVICES.entrySet().stream()
                .map(s -> FleetHarness.routeTo(s.getKey(), s.getValue(), false, 2, timeout()))
                .toList(),
            SERVICES.keySet().stream().map(CutOffEntryTest::serviceNamed).toList(),
            RequestLimits.DEFAULT);
    try (FleetHarness fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
        PartitionedEndpoints endpoints =
            new PartitionedEndpoints(
                fleet.vertx(), SERVICES.size() * ENDPOINTS_PER_SERVICE, RESPONSE_MILLIS)) {
      List<FleetHarness.Entry> entries = start(fleet, endpoints);
      List<Thread> callers = new ArrayList<>();
      long endNanos =
          System.nanoTime() + WARM_UP.plus(CONTACT_TIME).plus(MEASURED).plus(HEAL_TIME).toNanos();
      for (FleetHarness.Entry entry : entries) {
        SERVICES.keySet().forEach(s -> callers.add(new Thread(() -> call(entry, s, endNanos))));
      }
      callers.forEach(Thread::start);
      TimeUnit.MILLISECONDS.sleep(WARM_UP.toMillis());
      fleet.run(() -> cutOff.forEach(e -> endpoints.partition(bindAddress(e), partition)));
      TimeUnit.MILLISECONDS.sleep(CONTACT_TIME.toMillis());
      final long fromNanos = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(MEASURED.toMillis());
      final long untilNanos = System.nanoTime();
      fleet.run(() -> cutOff.forEach(e -> endpoints.heal(bindAddress(e))));
      TimeUnit.MILLISECONDS.sleep(HEAL_TIME.dividedBy(2).toMillis());
      final List<Integer> arrivalsBefore =
          cutOff.stream().map(e -> endpoints.arrivalsFrom(bindAddress(e))).toList();
      for (Thread caller : callers) {
        caller.join();
      }
      assertServed(cutOff, fromNanos, untilNanos);
      onceIds.forEach(id -> assertThat(id, endpoints.arrivals(id), lessThanOrEqualTo(1)));
      assertThat(
          "extra sends",
          endpoints.extraArrivals(),
          lessThanOrEqualTo(TOLERATED_FAILURES + tries.size() / REQUESTS_PER_TOLERATED_FAILURE));
      for (int i = 0; i < cutOff.size(); i++) {
        assertThat(
            "requests that " + cutOff.get(i) + " sends directly after the partition",
            endpoints.arrivalsFrom(bindAddress(cutOff.get(i))),
            greaterThan(arrivalsBefore.get(i)));
      }
    }
  }

  private static ServiceSpec serviceNamed(String name) {
    return new ServiceSpec(name, 100, Duration.ZERO, 0, Optional.of("/healthz"), Optional.empty());
  }

  private static Duration timeout() {
    return Duration.ofMillis(2_500);
  }

  private List<FleetHarness.Entry> start(FleetHarness fleet, PartitionedEndpoints endpoints)
      throws Exception {
    List<FleetHarness.Entry> entries = new ArrayList<>();
    for (String name : ENTRY_NAMES) {
      entries.add(fleet.startEntry(name, name.split("-")[0], Optional.of(bindAddress(name))));
    }
    fleet.activateRouteTable(1);
    int next = 0;
    for (String service : SERVICES.keySet()) {
      for (int i = 0; i < ENDPOINTS_PER_SERVICE; i++) {
        fleet.keepAnnouncing(service + "-" + i, service, "north", endpoints.ports().get(next++));
      }
    }
    for (FleetHarness.Entry entry : entries) {
      fleet.awaitReady(entry);
      for (String service : SERVICES.keySet()) {
        fleet.awaitEndpoints(entry, service, ENDPOINTS_PER_SERVICE);
      }
    }
    return entries;
  }

  /** Returns the address from which an entry connects to endpoints. */
  private static String bindAddress(String entry) {
    return "127.0.0." + (11 + ENTRY_NAMES.indexOf(entry));
  }

  /** Sends requests at a constant rate, whether or not earlier ones have been answered. */
  private void call(FleetHarness.Entry entry, String service, long endNanos) {
    try {
      while (System.nanoTime() < endNanos) {
        send(entry, service);
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void send(FleetHarness.Entry entry, String service) {
    String id = service + "-" + ids.incrementAndGet();
    if (SERVICES.get(service) == RouteKind.AT_MOST_ONCE) {
      onceIds.add(id);
    }
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + service + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body of " + id))
            .header("X-Request-Id", id)
            .header("X-Deadline", Long.toString(timeout().toMillis()))
            .timeout(timeout().plusSeconds(1))
            .build();
    long sentNanos = System.nanoTime();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, failure) ->
                tries.add(
                    new Try(
                        entry.node().name(),
                        sentNanos,
                        failure == null && response.statusCode() == 200)));
  }

  private void assertServed(List<String> cutOff, long fromNanos, long untilNanos) {
    List<Try> measured =
        tries.stream()
            .filter(t -> t.sentNanos() >= fromNanos && t.sentNanos() < untilNanos)
            .toList();
    List<Try> there = measured.stream().filter(t -> cutOff.contains(t.entry())).toList();
    List<Try> elsewhere = measured.stream().filter(t -> !cutOff.contains(t.entry())).toList();
    long failures = there.stream().filter(t -> !t.served()).count();
    String seen = "served " + (there.size() - failures) + " of " + there.size();
    assertThat(
        "share served at cut-off entries against that of the others, " + seen,
        servedShare(there),
        greaterThanOrEqualTo(MIN_SERVED_RATIO * servedShare(elsewhere)));
    assertThat(
        "failures at cut-off entries, " + seen,
        failures,
        lessThanOrEqualTo(
            (long) TOLERATED_FAILURES + there.size() / REQUESTS_PER_TOLERATED_FAILURE));
    assertThat("share served at other entries", servedShare(elsewhere), greaterThan(0.9));
  }

  private static double servedShare(List<Try> tries) {
    return tries.stream().filter(Try::served).count() / (double) tries.size();
  }
}
