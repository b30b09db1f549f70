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
  record Ranked(int rank, long objectiveMillis, String service) {}

  /** A test case: the routes of a table and the expected queue priority of each. */
  record Row(String name, List<Ranked> routes, List<Integer> priorities) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row(
            "shorter objective with lower priority than longer one",
            List.of(new Ranked(0, 1_200, "a"), new Ranked(1, 800, "a")),
            List.of(0, 0)),
        new Row(
            "priorities and objectives in the same order",
            List.of(new Ranked(0, 300, "a"), new Ranked(1, 800, "a")),
            List.of(0, 1)),
        new Row(
            "equal objectives",
            List.of(new Ranked(2, 800, "a"), new Ranked(1, 800, "a")),
            List.of(1, 1)),
        new Row(
            "route of another service is ignored",
            List.of(new Ranked(0, 1_200, "a"), new Ranked(1, 800, "b")),
            List.of(0, 1)),
        new Row(
            "most urgent of several",
            List.of(new Ranked(1, 1_200, "a"), new Ranked(0, 2_000, "a"), new Ranked(3, 900, "a")),
            List.of(0, 0, 0)),
        new Row("alone", List.of(new Ranked(4, 900, "a")), List.of(4)));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void ordersByRankUnlessObjectivesSayOtherwise(Row row) {
    List<Route> routes = new ArrayList<>();
    for (Ranked ranked : row.routes()) {
      routes.add(route("r" + routes.size(), ranked));
    }
    List<ServiceSpec> services =
        Stream.of("a", "b")
            .map(s -> new ServiceSpec(s, 100, Duration.ZERO, 0, Optional.empty()))
            .toList();
    RouteTable table = new RouteTable(1, routes, services, RequestLimits.DEFAULT);
    List<Integer> priorities =
        routes.stream().map(r -> table.queuePriority(r, r.shares().get(0).service())).toList();
    assertThat(priorities, equalTo(row.priorities()));
  }

  private static Route route(String name, Ranked ranked) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        RouteKind.STREAM,
        Duration.ofSeconds(8),
        Duration.ofMillis(ranked.objectiveMillis()),
        ranked.rank(),
        List.of(new ServiceShare(ranked.service(), 1)),
        1,
        false,
        Optional.empty(),
        Set.of(),
        false);
  }
}
