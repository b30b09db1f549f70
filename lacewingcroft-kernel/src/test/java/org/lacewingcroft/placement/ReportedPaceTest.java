package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage;

/**
 * Guards against estimates that ignore the reported pace and slots, and against reports that affect
 * estimates after they have expired.
 */
class ReportedPaceTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  private static EndpointTracker tracker() {
    return new EndpointTracker(
        new EndpointRecord("e", 0, "s", "10.0.0.1:1", "a", 12, EndpointState.READY, 1, 0), START);
  }

  private static PlacementRequest request() {
    return new PlacementRequest(
        "s", 0, 4_000, 100, List.of(), Duration.ofSeconds(1), Duration.ofSeconds(5), Set.of());
  }

  private static void serve(EndpointTracker tracker) {
    EndpointTracker.InFlightRequest served = tracker.startRequest(request(), 0, 0, START);
    served.bytesReceived(START.plusMillis(50));
    served.eventsReceived(10, START.plusMillis(50));
    served.eventsReceived(10, START.plusMillis(150));
    served.finish(EndpointTracker.Outcome.ANSWERED, START.plusMillis(150));
    tracker.startRequest(request(), 0, 0, START.plusMillis(160));
    tracker.updatePeerLoad(
        "b", 20, List.of(new FleetMessage.PendingPrompt(0, 2_000, 10)), START.plusMillis(900));
  }

  @ParameterizedTest
  @CsvSource({"0", "1", "5000"})
  void expiredReportHasNoEffect(long afterExpiryMillis) {
    EndpointTracker reporting = tracker();
    EndpointTracker silent = tracker();
    serve(reporting);
    serve(silent);
    reporting.recordReportedLoad(new ReportedLoad(12, 30, 12, 400, START.plusMillis(200)));
    Instant now = START.plusMillis(1_700 + afterExpiryMillis);
    assertThat(reporting.waitMillis(0, now), is(silent.waitMillis(0, now)));
    assertThat(reporting.tokenMillis(now), is(silent.tokenMillis(now)));
    assertThat(
        reporting.firstByteMillis(request(), now), is(silent.firstByteMillis(request(), now)));
    assertThat(reporting.totalInFlight(now), is(silent.totalInFlight(now)));
    assertThat(reporting.isFull(now), is(silent.isFull(now)));
    assertThat(reporting.room(now), is(EndpointRoom.UNKNOWN));
  }

  @ParameterizedTest
  @CsvSource({"100, 200", "50, 100", "80, 400"})
  void slowerPaceLengthensEstimates(int pacePercent, int slowerPacePercent) {
    EndpointTracker tracker = tracker();
    Instant now = START.plusMillis(10);
    tracker.recordReportedLoad(new ReportedLoad(12, 6, 12, pacePercent, START));
    final double waitMillis = tracker.waitMillis(0, now);
    final double tokenMillis = tracker.tokenMillis(now);
    final double firstByteMillis = tracker.firstByteMillis(request(), now);
    tracker.recordReportedLoad(new ReportedLoad(12, 6, 12, slowerPacePercent, now));
    assertThat(tracker.waitMillis(0, now), greaterThan(waitMillis));
    assertThat(tracker.tokenMillis(now), greaterThan(tokenMillis));
    assertThat(tracker.firstByteMillis(request(), now), greaterThan(firstByteMillis));
  }

  @ParameterizedTest
  @CsvSource({"11, 0, 0", "12, 0, 1", "12, 11, 12", "12, 35, 36"})
  void waitsForRequestsBeyondTheSlots(int running, int waiting, int requestsAhead) {
    EndpointTracker tracker = tracker();
    tracker.recordReportedLoad(new ReportedLoad(running, waiting, 12, 100, START));
    double slotMillis = tracker.slotMillis(START);
    assertThat(tracker.waitMillis(0, START), is(slotMillis * requestsAhead / 12));
  }
}
