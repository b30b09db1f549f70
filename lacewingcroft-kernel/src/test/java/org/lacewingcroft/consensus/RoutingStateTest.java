package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Which evacuations are in force after orders, copies of which arrive late and out of turn. */
class RoutingStateTest {
  /** An order as the log commits it; the domain is "a" unless it says otherwise. */
  record Order(String domain, boolean active, long basisRevision) {
    static Order start(long basis) {
      return new Order("a", true, basis);
    }

    static Order end(long basis) {
      return new Order("a", false, basis);
    }
  }

  /** A row: orders in the log's order, and what is evacuated after them at which revision. */
  record Row(String name, List<Order> orders, Set<String> evacuated, long revision) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("begun", List.of(Order.start(0)), Set.of("a"), 1),
        new Row("begun twice", List.of(Order.start(0), Order.start(0)), Set.of("a"), 1),
        new Row("ended", List.of(Order.start(0), Order.end(1)), Set.of(), 2),
        new Row(
            "a copy held up by a cut arrives after the end",
            List.of(Order.start(0), Order.end(1), Order.start(0)),
            Set.of(),
            2),
        new Row(
            "a copy of the end arrives after a second beginning",
            List.of(Order.start(0), Order.end(1), Order.start(2), Order.end(1)),
            Set.of("a"),
            3),
        new Row(
            "begun again", List.of(Order.start(0), Order.end(1), Order.start(2)), Set.of("a"), 3),
        new Row(
            "another domain's changes do not matter",
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
