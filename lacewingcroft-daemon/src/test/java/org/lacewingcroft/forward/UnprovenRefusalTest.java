package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.StutteringEndpoint.Piece;
import org.lacewingcroft.forward.StutteringEndpoint.ReceivedRequest;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/**
 * Guards against a request that runs twice because bytes that are not its response state that it
 * was not run.
 */
class UnprovenRefusalTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final int ENDPOINTS_PER_SERVICE = 2;
  private static final int MAX_CALLS = 100;

  /** Calls that reach an endpoint in each case. */
  private static final int RUNS = 3;

  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  @TempDir private static Path folder;
  private static final Map<String, Map<String, AtomicInteger>> RUNS_BY_SERVICE = new HashMap<>();
  private static final List<StutteringEndpoint> ENDPOINTS = new ArrayList<>();
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A test case: endpoints that run each request and send other bytes before their own response.
   *
   * @param region the region of the endpoints; requests are relayed unless it is "north"
   * @param stray the bytes, {@code ID} for the id of the request
   * @param pauseMillis the time between the bytes and the response
   */
  record TestCase(String service, RouteKind kind, String region, String stray, long pauseMillis) {
    /** Runs a request, which other bytes precede where no response can have been there before. */
    private List<Piece> run(ReceivedRequest request, Map<String, AtomicInteger> runs) {
      runs.computeIfAbsent(request.id(), id -> new AtomicInteger()).incrementAndGet();
      String own = RawEndpoint.ownResponse(200, RawEndpoint.OWN_BODY).replace("ID", request.id());
      String before = request.numberOnConnection() == 1 ? stray.replace("ID", request.id()) : "";
      return pauseMillis == 0
          ? List.of(Piece.of(before + own))
          : List.of(Piece.of(before), new Piece(pauseMillis, own));
    }

    @Override
    public String toString() {
      String when = pauseMillis == 0 ? "" : ", " + pauseMillis + " ms before the response";
      return region + ": " + stray.replace("\r\n", "|") + when;
    }
  }

  static Stream<TestCase> testCases() {
    String end = "Content-Length: 0\r\n\r\n";
    List<String> strays =
        List.of(
            "HTTP/1.1 421 Other\r\n" + end,
            "HTTP/1.1 421 Other\r\nX-Request-Id: ID\r\nX-Request-Id: other\r\n" + end,
            "HTTP/1.1 421 S",
            "HTTP/1.1 421 Other\r\nX-Note: ",
            "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + end,
            "HTTP/1.1 503 Full\r\nX-Not-Run: ",
            "HTTP/1.1 429 Full\r\nX-Not-Run: 1\r\nX-Note: ");
    List<TestCase> cases = new ArrayList<>();
    for (String region : List.of("north", "south")) {
      for (String stray : strays) {
        for (long pauseMillis : List.of(0, 4)) {
          RouteKind kind = cases.size() % 3 == 2 ? RouteKind.STREAM : RouteKind.AT_MOST_ONCE;
          cases.add(new TestCase("c" + cases.size(), kind, region, stray, pauseMillis));
        }
      }
    }
    return cases.stream();
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes =
        testCases()
            .map(c -> FleetHarness.routeTo(c.service(), c.kind(), false, 1, TIMEOUT))
            .toList();
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, FleetHarness.routeTable(routes)));
    entry = fleet.startEntry("north", "north");
    final FleetHarness.Entry relay = fleet.startEntry("south", "south");
    fleet.activateRouteTable(1);
    for (TestCase testCase : testCases().toList()) {
      Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
      RUNS_BY_SERVICE.put(testCase.service(), runs);
      for (int i = 0; i < ENDPOINTS_PER_SERVICE; i++) {
        StutteringEndpoint endpoint =
            new StutteringEndpoint(fleet.vertx(), request -> testCase.run(request, runs));
        ENDPOINTS.add(endpoint);
        fleet.keepAnnouncing(
            testCase.service() + "-" + i, testCase.service(), testCase.region(), endpoint.port());
      }
    }
    fleet.awaitReady(entry);
    fleet.awaitReady(relay);
  }

  @AfterAll
  static void stop() throws Exception {
    ENDPOINTS.forEach(StutteringEndpoint::close);
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void requestRunsAtMostOnceAndIsNotReportedAsNotRun(TestCase testCase) throws Exception {
    Map<String, AtomicInteger> runs = RUNS_BY_SERVICE.get(testCase.service());
    List<String> violations = new ArrayList<>();
    for (int i = 0; i < MAX_CALLS && runs.size() < RUNS; i++) {
      String id = testCase.service() + "-" + i;
      int status = entry.call(testCase.service(), id);
      int runsOfCall = runs.getOrDefault(id, new AtomicInteger()).get();
      if (runsOfCall > 1 || runsOfCall == 1 && NOT_RUN_STATUSES.contains(status)) {
        violations.add(id + " ran " + runsOfCall + " times, status " + status);
      }
      if (runsOfCall == 0) {
        Thread.sleep(20);
      }
    }
    assertThat(violations, is(empty()));
    assertThat("requests that ran", runs.size(), is(RUNS));
  }
}
