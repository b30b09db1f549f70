package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.io.IOException;
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
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/** Guards against a response being passed on whose status is not that of a final response. */
class InvalidStatusTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String BAD_GATEWAY = "502";

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A test case.
   *
   * @param region the region of the endpoint; the request is relayed unless it is "north"
   */
  record TestCase(String service, RouteKind kind, String region, String status) {
    @Override
    public String toString() {
      return kind + " " + region + " " + status;
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (RouteKind kind : List.of(RouteKind.AT_MOST_ONCE, RouteKind.STREAM)) {
      for (String region : List.of("north", "south")) {
        for (String status : RawResponse.INVALID_STATUSES) {
          cases.add(new TestCase("s" + cases.size(), kind, region, status));
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
    FleetHarness.Entry relay = fleet.startEntry("south", "south");
    fleet.activateAndAwaitReady(1, List.of(entry, relay));
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void invalidStatusOfEndpointIsBadGateway(TestCase testCase) throws Exception {
    try (RawEndpoint endpoint =
        new RawEndpoint(fleet.vertx(), RawResponse.withStatus(testCase.status()), "")) {
      fleet.keepAnnouncing(
          testCase.service() + "-1", testCase.service(), testCase.region(), endpoint.port());
      assertThat(callUntilReceived(entry, testCase.service(), endpoint), equalTo(BAD_GATEWAY));
    }
  }

  static Stream<String> invalidStatuses() {
    return RawResponse.INVALID_STATUSES.stream();
  }

  @ParameterizedTest
  @MethodSource("invalidStatuses")
  void invalidStatusOfRelayIsBadGateway(String status, @TempDir Path data) throws Exception {
    Route route = FleetHarness.routeTo("s", RouteKind.AT_MOST_ONCE, false, 1, TIMEOUT);
    try (FleetHarness relayFleet =
            new FleetHarness(data, Map.of(1L, FleetHarness.routeTable(List.of(route))));
        RawEndpoint relay =
            new RawEndpoint(relayFleet.vertx(), RawResponse.withStatus(status), "")) {
      FleetHarness.Entry sender = relayFleet.startEntry("north", "north");
      relayFleet.startEntryRelayedAt("south", "south", relay.port());
      relayFleet.activateRouteTable(1);
      relayFleet.keepAnnouncing("e", "s", "south", relay.port());
      relayFleet.awaitReady(sender);
      relayFleet.awaitEndpoints(sender, "s", 1);
      assertThat(callUntilReceived(sender, "s", relay), equalTo(BAD_GATEWAY));
    }
  }

  /** Sends requests until one has reached a target, and returns the outcome of that one. */
  private static String callUntilReceived(FleetHarness.Entry to, String service, RawEndpoint target)
      throws Exception {
    String outcome = "not sent";
    for (int i = 0; i < 200 && target.requests() == 0; i++) {
      outcome = call(to, service, service + "-" + i);
      TimeUnit.MILLISECONDS.sleep(25);
    }
    assertThat("requests at the target", target.requests(), greaterThanOrEqualTo(1));
    return outcome;
  }

  /** Returns the status of the response, or how the connection ended without one. */
  private static String call(FleetHarness.Entry to, String service, String id) throws IOException {
    try (RawCaller caller = new RawCaller(to.publicPort())) {
      caller.write(
          RawCaller.head("POST", "/" + service + "/x", id, TIMEOUT)
              + RawCaller.lengthAndBody("body of " + id));
      return caller
          .readResponse(/* toHead= */ false)
          .map(r -> Integer.toString(r.status()))
          .orElse("closed");
    }
  }
}
