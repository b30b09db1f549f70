package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Replays iterations of an event loop in virtual time. */
class EventLoopLoadTest {
  private Instant now = Instant.EPOCH;
  private final EventLoopLoad load = new EventLoopLoad(() -> now);

  /**
   * An iteration.
   *
   * @param idleMillis the time since the previous iteration
   * @param busyMillis its length
   * @param check whether the periodic check runs at its end
   */
  record Iteration(int idleMillis, int busyMillis, boolean check) {}

  private void run(Iteration iteration) {
    now = now.plusMillis(iteration.idleMillis());
    load.activity();
    now = now.plusMillis(iteration.busyMillis());
    if (iteration.check()) {
      load.check();
    }
    load.iterationEnded();
  }

  static Stream<Arguments> waits() {
    Iteration check = new Iteration(0, 1, true);
    return Stream.of(
        Arguments.of("idle before", List.of(check), 40, 0),
        Arguments.of("after a short iteration", List.of(check, new Iteration(50, 3, false)), 0, 3),
        Arguments.of("blocked", List.of(check, new Iteration(50, 2_000, false)), 0, 2_000),
        Arguments.of(
            "blocked, then slow to poll",
            List.of(check, new Iteration(50, 2_000, false)),
            20,
            2_020),
        Arguments.of("blocked, idle since", List.of(check, new Iteration(50, 2_000, true)), 30, 0),
        Arguments.of("suspended while polling", List.of(check), 2_000, 2_000),
        Arguments.of(
            "suspended, second iteration",
            List.of(check, new Iteration(2_000, 1, false)),
            0,
            2_001),
        Arguments.of("check late within tolerance", List.of(check), 149, 0),
        Arguments.of(
            "sustained overload",
            List.of(check, new Iteration(0, 300, true), new Iteration(0, 400, true)),
            1,
            400));
  }

  /**
   * Guards against requests that are taken to have arrived when they are read: after a block of 2 s
   * they were sent to endpoints with deadlines 2 s too long. Also guards against an idle event loop
   * that is taken for a late one.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("waits")
  void boundsHowLongDataWaitedUnread(
      String name, List<Iteration> iterations, int idleMillis, int expectedMillis) {
    iterations.forEach(this::run);
    now = now.plusMillis(idleMillis);
    load.activity();
    long waited = Duration.between(load.unreadSince(), now).toMillis();
    // The poll between two iterations counts too.
    assertThat((double) waited, closeTo(expectedMillis, 1));
  }

  /** Guards against a process that started late being taken for one that was suspended. */
  @Test
  void assumesNoWaitBeforeFirstCheck() {
    now = now.plusSeconds(3);
    load.activity();
    assertThat(load.unreadSince(), is(now));
  }

  /**
   * Guards against refusing all requests after one long iteration, and against admitting them while
   * every iteration is long.
   */
  @ParameterizedTest
  @CsvSource({"5,2000,5", "2000,5,5", "300,400,300"})
  void expectsOnlyRepeatedDelaysToContinue(int firstMillis, int secondMillis, int expectedMillis) {
    run(new Iteration(0, firstMillis, true));
    run(new Iteration(1, secondMillis, true));
    assertThat(load.expectedIteration(), is(Duration.ofMillis(expectedMillis)));
  }

  /** Guards against reports of pressure that miss a busy event loop or outlast it. */
  @ParameterizedTest
  @CsvSource({"0,0", "25,0.25", "50,0.5", "100,1"})
  void averagesTheBusyShare(int busyMillisOf100, double expected) {
    for (int i = 0; i < 50; i++) {
      run(new Iteration(100 - busyMillisOf100, busyMillisOf100, true));
    }
    assertThat(load.utilization(), closeTo(expected, 0.02));
    for (int i = 0; i < 30; i++) {
      run(new Iteration(100, 0, true));
    }
    assertThat(load.utilization(), lessThan(0.06));
  }

  /** Guards against a delay that is reported long after the event loop has caught up. */
  @Test
  void reportsTheDelayOfTheLastIterationsOnly() {
    run(new Iteration(0, 1, true));
    run(new Iteration(50, 700, true));
    assertThat(load.currentDelay(), is(Duration.ofMillis(700)));
    for (int i = 0; i < 3; i++) {
      run(new Iteration(100, 0, true));
    }
    assertThat(load.currentDelay(), is(Duration.ZERO));
  }
}
