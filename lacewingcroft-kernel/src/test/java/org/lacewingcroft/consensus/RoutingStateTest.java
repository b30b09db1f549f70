package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests which evacuations are active after a series of orders, copies of which arrive late and out
 * of order.
 */
class RoutingStateTest {
  /**
   * An evacuation order as committed to the log.
   *
   * @param domain the failure domain; "a" for orders created by {@link #start} and {@link #end}
   * @param active true to start the evacuation, false to end it
   * @param baseRevision the revision that the order is based on
   */
  record Order(String domain, boolean active, long baseRevision) {
    static Order start(long baseRevision) {
      return new Order("a", true, baseRevision);
    }

    static Order end(long baseRevision) {
      return new Order("a", false, baseRevision);
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
  record Case(String name, List<Order> orders, Set<String> evacuated, long revision) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Case> cases() {
    return Stream.of(
        new Case("begun", List.of(Order.start(0)), Set.of("a"), 1),
        new Case("begun twice", List.of(Order.start(0), Order.start(0)), Set.of("a"), 1),
        new Case("ended", List.of(Order.start(0), Order.end(1)), Set.of(), 2),
        new Case(
            "a copy delayed by a partition arrives after the end",
            List.of(Order.start(0), Order.end(1), Order.start(0)),
            Set.of(),
            2),
        new Case(
            "a copy of the end arrives after a second start",
            List.of(Order.start(0), Order.end(1), Order.start(2), Order.end(1)),
            Set.of("a"),
            3),
        new Case(
            "begun again", List.of(Order.start(0), Order.end(1), Order.start(2)), Set.of("a"), 3),
        new Case(
            "changes of another domain have no effect",
            List.of(Order.start(0), Order.end(1), new Order("b", true, 0)),
            Set.of("b"),
            3));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void lateCopiesHaveNoEffect(Case testCase) {
    RoutingState state = RoutingState.EMPTY;
    for (Order order : testCase.orders()) {
      state = state.withEvacuation(order.domain(), order.active(), order.baseRevision());
    }
    assertThat(state.evacuatedDomains(), equalTo(testCase.evacuated()));
    assertThat(state.revision(), equalTo(testCase.revision()));
  }
}
