package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.peer.LoopbackPorts;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;

/** Guards against started streams that are given up for a target that cannot continue them. */
class UnusableTargetTest {
  private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";
  private static final String SERVICE = "engine";
  private static final String CRASHED_SERVICE = "crashed";
  private static final String BODY = "a body";

  /** Distance of two crashes that count separately. */
  private static final long CRASH_DISTANCE_MILLIS = 150;

  /** Shorter than the time after which an endpoint counts as silent. */
  private static final long SHUTDOWN_DELAY_MILLIS = 600;

  /** Runs after the first events have been sent and before their endpoints count as silent. */
  private interface Disturbance {
    void apply(FleetHarness fleet, FleetHarness.Entry entry, FleetHarness.Entry remote)
        throws Exception;
  }

  /**
   * A test case.
   *
   * @param remoteEndpoints the number of endpoints in the other region
   */
  private record TestCase(
      String name, int localEndpoints, int remoteEndpoints, Disturbance disturbance) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Stream<TestCase> testCases() {
    return Stream.of(
        new TestCase("nothing else happens", 1, 0, (f, e, r) -> {}),
        new TestCase(
            "the content is quarantined meanwhile",
            2,
            0,
            (fleet, entry, remote) -> quarantineContent(fleet, entry)),
        new TestCase(
            "the entries of the other region shut down",
            1,
            1,
            (fleet, entry, remote) -> {
              TimeUnit.MILLISECONDS.sleep(SHUTDOWN_DELAY_MILLIS);
              fleet.run(remote.node()::beginShutdown);
            }));
  }

  @ParameterizedTest
  @MethodSource("testCases")
  void startedStreamIsCompleted(TestCase testCase, @TempDir Path folder) throws Exception {
    RouteTable table =
        new RouteTable(
            1,
            List.of(
                FleetHarness.routeTo(SERVICE, RouteKind.STREAM, true, 2, Duration.ofSeconds(8))),
            List.of(FleetHarness.serviceNamed(SERVICE), FleetHarness.serviceNamed(CRASHED_SERVICE)),
            RequestLimits.DEFAULT);
    int endpointCount = testCase.localEndpoints() + testCase.remoteEndpoints();
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        ScriptedEndpoints endpoints =
            new ScriptedEndpoints(fleet.vertx(), endpointCount, List.of(Action.STREAM_STALLS))) {
      final FleetHarness.Entry entry = fleet.startEntry("north", "north");
      final FleetHarness.Entry remote = fleet.startEntry("south", "south");
      fleet.activateRouteTable(1);
      for (int i = 0; i < endpointCount; i++) {
        int port = endpoints.ports().get(i);
        String region = i < testCase.localEndpoints() ? "north" : "south";
        fleet.keepAnnouncing("e" + port, SERVICE, region, port);
      }
      for (int i = 0; i < 3; i++) {
        fleet.keepAnnouncing("c" + i, CRASHED_SERVICE, "north", LoopbackPorts.allocatePort());
      }
      fleet.awaitReady(entry);
      fleet.awaitReady(remote);
      fleet.awaitEndpoints(entry, SERVICE, endpointCount);
      fleet.awaitEndpoints(entry, CRASHED_SERVICE, 3);
      // The load of the other region is reported periodically.
      TimeUnit.MILLISECONDS.sleep(700);
      final CompletableFuture<String> body = call(entry);
      while (endpoints.heads().isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      testCase.disturbance().apply(fleet, entry, remote);
      assertThat(body.get(10, TimeUnit.SECONDS), equalTo(EVENTS));
      assertThat(endpoints.heads(), hasSize(1));
    }
  }

  /** Lets three endpoints appear to have crashed while they ran the content. */
  private static void quarantineContent(FleetHarness fleet, FleetHarness.Entry entry)
      throws Exception {
    RequestFingerprints content =
        RequestFingerprints.ofContent(
            RequestFingerprint.of(
                "POST",
                "127.0.0.1:" + entry.publicPort(),
                "/" + SERVICE + "/x",
                BODY.getBytes(StandardCharsets.UTF_8)));
    for (int i = 0; i < 3; i++) {
      EndpointTracker crashed = endpoints(entry, CRASHED_SERVICE).get(i);
      fleet.run(
          () ->
              entry
                  .node()
                  .quarantine()
                  .onConnectionLost(
                      crashed, content, Collections.nCopies(1, endpoints(entry, SERVICE).get(0))));
      TimeUnit.MILLISECONDS.sleep(CRASH_DISTANCE_MILLIS);
    }
  }

  private static List<EndpointTracker> endpoints(FleetHarness.Entry entry, String service) {
    return entry.node().endpoints().stream()
        .filter(e -> e.record().service().equals(service))
        .toList();
  }

  /** Returns the body of the response, or how the request failed. */
  private static CompletableFuture<String> call(FleetHarness.Entry entry) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + entry.publicPort() + "/" + SERVICE + "/x"))
            .POST(HttpRequest.BodyPublishers.ofString(BODY))
            .header("X-Request-Id", "id")
            .header("X-Deadline", "7000")
            .build();
    return HttpClient.newHttpClient()
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((response, failure) -> failure == null ? response.body() : failure.toString());
  }
}
