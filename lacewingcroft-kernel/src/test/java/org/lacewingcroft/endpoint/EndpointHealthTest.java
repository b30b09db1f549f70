package org.lacewingcroft.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointHealthTest {
  private static final Instant T0 = Instant.EPOCH;

  @ParameterizedTest
  @CsvSource({
    "1, 999, true",
    "1, 1000, false",
    "2, 1999, true",
    "2, 2000, false",
    "9, 31999, true",
    "9, 32000, false"
  })
  void passesOverLongerAfterEachFailure(int failures, long laterMillis, boolean passedOver) {
    EndpointHealth health = new EndpointHealth(Duration.ofSeconds(1));
    for (int i = 0; i < failures; i++) {
      health.recordFailure("e1", T0);
    }
    assertThat(health.endpointsInBackoff(T0.plusMillis(laterMillis)).contains("e1"), is(passedOver));
    health.recordSuccess("e1");
    assertThat(health.endpointsInBackoff(T0), is(Set.of()));
  }

  /** A success of another request says nothing of the pause that the endpoint asked for. */
  @Test
  void pauseLastsAsLongAsTheEndpointAskedFor() {
    EndpointHealth health = new EndpointHealth(Duration.ofSeconds(1));
    health.recordPause("e1", Duration.ofSeconds(3), T0);
    health.recordPause("e1", Duration.ofSeconds(1), T0.plusMillis(100));
    health.recordSuccess("e1");
    assertThat(health.remainingPauses(T0.plusMillis(2_999)), is(Map.of("e1", Duration.ofMillis(1))));
    assertThat(health.remainingPauses(T0.plusMillis(3_000)), is(Map.of()));
  }

  /** A late announcement must not undo a newer one that says the endpoint is leaving. */
  @Test
  void lateAnnouncementDoesNotUndoDraining() {
    EndpointDirectory directory =
        EndpointDirectory.EMPTY.with(announcement(2, true)).with(announcement(1, false));
    assertThat(directory.get("e1").orElseThrow().draining(), is(true));
    assertThat(
        directory.with(announcement(3, false)).get("e1").orElseThrow().draining(), is(false));
  }

  private static Endpoint announcement(long sequence, boolean draining) {
    return new Endpoint(
        "e1",
        "http://127.0.0.1:1",
        "uusimaa",
        "uusimaa-a",
        EndpointKind.ENGINE,
        Map.of(),
        Set.of("writer"),
        4,
        false,
        draining,
        0,
        Set.of(),
        sequence,
        T0.plusSeconds(3));
  }
}
