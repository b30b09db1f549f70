package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

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
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/**
 * Guards against bytes that another entry sends after its response, and that are read as a part of
 * the response to the next relayed request.
 */
class StrayRelayBytesTest {
  private static final String SERVICE = "engine";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String SECOND_RESPONSE =
      "HTTP/1.1 500 Broken\r\nX-Proof: signed\r\nContent-Length: 4\r\n\r\ndone";

  /**
   * What the other entry sends for the first request.
   *
   * @param status the status of its response
   * @param strayBytes bytes that follow the response at once
   * @param lateBytes bytes that follow it late
   */
  record TestCase(String name, int status, String strayBytes, String lateBytes) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<TestCase> testCases() {
    String cutHead = "HTTP/1.1 500 B";
    String body = "the rest of a body";
    return Stream.of(
        new TestCase("nothing else", 200, "", ""),
        new TestCase("a cut head", 200, cutHead, ""),
        new TestCase("a cut head, late", 200, "", cutHead),
        new TestCase("a cut head after an early error", 504, "", cutHead),
        new TestCase("a body", 200, body, ""),
        new TestCase("a body after an early error, late", 504, "", body),
        new TestCase("a second response", 200, SECOND_RESPONSE, ""),
        new TestCase("a second response, late", 200, "", SECOND_RESPONSE),
        new TestCase("a second response after an early error", 504, "", SECOND_RESPONSE));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void nextRelayedRequestGetsItsOwnResponse(TestCase testCase, @TempDir Path folder)
      throws Exception {
    RouteTable table =
        FleetHarness.routeTable(
            List.of(FleetHarness.routeTo(SERVICE, RouteKind.AT_MOST_ONCE, false, 1, TIMEOUT)));
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        RawEndpoint relay =
            new RawEndpoint(
                fleet.vertx(),
                RawEndpoint.ownResponse(testCase.status(), "first") + testCase.strayBytes(),
                testCase.lateBytes())) {
      FleetHarness.Entry entry = fleet.startEntry("north", "north");
      fleet.startEntryRelayedAt("south", "south", relay.port());
      fleet.activateRouteTable(1);
      fleet.keepAnnouncing("e", SERVICE, "south", relay.port());
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, SERVICE, 1);
      try (RawCaller caller = new RawCaller(entry.publicPort())) {
        Optional<RawCaller.Response> first = Optional.empty();
        for (int i = 0; i < 200 && relay.requests() == 0; i++) {
          caller.write(request("first-" + i));
          first = caller.readResponse(false);
          TimeUnit.MILLISECONDS.sleep(2 * RawEndpoint.LATE_MILLIS);
        }
        assertThat(first.toString(), first.orElseThrow().status(), equalTo(testCase.status()));
        caller.write(request("second"));
        RawCaller.Response second = caller.readResponse(false).orElseThrow();
        assertThat(second.toString(), second.status(), equalTo(200));
        assertThat(second.header("X-Request-Id"), equalTo(Optional.of("second")));
        assertThat(second.body(), equalTo(RawEndpoint.OWN_BODY));
      }
    }
  }

  private static String request(String id) {
    return RawCaller.head("POST", "/" + SERVICE + "/x", id, TIMEOUT)
        + RawCaller.lengthAndBody("a body");
  }
}
