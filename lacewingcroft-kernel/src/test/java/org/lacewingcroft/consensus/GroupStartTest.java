package org.lacewingcroft.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests how soon a leader is elected after all members start at the same time, as after a power
 * failure.
 */
class GroupStartTest {
  private static final int MEMBERS = 5;
  private static final long STEP_MILLIS = 5;

  /**
   * Returns the cases: the bounds allow for the election slots and round trips until a leader is
   * elected while 0, 1 or 2 members do not restart.
   */
  static Stream<Case> cases() {
    return IntStream.range(0, 40)
        .boxed()
        .flatMap(
            seed ->
                Stream.of(new Case(seed, 0, 120), new Case(seed, 1, 180), new Case(seed, 2, 240)));
  }

  /**
   * A test case.
   *
   * @param seed seeds the simulation
   * @param missing how many members, the first in the order of ids, do not restart
   * @param maxMillis maximum time until there is a leader, in milliseconds
   */
  record Case(int seed, int missing, long maxMillis) {}

  @ParameterizedTest
  @MethodSource("cases")
  void electsLeaderSoonAfterRestartOfAllMembers(Case testCase) {
    ControlGroup group = new ControlGroup(MEMBERS, testCase.seed());
    group.awaitLeader();
    List<String> ids = group.ids();
    ids.forEach(group::kill);
    group.run(1_000);
    ids.stream().skip(testCase.missing()).forEach(group::restart);
    long elapsedMillis = 0;
    while (elapsedMillis < 5_000 && !group.hasLeader()) {
      group.run(STEP_MILLIS);
      elapsedMillis += STEP_MILLIS;
    }
    assertThat(elapsedMillis, lessThanOrEqualTo(testCase.maxMillis()));
  }
}
