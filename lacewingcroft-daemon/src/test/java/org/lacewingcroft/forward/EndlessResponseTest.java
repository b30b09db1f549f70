package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.route.RequestLimits;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;
import org.lacewingcroft.route.RouteTable;
import org.lacewingcroft.route.ServiceSpec;

/** Guards against endpoints that send bytes without end, which filled the heap of an entry. */
class EndlessResponseTest {
  private static final long MAX_BYTES_PER_SEND = 16 << 20;

  /** The caller's deadline and some time for a busy machine. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(12);

  static Stream<Arguments> testCases() {
    return Arrays.stream(Action.values())
        .filter(action -> action.name().startsWith("ENDLESS_"))
        .flatMap(
            action ->
                Stream.of(RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE, RouteKind.STREAM)
                    .filter(k -> action != Action.ENDLESS_EVENT || k == RouteKind.STREAM)
                    .flatMap(
                        kind ->
                            Stream.of("north", "south")
                                .filter(r -> r.equals("north") || kind == RouteKind.IDEMPOTENT)
                                .map(region -> Arguments.of(action, kind, region))));
  }

  @ParameterizedTest(name = "{0} {1} {2}")
  @MethodSource("testCases")
  void callerIsAnsweredAndConnectionCloses(
      Action action, RouteKind kind, String region, @TempDir Path folder) throws Exception {
    List<Action> script = new ArrayList<>(Collections.nCopies(100, action));
    script.add(0, kind == RouteKind.STREAM ? Action.STREAM : Action.ANSWER);
    try (OneServiceFleet fleet =
        new OneServiceFleet(
            folder,
            FleetHarness.BOUNDS,
            FleetHarness.routeTo(OneServiceFleet.SERVICE, kind, true, 2, Duration.ofSeconds(5)),
            region,
            1,
            script)) {
      assertThat(fleet.call("complete").get().statusCode(), equalTo(200));
      CompletableFuture<HttpResponse<String>> call = fleet.callOnce("id-1");
      assertThat(
          "status, or empty if the connection was closed",
          status(call).filter(s -> s < 400).isPresent(),
          equalTo(false));
      awaitNoConnection(fleet.endpoints());
      assertThat(fleet.endpoints().openConnections(), equalTo(0));
      int sends = fleet.endpoints().heads().size() - 1;
      assertThat(fleet.endpoints().endlessBytes(), lessThan(sends * MAX_BYTES_PER_SEND));
    }
  }

  /** Guards against health checks whose response does not end. */
  @Test
  void endlessHealthCheckIsClosed(@TempDir Path folder) throws Exception {
    Route route =
        FleetHarness.routeTo(
            OneServiceFleet.SERVICE, RouteKind.AT_MOST_ONCE, false, 1, Duration.ofSeconds(5));
    ServiceSpec service =
        new ServiceSpec(
            OneServiceFleet.SERVICE,
            100,
            Duration.ZERO,
            0,
            Optional.of("/health"),
            Optional.empty());
    RouteTable table = new RouteTable(1, List.of(route), List.of(service), RequestLimits.DEFAULT);
    try (FleetHarness fleet = new FleetHarness(folder, Map.of(1L, table));
        EndlessEndpoint endpoint =
            new EndlessEndpoint(
                fleet.vertx(),
                "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
                "x".repeat(1 << 16))) {
      FleetHarness.Entry entry = fleet.startEntry("north", "north");
      fleet.activateRouteTable(1);
      fleet.keepAnnouncing("e", OneServiceFleet.SERVICE, "north", endpoint.port());
      fleet.awaitReady(entry);
      fleet.awaitEndpoints(entry, OneServiceFleet.SERVICE, 1);
      Instant now = new MonotonicInstantSource().instant();
      fleet.run(() -> entry.node().endpoints().forEach(e -> e.recordConnectFailure(now)));
      for (int i = 0; i < 100 && endpoint.requests() < 2; i++) {
        TimeUnit.MILLISECONDS.sleep(50);
      }
      fleet.stopEntry(entry);
      assertThat(endpoint.awaitNoConnection(), equalTo(0));
      assertThat(endpoint.requests(), greaterThan(1));
      assertThat(endpoint.writtenBytes(), lessThan(endpoint.requests() * MAX_BYTES_PER_SEND));
    }
  }

  private static Optional<Integer> status(CompletableFuture<HttpResponse<String>> call)
      throws Exception {
    try {
      return Optional.of(call.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).statusCode());
    } catch (ExecutionException connectionClosed) {
      return Optional.empty();
    }
  }

  private static void awaitNoConnection(ScriptedEndpoints endpoints) throws InterruptedException {
    for (int i = 0; i < 100 && endpoints.openConnections() > 0; i++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }
}
