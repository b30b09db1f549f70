package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetBounds;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against streams that are cut because their endpoint is silent for a while. */
class SilentEndpointTest {
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";
  private static final String SERVICE = "engine";

  /** Allows one extra send. */
  private static final FleetBounds ONE_EXTRA_SEND =
      new FleetBounds(
          Duration.ofSeconds(8),
          Duration.ofSeconds(5),
          0,
          0,
          Duration.ofSeconds(10),
          1.5,
          3,
          Optional.empty());

  /**
   * A test case.
   *
   * @param endpointRegion the region of the endpoints; callers use an entry in north
   * @param endpointCount the number of endpoints
   * @param script what the endpoints do with the sends of the requests, in order
   * @param requests the number of requests, one after the other; the last one is checked
   * @param sends the expected number of sends of all requests
   */
  record TestCase(
      String name,
      FleetBounds bounds,
      String endpointRegion,
      int endpointCount,
      List<Action> script,
      int requests,
      int sends) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<TestCase> testCases() {
    FleetBounds bounds = FleetHarness.BOUNDS;
    List<Action> stalls = List.of(Action.STREAM_STALLS);
    return Stream.of(
        new TestCase("only endpoint stalls", bounds, "north", 1, stalls, 1, 1),
        new TestCase("only endpoint stalls behind a relay", bounds, "south", 1, stalls, 1, 1),
        new TestCase(
            "no extra send left",
            ONE_EXTRA_SEND,
            "north",
            2,
            List.of(Action.STREAM_BREAKS, Action.STREAM, Action.STREAM_STALLS),
            2,
            3),
        new TestCase(
            "another endpoint continues",
            bounds,
            "north",
            2,
            List.of(Action.STREAM_HANGS, Action.STREAM),
            1,
            2));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void startedStreamIsCompleted(TestCase testCase, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(SERVICE, RouteKind.STREAM, true, 2, Duration.ofSeconds(8))),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table), testCase.bounds());
        ScriptedEndpoints endpoints =
            new ScriptedEndpoints(fleet.vertx(), testCase.endpointCount(), testCase.script())) {
      FleetHarness.Entry entry = fleet.startEntry("north", "north");
      final FleetHarness.Entry remote = fleet.startEntry("south", "south");
      fleet.activateRouteTable(1);
      for (int port : endpoints.ports()) {
        fleet.keepAnnouncing("e" + port, SERVICE, testCase.endpointRegion(), port);
      }
      fleet.awaitReady(entry);
      fleet.awaitReady(remote);
      fleet.awaitEndpoints(entry, SERVICE, testCase.endpointCount());
      String body = "";
      for (int i = 0; i < testCase.requests(); i++) {
        body = call(entry, "id-" + i).body();
      }
      assertThat(body, equalTo(EVENTS));
      assertThat(endpoints.heads(), hasSize(testCase.sends()));
    }
  }

  /** Sends a request, again while the entry does not know the load of the endpoints' region. */
  private static HttpResponse<String> call(FleetHarness.Entry entry, String id) throws Exception {
    HttpResponse<String> response = callOnce(entry, id);
    for (int i = 0; i < 100 && response.statusCode() == 503; i++) {
      TimeUnit.MILLISECONDS.sleep(50);
      response = callOnce(entry, id);
    }
    return response;
  }

  private static HttpResponse<String> callOnce(FleetHarness.Entry entry, String id)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .header("X-Request-Id", id)
            .header("X-Deadline", "7000")
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }
}
