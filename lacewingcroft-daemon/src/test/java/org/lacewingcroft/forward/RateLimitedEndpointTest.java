package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Endpoints that stated 1.1 and 1.8 requests a second got 12 and 48 in four seconds from entries
 * that they had told: no entry read what they stated.
 */
class RateLimitedEndpointTest {
  private static final Duration RUN = Duration.ofSeconds(11);
  private static final Duration BEFORE_STATED = Duration.ofMillis(500);
  private static final Duration RECOVERY = Duration.ofSeconds(15);
  private static final long CALL_PAUSE_MILLIS = 125;
  private static final long LATER_MILLIS = 1_200;

  /** The aim: in no such window more than half as much again as the rate allows, and some. */
  private static final long WINDOW_MILLIS = 4_000;

  private static final double OVERSHOOT = 1.5;
  private static final int SLACK = 5;

  /** Entries hear of a limit within this time. */
  private static final long SPREAD_MILLIS = 1_000;

  private static final int SERVED_IN_ROW = 12;
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  @TempDir private static Path folder;
  private static final List<FleetHarness.Entry> ENTRIES = new ArrayList<>();
  private static final Map<String, LimitedEndpoints> ENDPOINTS = new LinkedHashMap<>();
  private static final List<String> REFUSED_WITHOUT_PAUSE = new CopyOnWriteArrayList<>();
  private static FleetHarness fleet;

  /** A row: the rate stated, by how many of two endpoints, and the status that they answer. */
  record Row(String name, String rate, int limited, String status) {
    @Override
    public String toString() {
      return name;
    }

    private long allowed() {
      return Math.round(OVERSHOOT * Double.parseDouble(rate) * WINDOW_MILLIS / 1_000 + SLACK);
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("one-of-two", "1.1", 1, "200 OK"),
        new Row("all", "1.8", 2, "200 OK"),
        new Row("nothing-at-all", "0", 2, "200 OK"),
        new Row("very-low", "0.2", 2, "200 OK"),
        new Row("higher", "8", 2, "200 OK"),
        new Row("second-attempts", "1.1", 2, "500 Broken"));
  }

  static Stream<Row> servedRows() {
    return rows().filter(row -> row.status().startsWith("200"));
  }

  @BeforeAll
  static void run() throws Exception {
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    rows()
        .forEach(
            row -> {
              routes.add(
                  FleetHarness.routeTo(
                      row.name(), RouteKind.IDEMPOTENT, false, 2, Duration.ofSeconds(2)));
              services.add(FleetHarness.serviceNamed(row.name()));
            });
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    for (String name : List.of("north-0", "north-1", "north-2", "south-0")) {
      ENTRIES.add(fleet.startEntry(name, name.split("-")[0]));
    }
    fleet.route(1);
    for (Row row : rows().toList()) {
      LimitedEndpoints endpoints = new LimitedEndpoints(fleet.vertx(), 2, row.status());
      ENDPOINTS.put(row.name(), endpoints);
      for (int i = 0; i < 2; i++) {
        int port = endpoints.all().get(i).port();
        fleet.keepAnnouncing(row.name() + "-" + i, row.name(), "north", port);
      }
    }
    for (FleetHarness.Entry entry : ENTRIES) {
      fleet.awaitReady(entry);
      for (Row row : rows().toList()) {
        fleet.awaitEndpoints(entry, row.name(), 2);
      }
    }
    callWhileLimited();
  }

  private static void callWhileLimited() throws InterruptedException {
    List<Thread> callers = new ArrayList<>();
    long end = System.nanoTime() + RUN.toNanos();
    for (int e = 0; e < ENTRIES.size(); e++) {
      FleetHarness.Entry entry = ENTRIES.get(e);
      long laterMillis = e * LATER_MILLIS;
      for (Row row : rows().toList()) {
        callers.add(new Thread(() -> callUntil(end, laterMillis, entry, row)));
      }
    }
    callers.forEach(Thread::start);
    TimeUnit.MILLISECONDS.sleep(BEFORE_STATED.toMillis());
    limited(row -> true).forEach(l -> l.endpoint().state(l.row().rate()));
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private record LimitedOfRow(Row row, LimitedEndpoints.Limited endpoint) {}

  private static Stream<LimitedOfRow> limited(java.util.function.Predicate<Row> wanted) {
    return rows()
        .filter(wanted)
        .flatMap(
            row ->
                ENDPOINTS.get(row.name()).all().stream()
                    .limit(row.limited())
                    .map(endpoint -> new LimitedOfRow(row, endpoint)));
  }

  private static void callUntil(
      long endNanos, long laterMillis, FleetHarness.Entry entry, Row row) {
    try {
      TimeUnit.MILLISECONDS.sleep(laterMillis);
      while (System.nanoTime() < endNanos) {
        call(entry, row);
        TimeUnit.MILLISECONDS.sleep(CALL_PAUSE_MILLIS);
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static int call(FleetHarness.Entry entry, Row row) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + row.name() + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("body " + REQUESTS.get()))
            .header("X-Request-Id", "id-" + REQUESTS.incrementAndGet())
            .header("X-Deadline", "2000")
            .timeout(Duration.ofSeconds(4))
            .build();
    HttpResponse<String> answer = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    boolean pause = answer.headers().firstValue("Retry-After").isPresent();
    if (answer.statusCode() == 503 && !pause) {
      REFUSED_WITHOUT_PAUSE.add(row.name());
    }
    return answer.statusCode();
  }

  @AfterAll
  static void stop() throws Exception {
    ENDPOINTS.values().forEach(LimitedEndpoints::close);
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("rows")
  void allEntriesTogetherKeepTheStatedRate(Row row) {
    limited(row::equals)
        .forEach(
            l -> {
              int most = l.endpoint().mostWithin(WINDOW_MILLIS, SPREAD_MILLIS);
              assertThat(row + " at " + row.rate(), (long) most, lessThanOrEqualTo(row.allowed()));
              assertThat("is not cut off", l.endpoint().arrivals(), greaterThan(0));
            });
    assertThat("refused without a pause", REFUSED_WITHOUT_PAUSE, empty());
  }

  @ParameterizedTest
  @MethodSource("servedRows")
  void endpointsThatStateNoRateAnyMoreAreUsedInFull(Row row) throws Exception {
    limited(row::equals).forEach(l -> l.endpoint().stateNone());
    long end = System.nanoTime() + RECOVERY.toNanos();
    int inRow = 0;
    while (inRow < SERVED_IN_ROW * ENTRIES.size()) {
      inRow = call(ENTRIES.get(inRow % ENTRIES.size()), row) == 200 ? inRow + 1 : 0;
      assertThat(
          row + " served again, " + inRow + " in a row", end, greaterThan(System.nanoTime()));
    }
  }
}
