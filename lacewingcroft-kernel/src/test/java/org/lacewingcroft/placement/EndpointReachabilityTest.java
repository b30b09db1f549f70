package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests when an endpoint that is suspected of being unreachable is probed. */
class EndpointReachabilityTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final Duration MAX_BACKOFF = Duration.ofMillis(1_500);

  /** A test case: what follows a failed connect, and whether a probe is due at an instant. */
  record Row(String name, Consumer<EndpointReachability> events, long atMillis, boolean probeDue) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("probed at once", r -> {}, 0, true),
        new Row("one probe at a time", EndpointReachability::startProbe, 60_000, false),
        new Row("backoff of the first failure", r -> failProbes(r, 1), 200, false),
        new Row("after that backoff", r -> failProbes(r, 1), 250, true),
        new Row("the backoff grows", r -> failProbes(r, 3), 900, false),
        new Row("up to its maximum", r -> failProbes(r, 60), 1_500, true),
        new Row(
            "data shortens the backoff", EndpointReachabilityTest::dataAfterFailures, 350, true),
        new Row("but does not end it", EndpointReachabilityTest::dataAfterFailures, 300, false));
  }

  private static void failProbes(EndpointReachability reachability, int count) {
    for (int i = 0; i < count; i++) {
      reachability.startProbe();
      reachability.recordProbeFailure(MAX_BACKOFF, START);
    }
  }

  private static void dataAfterFailures(EndpointReachability reachability) {
    failProbes(reachability, 5);
    reachability.recordData(START.plusMillis(100));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void probesUntilTheEndpointIsReached(Row row) {
    EndpointReachability reachability = new EndpointReachability();
    reachability.recordConnectFailure();
    row.events().accept(reachability);
    assertThat(reachability.isProbeDue(START.plusMillis(row.atMillis())), is(row.probeDue()));
    assertThat(reachability.isUnreachable(), is(true));
    reachability.recordProbeSuccess();
    assertThat(reachability.isSuspected(), is(false));
  }
}
