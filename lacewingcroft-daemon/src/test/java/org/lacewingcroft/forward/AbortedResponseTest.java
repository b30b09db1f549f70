package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against responses that an entry ends early without counting the cause. */
class AbortedResponseTest {
  private static final String SERVICE = "engine";

  /**
   * A test case.
   *
   * @param endpointRegion the region of the endpoint; the caller uses an entry in north
   * @param timeout the route's timeout
   * @param shutsDown whether the entry shuts down during the response
   * @param cause the expected cause
   */
  record TestCase(
      String endpointRegion, Action action, Duration timeout, boolean shutsDown, String cause) {
    @Override
    public String toString() {
      return endpointRegion + " " + cause;
    }
  }

  static Stream<TestCase> testCases() {
    Duration longTimeout = Duration.ofSeconds(8);
    return Stream.of(
        new TestCase("north", Action.STREAM_BREAKS, longTimeout, false, "endpoint_failed"),
        new TestCase("south", Action.STREAM_BREAKS, longTimeout, false, "relay_failed"),
        new TestCase("north", Action.STREAM_HANGS, Duration.ofMillis(600), false, "due"),
        new TestCase("north", Action.STREAM_HANGS, longTimeout, true, "shutdown"),
        new TestCase("south", Action.STREAM_HANGS, longTimeout, true, "shutdown"));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void countsTheCause(TestCase testCase, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(FleetHarness.routeTo(SERVICE, RouteKind.STREAM, false, 1, testCase.timeout())),
            List.of(FleetHarness.serviceNamed(SERVICE)),
            RequestLimits.DEFAULT);
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        ScriptedEndpoints endpoints =
            new ScriptedEndpoints(fleet.vertx(), 1, List.of(testCase.action()))) {
      FleetHarness.Entry entry = fleet.startEntry("north", "north");
      FleetHarness.Entry remote = fleet.startEntry("south", "south");
      fleet.activateRouteTable(1);
      int port = endpoints.ports().get(0);
      fleet.keepAnnouncing("e" + port, SERVICE, testCase.endpointRegion(), port);
      fleet.awaitReady(entry);
      fleet.awaitReady(remote);
      fleet.awaitEndpoints(entry, SERVICE, 1);
      if (testCase.shutsDown()) {
        fleet
            .vertx()
            .setPeriodic(
                20,
                id -> {
                  if (!endpoints.heads().isEmpty()) {
                    fleet.vertx().cancelTimer(id);
                    fleet.vertx().setTimer(200, t -> entry.server().abortInFlight());
                  }
                });
      }
      assertThrows(IOException.class, () -> callUntilSent(entry));
      double counted =
          fleet.onContext(
              () ->
                  Future.succeededFuture(
                      entry.metrics().abortedResponses.labelValues(testCase.cause()).get()));
      assertThat(counted, equalTo(1.0));
    }
  }

  /** Sends a request, again while the entry does not know the load of the endpoint's region. */
  private static void callUntilSent(FleetHarness.Entry entry) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .header("X-Request-Id", "id")
            .header("X-Deadline", "7000")
            .build();
    HttpClient client = HttpClient.newHttpClient();
    for (int i = 0; i < 100; i++) {
      client.send(request, HttpResponse.BodyHandlers.ofString());
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }
}
