package org.lacewingcroft.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against deferred actions that run after their step of a call has ended. */
class CallStepsTest {
  static Stream<Arguments> meanwhile() {
    return Stream.of(
        Arguments.of("nothing happens", (Consumer<CallSteps>) steps -> {}, 1),
        Arguments.of("the next step begins", (Consumer<CallSteps>) CallSteps::next, 0),
        Arguments.of("the call ends", (Consumer<CallSteps>) CallSteps::end, 0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("meanwhile")
  void deferredActionRunsInItsStepOnly(String name, Consumer<CallSteps> meanwhile, int runs) {
    CallSteps steps = new CallSteps();
    steps.next();
    AtomicInteger actualRuns = new AtomicInteger();
    Runnable deferred = steps.defer(actualRuns::incrementAndGet);
    meanwhile.accept(steps);
    deferred.run();
    assertThat(actualRuns.get(), equalTo(runs));
  }
}
