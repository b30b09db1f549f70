package org.lacewingcroft.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the queue priorities that result from the priorities and latency objectives of all routes
 * of a service.
 */
class QueuePrioritiesTest {
  /** A route of a table, with its configured priority, latency objective and service. */
  record RouteParameters(int priority, long objectiveMillis, String service) {}

  /** A test case: the routes of a table and the expected queue priority of each. */
  record TestCase(String name, List<RouteParameters> routes, List<Integer> priorities) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<TestCase> rows() {
    return Stream.of(
        new TestCase(
            "shorter objective with lower priority than longer one",
            List.of(new RouteParameters(0, 1_200, "a"), new RouteParameters(1, 800, "a")),
            List.of(0, 0)),
        new TestCase(
            "priorities and objectives in the same order",
            List.of(new RouteParameters(0, 300, "a"), new RouteParameters(1, 800, "a")),
            List.of(0, 1)),
        new TestCase(
            "equal objectives",
            List.of(new RouteParameters(2, 800, "a"), new RouteParameters(1, 800, "a")),
            List.of(1, 1)),
        new TestCase(
            "route of another service is ignored",
            List.of(new RouteParameters(0, 1_200, "a"), new RouteParameters(1, 800, "b")),
            List.of(0, 1)),
        new TestCase(
            "most urgent of several",
            List.of(
                new RouteParameters(1, 1_200, "a"),
                new RouteParameters(0, 2_000, "a"),
                new RouteParameters(3, 900, "a")),
            List.of(0, 0, 0)),
        new TestCase("alone", List.of(new RouteParameters(4, 900, "a")), List.of(4)));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void combinesPrioritiesWithLatencyObjectives(TestCase testCase) {
    List<Route> routes = new ArrayList<>();
    for (RouteParameters parameters : testCase.routes()) {
      routes.add(route("r" + routes.size(), parameters));
    }
    List<ServiceSpec> services =
        Stream.of("a", "b")
            .map(s -> new ServiceSpec(s, 100, Duration.ZERO, 0, Optional.empty(), Optional.empty()))
            .toList();
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    List<Integer> priorities =
        routes.stream().map(r -> table.queuePriority(r, r.shares().get(0).service())).toList();
    assertThat(priorities, equalTo(testCase.priorities()));
  }

  private static Route route(String name, RouteParameters parameters) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        RouteKind.STREAM,
        Duration.ofSeconds(8),
        Duration.ofMillis(parameters.objectiveMillis()),
        parameters.priority(),
        List.of(new ServiceShare(parameters.service(), 1)),
        1,
        false,
        Optional.empty(),
        Set.of(),
        false);
  }
}
