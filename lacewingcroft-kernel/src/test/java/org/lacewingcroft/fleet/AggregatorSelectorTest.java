package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests which control instance an entry of the region "north" sends its updates to. */
class AggregatorSelectorTest {
  private static final Instant START = Instant.EPOCH.plusSeconds(100);
  private static final Duration STEP = Duration.ofMillis(100);

  /**
   * The behaviour of a control instance, in steps of 100 ms.
   *
   * @param heartbeatsUntil the step from which it sends no heartbeats
   * @param batchesUntil the step from which it sends no batches
   */
  private record Control(String address, String region, int heartbeatsUntil, int batchesUntil) {
    private static Control healthy(String address, String region) {
      return new Control(address, region, 100, 100);
    }
  }

  static Stream<Arguments> cases() {
    Control near = Control.healthy("10.0.0.1:7", "north");
    Control alsoNear = Control.healthy("10.0.0.2:7", "north");
    Control far = Control.healthy("10.0.0.0:7", "south");
    Control crashes = new Control("10.0.0.1:7", "north", 10, 10);
    Control neverSendsBatches = new Control("10.0.0.1:7", "north", 100, 0);
    Control stopsSendingBatches = new Control("10.0.0.1:7", "north", 100, 20);
    return Stream.of(
        Arguments.of("no control instance has sent a heartbeat", List.of(), 5, Optional.empty()),
        Arguments.of(
            "an instance of the entry's region is preferred", List.of(far, near), 5, name(near)),
        Arguments.of("the first of two by address", List.of(alsoNear, near), 5, name(near)),
        Arguments.of("one of another region if it is the only one", List.of(far), 5, name(far)),
        Arguments.of(
            "the next one after a crash", List.of(crashes, alsoNear, far), 30, name(alsoNear)),
        Arguments.of("one of another region after a crash", List.of(crashes, far), 30, name(far)),
        Arguments.of("none after the last one crashes", List.of(crashes), 30, Optional.empty()),
        Arguments.of(
            "not one that never sends batches", List.of(neverSendsBatches, far), 20, name(far)),
        Arguments.of(
            "not one that stops sending batches", List.of(stopsSendingBatches, far), 35, name(far)),
        Arguments.of(
            "selected again after the backoff",
            List.of(neverSendsBatches, far),
            41,
            name(neverSendsBatches)));
  }

  private static Optional<String> name(Control control) {
    return Optional.of(control.address());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void selectsBestCandidateThatSendsBatches(
      String name, List<Control> controls, int steps, Optional<String> expected) {
    AggregatorSelector selector = new AggregatorSelector("north");
    Optional<String> selected = Optional.empty();
    for (int step = 0; step <= steps; step++) {
      Instant now = START.plus(STEP.multipliedBy(step));
      for (Control control : controls) {
        if (step < control.heartbeatsUntil()) {
          selector.onControlPulse(control.address(), control.region(), now);
        }
        if (step < control.batchesUntil()) {
          selector.onBatch(control.address());
        }
      }
      selected = selector.select(now);
      selector.onUpdateSent(now);
    }
    assertThat(selected, is(expected));
  }
}
