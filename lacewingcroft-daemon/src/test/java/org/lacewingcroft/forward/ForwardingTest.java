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
import org.lacewingcroft.forward.ScriptedEndpoints.Act;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/** Checks the response to the caller and the number of sends for various endpoint failures. */
class ForwardingTest {
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";
  private static final int CUT = 0;
  private static final Duration TIMEOUT = Duration.ofSeconds(8);

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A test case.
   *
   * @param script what the endpoints do with the sends of the request, in order
   * @param status the expected status, {@link #CUT} if the connection is aborted
   * @param body the expected body, not checked if empty
   * @param sends the expected number of sends
   */
  record Row(
      String name,
      RouteKind kind,
      boolean resumable,
      int attempts,
      List<Act> script,
      int status,
      String body,
      int sends) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    RouteKind safe = RouteKind.IDEMPOTENT;
    RouteKind once = RouteKind.AT_MOST_ONCE;
    RouteKind stream = RouteKind.STREAM;
    return Stream.of(
        new Row("whole", once, false, 1, List.of(Act.ANSWER), 200, "done", 1),
        new Row("error-once", once, false, 2, List.of(Act.ERROR), 500, "done", 1),
        new Row("error-again", safe, false, 2, List.of(Act.ERROR), 200, "done", 2),
        new Row("errors", safe, false, 2, List.of(Act.ERROR, Act.ERROR), 500, "done", 2),
        new Row("error-then-full", safe, false, 2, List.of(Act.ERROR, Act.FULL), 500, "done", 2),
        new Row("503-then-full", safe, false, 2, List.of(Act.PLAIN_503, Act.FULL), 502, "", 2),
        new Row("full-once", once, false, 1, List.of(Act.FULL), 200, "done", 2),
        new Row("incarnation", once, false, 1, List.of(Act.OTHER_INSTANCE), 200, "done", 2),
        new Row("plain-503", once, false, 2, List.of(Act.PLAIN_503), 502, "", 1),
        new Row("closed-once", once, false, 2, List.of(Act.CLOSE), 502, "", 1),
        new Row("closed-safe", safe, false, 2, List.of(Act.CLOSE), 200, "done", 2),
        new Row("unsigned-safe", safe, false, 2, List.of(Act.UNSIGNED), 200, "done", 2),
        new Row("unsigned-once", once, false, 2, List.of(Act.UNSIGNED), 502, "", 1),
        new Row("other-id", once, false, 2, List.of(Act.OTHER_ID), 502, "", 1),
        new Row("unframed", once, false, 1, List.of(Act.UNFRAMED), 200, "done", 1),
        new Row("unframed-reset", once, false, 1, List.of(Act.UNFRAMED_RESET), 502, "", 1),
        new Row("truncated", once, false, 1, List.of(Act.TRUNCATED), 502, "", 1),
        new Row("truncated-safe", safe, false, 2, List.of(Act.TRUNCATED), 200, "done", 2),
        new Row("hangs-safe", safe, false, 2, List.of(Act.HANG), 200, "done", 2),
        new Row("slow-single", safe, false, 1, List.of(Act.SLOW), 200, "done", 1),
        new Row("stream", stream, true, 2, List.of(Act.STREAM), 200, EVENTS, 1),
        new Row("resumed", stream, true, 2, List.of(Act.STREAM_BREAKS, Act.STREAM), 200, EVENTS, 2),
        new Row("broken", stream, false, 2, List.of(Act.STREAM_BREAKS), CUT, "", 1),
        new Row("spent", stream, true, 1, List.of(Act.STREAM_BREAKS), CUT, "", 1));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Route> routes = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    rows()
        .forEach(
            row -> {
              routes.add(
                  FleetHarness.routeTo(
                      row.name(), row.kind(), row.resumable(), row.attempts(), TIMEOUT));
              services.add(FleetHarness.serviceNamed(row.name()));
            });
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("entry", "north");
    fleet.route(1);
    fleet.awaitReady(entry);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("rows")
  void answersHonestly(Row row) throws Exception {
    try (ScriptedEndpoints endpoints = new ScriptedEndpoints(fleet.vertx(), 2, row.script())) {
      for (int port : endpoints.ports()) {
        fleet.announce(row.name() + port, row.name(), "north", port, 1);
      }
      fleet.awaitEndpoints(entry, row.name(), 2);
      int status = CUT;
      String body = "";
      try {
        HttpResponse<String> response = call(row.name());
        status = response.statusCode();
        body = response.body();
      } catch (java.io.IOException cut) {
        assertThat(
            "only a test case with status CUT may abort the connection", row.status(), equalTo(CUT));
      }
      assertThat(status, equalTo(row.status()));
      if (!row.body().isEmpty()) {
        assertThat(body, equalTo(row.body()));
      }
      assertThat(endpoints.heads(), hasSize(row.sends()));
      assertThat(endpoints.heads().get(0), containsString("x-expect: " + row.name()));
      if (row.name().equals("resumed")) {
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
