package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;

/**
 * Replays a burst of long responses at an engine of 12 slots: all slots are taken and further long
 * prompts are queued.
 */
class UrgentSlotWaitTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final int SLOTS = 12;
  private static final int LONG_PRIORITY = 2;
  private static final int URGENT_PRIORITY = 0;

  private static PlacementRequest longRequest() {
    return new PlacementRequest(
        "model",
        LONG_PRIORITY,
        100,
        384,
        List.of(),
        Duration.ofMillis(1_500),
        Duration.ofSeconds(10),
        Set.of());
  }

  /**
   * Guards against urgent requests that are refused because of the less urgent ones in the queue,
   * which the engine admits after them. Without a report the order of admission is unknown, and the
   * whole queue counts.
   */
  @ParameterizedTest
  @CsvSource({"true, 6", "true, 20", "false, 20"})
  void lessUrgentQueueDoesNotDelayUrgentRequests(boolean reported, int queued) {
    EndpointRecord record =
        new EndpointRecord(
            "i-1", 0, "model", "10.0.0.1:80", "north-a", SLOTS, EndpointState.READY, 1, 0);
    EndpointTracker endpoint = new EndpointTracker(record, NOW);
    for (int i = 0; i < SLOTS; i++) {
      EndpointTracker.InFlightRequest running =
          endpoint.startRequest(longRequest(), 0, 400_000, NOW);
      running.bytesReceived(NOW.plusMillis(10));
    }
    for (int i = 0; i < queued; i++) {
      endpoint.startRequest(longRequest(), 0, 400_000, NOW.plusMillis(20));
    }
    Instant now = NOW.plusMillis(30);
    if (reported) {
      endpoint.recordReportedLoad(new ReportedLoad(SLOTS, queued, SLOTS, 100, now));
    }
    double urgent = endpoint.waitMillis(URGENT_PRIORITY, now);
    double others = endpoint.waitMillis(LONG_PRIORITY, now);
    if (reported) {
      assertThat(urgent, lessThan(others / 3));
    } else {
      assertThat(urgent, greaterThan(others / 3));
    }
  }
}
