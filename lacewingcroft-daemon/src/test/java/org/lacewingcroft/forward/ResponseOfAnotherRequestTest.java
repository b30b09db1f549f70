package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.RawResponse.Framing;
import org.lacewingcroft.forward.RawResponse.IdPosition;
import org.lacewingcroft.forward.StutteringEndpoint.Moment;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Guards against a response that is made up of bytes that an endpoint sent after its response to
 * another request.
 */
class ResponseOfAnotherRequestTest {
  private static final String ERROR_OF_ENTRY = "error of the entry";
  private static final int MAX_TRIES = 200;

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /**
   * A test case with two requests. The endpoint repeats its response to the first one in part.
   *
   * @param region the region of the endpoint; the requests are relayed unless it is "north"
   * @param firstStatus the status of the response to the first request
   * @param secondStatus the status of the response to the second request
   * @param moment when the repeated part is written
   * @param lastBytes the end of the repeated part, {@code STATUS} for the first status
   */
  record TestCase(
      String name,
      String region,
      int firstStatus,
      int secondStatus,
      Moment moment,
      String lastBytes) {
    RawResponse responseTo(String id) {
      return new RawResponse(
          isFirst(id) ? firstStatus : secondStatus,
          id,
          "signature-" + id,
          "body of " + id,
          Framing.LENGTH,
          IdPosition.LAST);
    }

    String strayBytesAfter(String id) {
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
    for (String region : List.of("north", "south")) {
      for (int secondStatus : List.of(500, 200)) {
        int firstStatus = secondStatus == 500 ? 200 : 500;
        for (Moment moment : Moment.values()) {
          for (String end : List.of("HTTP/1.1 STATUS ", "HTTP/1.1 STATUS S", "X-Proof: sig")) {
            String name = "s" + cases.size();
            cases.add(new TestCase(name, region, firstStatus, secondStatus, moment, end));
          }
        }
      }
    }
    return cases.stream();
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
                      testCase.name(), RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(6)));
              services.add(FleetHarness.serviceNamed(testCase.name()));
            });
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    fleet = new FleetHarness(folder.resolve("data"), Map.of(1L, table));
    entry = fleet.startEntry("north", "north");
    final FleetHarness.Entry relay = fleet.startEntry("south", "south");
    fleet.activateRouteTable(1);
    fleet.announce("anywhere", "other", "north", 1, 1);
    fleet.awaitReady(entry);
    fleet.awaitReady(relay);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void callerGetsTheStatusOfItsOwnResponse(TestCase testCase) throws Exception {
    try (StutteringEndpoint endpoint =
        new StutteringEndpoint(
            fleet.vertx(),
            StutteringEndpoint.answeringWithStrayBytes(
                testCase.moment(),
                id -> testCase.responseTo(id).bytes(),
                testCase::strayBytesAfter))) {
      fleet.keepAnnouncing(
          testCase.name() + "-1", testCase.name(), testCase.region(), endpoint.port());
      callUntilPlaced(testCase);
      endpoint.awaitWritten();
      awaitReceived();
      String secondId = testCase.name() + "-b";
      String result = call(testCase.name(), secondId);
      String own = describe(testCase.responseTo(secondId));
      if (testCase.moment() == Moment.AFTER_NEXT_REQUEST) {
        assertThat(result, anyOf(is(own), is(ERROR_OF_ENTRY)));
      } else {
        assertThat(result, is(own));
      }
    }
  }

  private static boolean isFirst(String id) {
    return id.endsWith("-a");
  }

  /** Sends the first request, again while the entry does not know the load of the region. */
  private static void callUntilPlaced(TestCase testCase) throws Exception {
    String id = testCase.name() + "-a";
    String result = ERROR_OF_ENTRY;
    for (int i = 0; i < MAX_TRIES && result.equals(ERROR_OF_ENTRY); i++) {
      TimeUnit.MILLISECONDS.sleep(25);
      result = call(testCase.name(), id);
    }
    assertThat("first response", result, equalTo(describe(testCase.responseTo(id))));
  }

  /** Waits until the entries have read what was written to them before. */
  private static void awaitReceived() throws Exception {
    // A task runs after the event loop has read its sockets, the first one perhaps not once.
    fleet.onContext(Future::succeededFuture);
    fleet.onContext(Future::succeededFuture);
  }

  private static String call(String service, String id) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + service + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("request " + id))
            .header("X-Request-Id", id)
            .header("X-Deadline", "5000")
            .timeout(Duration.ofSeconds(10))
            .build();
    HttpResponse<String> response;
    try {
      response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return "broken off: " + e.getMessage();
    }
    boolean signed = response.headers().firstValue("X-Proof").isPresent();
    return response.statusCode() > 500 && !signed
        ? ERROR_OF_ENTRY
        : describe(
            response.statusCode(),
            response.headers().allValues("X-Request-Id"),
            response.headers().allValues("X-Proof"),
            response.body());
  }

  private static String describe(RawResponse response) {
    return describe(
        response.status(),
        response.idPosition() == IdPosition.NONE ? List.of() : List.of(response.id()),
        List.of(response.signature()),
        response.body());
  }

  private static String describe(
      int status, List<String> ids, List<String> signatures, String body) {
    return String.format("%d, id %s, signature %s, '%s'", status, ids, signatures, body);
  }
}
