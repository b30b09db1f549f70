package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
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
import org.lacewingcroft.forward.EarlyEndpoint.End;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/**
 * Guards against a part of a response being passed on as complete whose endpoint ended the
 * connection while the request was still being written.
 */
class EarlyResponseTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String NOT_COMPLETE = "not complete";
  private static final int REPETITIONS = 2;
  private static final String UPLOAD = "u".repeat(3 << 20);

  @TempDir private static Path folder;
  private static FleetHarness fleet;
  private static FleetHarness.Entry entry;

  /**
   * A test case.
   *
   * @param region the region of the endpoint; the request is relayed unless it is "north"
   * @param response what the endpoint sends
   * @param end how it ends the connection
   * @param delayMillis the time between the response and the end
   */
  record TestCase(
      String service,
      RouteKind kind,
      String region,
      PartialResponse response,
      End end,
      long delayMillis) {
    @Override
    public String toString() {
      return kind + " " + region + " " + response + " " + end + " after " + delayMillis + " ms";
    }
  }

  static Stream<TestCase> testCases() {
    List<TestCase> cases = new ArrayList<>();
    for (RouteKind kind : RouteKind.values()) {
      for (String region : List.of("north", "south")) {
        for (PartialResponse response : PartialResponse.values()) {
          for (End end : End.values()) {
            for (long delayMillis : List.of(0L, 3L, 30L)) {
              String service = "s" + cases.size();
              cases.add(new TestCase(service, kind, region, response, end, delayMillis));
            }
          }
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
  void partOfResponseDuringUploadIsNotComplete(TestCase testCase) throws Exception {
    String bytes = testCase.response().bytes();
    try (EarlyEndpoint endpoint =
        new EarlyEndpoint(bytes, testCase.end(), testCase.delayMillis())) {
      fleet.keepAnnouncing(
          testCase.service() + "-1", testCase.service(), testCase.region(), endpoint.port());
      List<String> outcomes = new ArrayList<>();
      for (int i = 0; i < 200 && outcomes.size() < REPETITIONS; i++) {
        int before = endpoint.requests();
        String outcome = call(testCase.service(), testCase.service() + "-" + i);
        if (endpoint.requests() > before) {
          outcomes.add(outcome);
        }
        TimeUnit.MILLISECONDS.sleep(25);
      }
      assertThat(outcomes, everyItem(equalTo(NOT_COMPLETE)));
      assertThat("requests", outcomes.size(), greaterThanOrEqualTo(1));
    }
  }

  /** Returns the status and the body of a response that is complete and no error of the entry. */
  private static String call(String service, String id) throws IOException {
    try (RawCaller caller = new RawCaller(entry.publicPort())) {
      caller.write(
          RawCaller.head("POST", "/" + service + "/x", id, TIMEOUT)
              + RawCaller.lengthAndBody(UPLOAD));
      return caller
          .readResponse(/* toHead= */ false)
          .filter(r -> r.status() < 500)
          .map(r -> r.status() + " '" + r.body() + "'")
          .orElse(NOT_COMPLETE);
    } catch (EOFException | SocketException brokenOff) {
      return NOT_COMPLETE;
    }
  }
}
