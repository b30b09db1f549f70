package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.RawResponse.Framing;
import org.lacewingcroft.forward.RawResponse.IdPosition;
import org.lacewingcroft.forward.StutteringEndpoint.Moment;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/**
 * Guards against a response that is made up of bytes that an endpoint sent after its response to
 * another request.
 */
class ResponseOfAnotherRequestTest {
  private static final List<String> REGIONS = List.of("north", "south");

  @TempDir private static Path folder;
  private static final FleetCaller CALLER = new FleetCaller();
  private static final Map<String, StutteringEndpoint> ENDPOINTS = new HashMap<>();
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A pair of requests.
   *
   * @param firstStatus the status of the response to the first request
   * @param secondStatus the status of the response to the second request
   * @param lastBytes the end of the repeated part, {@code STATUS} for the first status
   */
  record TestCase(
      String name,
      String region,
      int firstStatus,
      int secondStatus,
      Moment moment,
      String lastBytes)
      implements Stutter {
    @Override
    public RawResponse responseTo(String id) {
      return new RawResponse(
          isFirst(id) ? firstStatus : secondStatus,
          id,
          "signature-" + id,
          "body of " + id,
          Framing.LENGTH,
          IdPosition.LAST);
    }

    @Override
    public String strayBytesAfter(String id) {
      if (!isFirst(id)) {
        return "";
      }
      String repeated = responseTo(id).bytes();
      String end = lastBytes.replace("STATUS", Integer.toString(firstStatus));
      return repeated.substring(0, repeated.indexOf(end) + end.length());
    }

    @Override
    public String toString() {
      return String.format(
          "%s: %d after %d in %s, %s, cut after '%s'",
          name, secondStatus, firstStatus, region, moment, lastBytes);
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (String region : REGIONS) {
      for (int secondStatus : List.of(500, 200)) {
        int firstStatus = secondStatus == 500 ? 200 : 500;
        for (Moment moment : Moment.values()) {
          for (String end : List.of("HTTP/1.1 STATUS ", "HTTP/1.1 STATUS S", "X-Proof: sig")) {
            String name = "c" + cases.size();
            cases.add(new TestCase(name, region, firstStatus, secondStatus, moment, end));
          }
        }
      }
    }
    return cases.stream();
  }

  static Stream<StutterSweep.Group> sweepGroups() {
    return StutterSweep.groups(REGIONS, List.of(StutterSweep.Ids.values()));
  }

  @BeforeAll
  static void start() throws Exception {
    List<Stutter> stutters =
        Stream.<Stutter>concat(testCases(), sweepGroups().flatMap(g -> g.sweeps().stream()))
            .toList();
    List<Route> routes = stutters.stream().map(ResponseOfAnotherRequestTest::routeOf).toList();
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, FleetHarness.routeTable(routes)));
    entry = fleet.startEntry("north", "north");
    final FleetHarness.Entry relay = fleet.startEntry("south", "south");
    fleet.activateRouteTable(1);
    for (Stutter s : stutters) {
      StutteringEndpoint endpoint = new StutteringEndpoint(fleet.vertx(), s.script());
      ENDPOINTS.put(s.name(), endpoint);
      fleet.keepAnnouncing(s.name() + "-1", s.name(), s.region(), endpoint.port());
    }
    fleet.awaitReady(entry);
    fleet.awaitReady(relay);
  }

  private static Route routeOf(Stutter stutter) {
    boolean stream = stutter.responseTo(stutter.id(0, true)).framing() == Framing.EVENT_STREAM;
    RouteKind kind = stream ? RouteKind.STREAM : RouteKind.AT_MOST_ONCE;
    return FleetHarness.routeTo(stutter.name(), kind, false, 1, Duration.ofSeconds(6));
  }

  @AfterAll
  static void stop() throws Exception {
    ENDPOINTS.values().forEach(StutteringEndpoint::close);
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void callerGetsTheStatusOfItsOwnResponse(TestCase testCase) throws Exception {
    CALLER.awaitServed(testCase);
    assertThat(CALLER.sendPair(testCase, ENDPOINTS.get(testCase.name()), 1), is(Optional.empty()));
  }

  @ParameterizedTest
  @MethodSource("sweepGroups")
  void callerGetsItsOwnResponse(StutterSweep.Group group) throws Exception {
    group.run(CALLER, ENDPOINTS);
  }

  /** Sends requests to the entry in north. */
  private static final class FleetCaller extends StutterCaller {
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Override
    protected String call(Stutter stutter, String id) throws Exception {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create(
                      "http://127.0.0.1:" + entry.publicPort() + "/" + stutter.name() + "/x"))
              .POST(HttpRequest.BodyPublishers.ofString("request " + id))
              .header("X-Request-Id", id)
              .header("X-Deadline", "2000")
              .timeout(Duration.ofSeconds(10))
              .build();
      HttpResponse<String> response;
      try {
        response = client.send(request, HttpResponse.BodyHandlers.ofString());
      } catch (IOException e) {
        return "broken off: " + e.getMessage();
      }
      boolean signed = response.headers().firstValue("X-Proof").isPresent();
      // The endpoints respond with no status above 500.
      if (response.statusCode() > 500 && !signed) {
        return response.statusCode() == 503 ? REFUSED_BY_ENTRY : ERROR_OF_ENTRY;
      }
      return format(
          response.statusCode(),
          response.headers().allValues("X-Request-Id"),
          response.headers().allValues("X-Proof"),
          response.body());
    }

    @Override
    protected String describe(RawResponse response) {
      return format(
          response.status(),
          List.of(response.id()),
          List.of(response.signature()),
          response.body());
    }

    @Override
    protected void awaitReceived(String region) throws Exception {
      // The entries share an event loop. It runs a task after it has read its sockets, but the
      // first one perhaps earlier.
      fleet.run(() -> {});
      fleet.run(() -> {});
    }

    private static String format(
        int status, List<String> ids, List<String> signatures, String body) {
      return String.format(
          "%d, id %s, signature %s, '%s'", status, ids, signatures, body.replace("\n", "|"));
    }
  }
}
