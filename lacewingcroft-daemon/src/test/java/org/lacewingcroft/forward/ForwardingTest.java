package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/** Checks the response to the caller and the number of sends for various endpoint failures. */
class ForwardingTest {
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

  /** The status of a test case in which the entry closes the connection within the response. */
  private static final int ABORTED = 0;

  private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(8);

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A test case.
   *
   * @param script what the endpoints do with the sends of the request, in order
   * @param status the expected status, {@link #ABORTED} if the connection is aborted
   * @param body the expected body, not checked if empty
   * @param sends the expected number of sends
   */
  record TestCase(
      String name,
      RouteKind kind,
      boolean resumable,
      int attempts,
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
    RouteKind idempotent = RouteKind.IDEMPOTENT;
    RouteKind once = RouteKind.AT_MOST_ONCE;
    RouteKind stream = RouteKind.STREAM;
    return Stream.of(
        new TestCase("whole", once, false, 1, List.of(Action.ANSWER), 200, "done", 1),
        new TestCase("error-once", once, false, 2, List.of(Action.ERROR), 500, "done", 1),
        new TestCase("error-again", idempotent, false, 2, List.of(Action.ERROR), 200, "done", 2),
        new TestCase(
            "errors", idempotent, false, 2, List.of(Action.ERROR, Action.ERROR), 500, "done", 2),
        new TestCase(
            "error-then-full",
            idempotent,
            false,
            2,
            List.of(Action.ERROR, Action.FULL),
            500,
            "done",
            2),
        new TestCase(
            "503-then-full",
            idempotent,
            false,
            2,
            List.of(Action.PLAIN_503, Action.FULL),
            502,
            "",
            2),
        new TestCase("full-once", once, false, 1, List.of(Action.FULL), 200, "done", 2),
        new TestCase("incarnation", once, false, 1, List.of(Action.OTHER_INSTANCE), 200, "done", 2),
        new TestCase("plain-503", once, false, 2, List.of(Action.PLAIN_503), 502, "", 1),
        new TestCase("closed-once", once, false, 2, List.of(Action.CLOSE), 502, "", 1),
        new TestCase("closed-safe", idempotent, false, 2, List.of(Action.CLOSE), 200, "done", 2),
        new TestCase(
            "unsigned-safe", idempotent, false, 2, List.of(Action.UNSIGNED), 200, "done", 2),
        new TestCase("unsigned-once", once, false, 2, List.of(Action.UNSIGNED), 502, "", 1),
        new TestCase("other-id", once, false, 2, List.of(Action.OTHER_ID), 502, "", 1),
        new TestCase("unframed", once, false, 1, List.of(Action.UNFRAMED), 200, "done", 1),
        new TestCase("unframed-reset", once, false, 1, List.of(Action.UNFRAMED_RESET), 502, "", 1),
        new TestCase("truncated", once, false, 1, List.of(Action.TRUNCATED), 502, "", 1),
        new TestCase(
            "truncated-safe", idempotent, false, 2, List.of(Action.TRUNCATED), 200, "done", 2),
        new TestCase("hangs-safe", idempotent, false, 2, List.of(Action.HANG), 200, "done", 2),
        new TestCase("slow-single", idempotent, false, 1, List.of(Action.SLOW), 200, "done", 1),
        new TestCase("stream", stream, true, 2, List.of(Action.STREAM), 200, EVENTS, 1),
        new TestCase(
            "resumed",
            stream,
            true,
            2,
            List.of(Action.STREAM_BREAKS, Action.STREAM),
            200,
            EVENTS,
            2),
        new TestCase("broken", stream, false, 2, List.of(Action.STREAM_BREAKS), ABORTED, "", 1),
        new TestCase("spent", stream, true, 1, List.of(Action.STREAM_BREAKS), ABORTED, "", 1),
        new TestCase(
            "unframed-stream", stream, false, 1, List.of(Action.UNFRAMED_STREAM), 200, EVENTS, 1),
        new TestCase(
            "unframed-broken",
            stream,
            false,
            1,
            List.of(Action.UNFRAMED_STREAM_BREAKS),
            ABORTED,
            "",
            1),
        new TestCase(
            "unframed-resumed",
            stream,
            true,
            2,
            List.of(Action.UNFRAMED_STREAM_BREAKS, Action.UNFRAMED_STREAM),
            200,
            EVENTS,
            2),
        new TestCase(
            "unframed-empty",
            stream,
            true,
            2,
            List.of(Action.UNFRAMED_STREAM_EMPTY, Action.UNFRAMED_STREAM),
            200,
            EVENTS,
            2),
        new TestCase(
            "unframed-stream-reset",
            stream,
            true,
            2,
            List.of(Action.UNFRAMED_STREAM_RESET, Action.STREAM),
            200,
            EVENTS,
            2));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    testCases()
        .forEach(
            testCase -> {
              routes.add(
                  FleetHarness.routeTo(
                      testCase.name(),
                      testCase.kind(),
                      testCase.resumable(),
                      testCase.attempts(),
                      ROUTE_TIMEOUT));
              services.add(FleetHarness.serviceNamed(testCase.name()));
            });
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("entry", "north");
    fleet.activateRouteTable(1);
    fleet.awaitReady(entry);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void respondsAndSendsAsExpected(TestCase testCase) throws Exception {
    try (ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 2, testCase.script())) {
      for (int port : endpoints.ports()) {
        fleet.keepAnnouncing(testCase.name() + port, testCase.name(), "north", port);
      }
      fleet.awaitEndpoints(entry, testCase.name(), 2);
      int status = ABORTED;
      String body = "";
      try {
        HttpResponse<String> response = call(testCase.name());
        status = response.statusCode();
        body = response.body();
      } catch (java.io.IOException aborted) {
        assertThat(
            "only a test case with status ABORTED may abort the connection",
            testCase.status(),
            equalTo(ABORTED));
      }
      assertThat(status, equalTo(testCase.status()));
      if (!testCase.body().isEmpty()) {
        assertThat(body, equalTo(testCase.body()));
      }
      assertThat(endpoints.heads(), hasSize(testCase.sends()));
      assertThat(endpoints.heads().get(0), containsString("x-expect: " + testCase.name()));
      if (testCase.name().equals("resumed")) {
        assertThat(RawRequests.header(endpoints.heads().get(1), "last-event-id"), equalTo("1"));
      }
    }
  }

  private static HttpResponse<String> call(String service) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + service + "/x?y=1"))
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .header("X-Request-Id", "id-" + service)
            .header("X-Deadline", "7000")
            .header("X-Expect", "forged")
            .timeout(Duration.ofSeconds(10))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }
}
