package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests which evacuations are active after a series of orders of which copies arrive late and out of order.
 */
class RoutingStateTest {
  /**
   * An evacuation order as committed to the log.
   *
   * @param domain the failure domain; "a" unless stated otherwise
   * @param active true to start the evacuation, false to end it
   * @param baseRevision the revision that the order is based on
   */
  record Order(String domain, boolean active, long basisRevision) {
    static Order start(long basis) {
      return new Order("a", true, basis);
    }

    static Order end(long basis) {
      return new Order("a", false, basis);
    }
  }

  /**
   * A test case.
   *
   * @param name the display name
   * @param orders the orders in the order in which they are committed
   * @param evacuated the domains evacuated after them
   * @param revision the revision after them
   */
  record Row(String name, List<Order> orders, Set<String> evacuated, long revision) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("started", List.of(Order.start(0)), Set.of("a"), 1),
        new Row("started twice", List.of(Order.start(0), Order.start(0)), Set.of("a"), 1),
        new Row("ended", List.of(Order.start(0), Order.end(1)), Set.of(), 2),
        new Row(
            "a copy delayed by a partition arrives after the end",
            List.of(Order.start(0), Order.end(1), Order.start(0)),
            Set.of(),
            2),
        new Row(
            "a copy of the end arrives after a second start",
            List.of(Order.start(0), Order.end(1), Order.start(2), Order.end(1)),
            Set.of("a"),
            3),
        new Row(
            "started again", List.of(Order.start(0), Order.end(1), Order.start(2)), Set.of("a"), 3),
        new Row(
            "changes of another domain have no effect",
            List.of(Order.start(0), Order.end(1), new Order("b", true, 0)),
            Set.of("b"),
            3));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void lateCopiesChangeNothing(Row row) {
    RoutingState state = RoutingState.EMPTY;
    for (Order order : row.orders()) {
      state = state.evacuated(order.domain(), order.active(), order.basisRevision());
    }
    assertThat(state.evacuatedDomains(), equalTo(row.evacuated()));
    assertThat(state.revision(), equalTo(row.revision()));
  }
}
