package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.FleetBounds;
import org.lacewingcroft.forward.ScriptedEndpoints.Action;
import org.lacewingcroft.route.RouteKind;

/** Guards against responses that are given up because their endpoint is silent for a while. */
class SilentEndpointTest {
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

  static Stream<Arguments> testCases() {
    FleetBounds bounds = FleetHarness.BOUNDS;
    RouteKind plain = RouteKind.IDEMPOTENT;
    RouteKind stream = RouteKind.STREAM;
    List<Action> stalls = List.of(Action.STREAM_STALLS);
    List<Action> secondStalls = List.of(Action.STREAM_BREAKS, Action.STREAM, Action.STREAM_STALLS);
    List<Action> hangs = List.of(Action.STREAM_HANGS, Action.STREAM);
    List<Action> slow = List.of(Action.SLOW);
    return Stream.of(
        Arguments.of("only endpoint stalls", stream, bounds, "north", 1, stalls, 1, 1),
        Arguments.of("behind a relay", stream, bounds, "south", 1, stalls, 1, 1),
        Arguments.of("no extra send", stream, ONE_EXTRA_SEND, "north", 2, secondStalls, 2, 3),
        Arguments.of("another endpoint continues", stream, bounds, "north", 2, hangs, 1, 2),
        Arguments.of("only endpoint answers late", plain, bounds, "north", 1, slow, 1, 1),
        Arguments.of("late behind a relay", plain, bounds, "south", 1, slow, 1, 1));
  }

  /**
   * Sends requests one after the other and checks the last one.
   *
   * @param script what the endpoints do with the sends of the requests, in order
   * @param sends the expected number of sends of all requests
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("testCases")
  void responseIsCompleted(
      String name,
      RouteKind kind,
      FleetBounds bounds,
      String region,
      int endpointCount,
      List<Action> script,
      int requests,
      int sends,
      @TempDir Path folder)
      throws Exception {
    try (OneServiceFleet fleet =
        new OneServiceFleet(
            folder,
            bounds,
            FleetHarness.routeTo(OneServiceFleet.SERVICE, kind, true, 2, Duration.ofSeconds(8)),
            region,
            endpointCount,
            script)) {
      String body = "";
      for (int i = 0; i < requests; i++) {
        body = fleet.call("id-" + i).get().body();
      }
      String complete = kind == RouteKind.STREAM ? OneServiceFleet.EVENTS : "done";
      assertThat(body, equalTo(complete));
      assertThat(fleet.endpoints().heads(), hasSize(sends));
    }
  }
}
