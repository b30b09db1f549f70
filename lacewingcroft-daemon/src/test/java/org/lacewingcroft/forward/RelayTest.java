package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Future;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/**
 * Checks requests whose only endpoint is in another region: they are relayed by exactly one hop,
 * with the same delivery guarantees and cancellation as within one region.
 */
class RelayTest {
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry north;
  private static FleetHarness.Entry south;

  /**
   * A test case.
   *
   * @param homeRegion the only region that may run the request, empty for any
   * @param script what the endpoint does with the sends of the request, in order
   * @param status the expected status, 0 if the caller disconnects
   * @param body the expected body, not checked if empty
   * @param sends the expected number of sends to the endpoint
   */
  record TestCase(
      String name,
      RouteKind kind,
      String homeRegion,
      List<Action> script,
      int status,
      String body,
      int sends) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<TestCase> testCases() {
    RouteKind once = RouteKind.AT_MOST_ONCE;
    return Stream.of(
        new TestCase("relayed", once, "", List.of(Action.ANSWER), 200, "done", 1),
        new TestCase(
            "relayed-stream", RouteKind.STREAM, "", List.of(Action.STREAM), 200, EVENTS, 1),
        new TestCase("relayed-error", once, "", List.of(Action.ERROR), 500, "done", 1),
        new TestCase("relayed-full", once, "", List.of(Action.FULL), 503, "", 1),
        new TestCase("relayed-closed", once, "", List.of(Action.CLOSE), 502, "", 1),
        new TestCase("bound-south", once, "south", List.of(Action.ANSWER), 200, "done", 1),
        new TestCase("bound-north", once, "north", List.of(), 503, "", 0),
        new TestCase("left", RouteKind.IDEMPOTENT, "", List.of(Action.HANG), 0, "", 1));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes = testCases().map(RelayTest::routeOf).toList();
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, FleetHarness.routeTable(routes)));
    north = fleet.startEntry("north", "north");
    south = fleet.startEntry("south", "south");
    fleet.activateAndAwaitReady(1, List.of(north, south));
  }

  private static Route routeOf(TestCase testCase) {
    Set<String> homeRegions =
        testCase.homeRegion().isEmpty() ? Set.of() : Set.of(testCase.homeRegion());
    return FleetHarness.routeTo(
        testCase.name(), testCase.kind(), false, 1, Duration.ofSeconds(6), homeRegions);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  private static void awaitServedBySouth(String service) throws Exception {
    for (int i = 0; i < 400; i++) {
      boolean served =
          fleet.onContext(
              () ->
                  Future.succeededFuture(
                      !north.node().entriesOf("south").isEmpty()
                          && north
                              .node()
                              .regionLoads()
                              .serves(
                                  "south",
                                  service,
                                  new org.lacewingcroft.misc.MonotonicInstantSource().instant())));
      if (served) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(25);
    }
    throw new AssertionError(
        "entry north has not received the load of region south for " + service);
  }

  private static HttpRequest request(String service, Duration timeout) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + north.publicPort() + "/" + service + "/x"))
        .POST(HttpRequest.BodyPublishers.ofString("a body"))
        .header("X-Request-Id", "id-" + service)
        .header("X-Deadline", "5000")
        .header(ForwardContext.HANDLING_HEADER, "forged")
        .timeout(timeout)
        .build();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void respondsAsExpectedOverOneHop(TestCase testCase) throws Exception {
    try (ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 1, testCase.script())) {
      fleet.keepAnnouncing(testCase.name() + 1, testCase.name(), "south", endpoints.ports().get(0));
      awaitServedBySouth(testCase.name());
      if (testCase.status() == 0) {
        assertCancelledAfterDisconnect(testCase, endpoints);
        return;
      }
      HttpResponse<String> response =
          HttpClient.newHttpClient()
              .send(
                  request(testCase.name(), Duration.ofSeconds(10)),
                  HttpResponse.BodyHandlers.ofString());
      assertThat(response.statusCode(), equalTo(testCase.status()));
      if (!testCase.body().isEmpty()) {
        assertThat(response.body(), equalTo(testCase.body()));
      }
      assertThat(
          "headers between entries do not reach callers",
          response.headers().firstValue(CallerResponse.NOT_RUN_HEADER).isPresent(),
          equalTo(false));
      assertThat(endpoints.heads(), hasSize(testCase.sends()));
      for (String head : endpoints.heads()) {
        assertThat(head, not(containsString("x-lacewingcroft")));
        assertThat(head, containsString("x-expect: " + testCase.name() + 1));
      }
    }
  }

  private static void assertCancelledAfterDisconnect(TestCase testCase, ScriptedEndpoints endpoints)
      throws Exception {
    try (Socket caller = new Socket("127.0.0.1", north.publicPort())) {
      String head =
          "POST /left/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: id\r\n"
              + "X-Deadline: 5000\r\nContent-Length: 0\r\n\r\n";
      caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().flush();
      for (int i = 0; i < 200 && endpoints.heads().isEmpty(); i++) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertThat(endpoints.heads(), hasSize(testCase.sends()));
    }
    for (int i = 0; i < 200 && endpoints.openConnections() > 0; i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat("cancelled at the endpoint", endpoints.openConnections(), equalTo(0));
  }

  @Test
  void refusesRelaysWithoutHopTag() throws IOException, InterruptedException {
    HttpRequest forged =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + south.relayPort() + "/relayed/x"))
            .POST(HttpRequest.BodyPublishers.noBody())
            .header("X-Request-Id", "id")
            .header(ForwardContext.HANDLING_HEADER, "r;relayed;IDEMPOTENT;false;0;1;800;5000")
            .header(ForwardContext.DUE_MILLIS_HEADER, "5000")
            .build();
    HttpResponse<String> response =
        HttpClient.newHttpClient().send(forged, HttpResponse.BodyHandlers.ofString());
    assertThat(response.statusCode(), equalTo(400));
  }
}
