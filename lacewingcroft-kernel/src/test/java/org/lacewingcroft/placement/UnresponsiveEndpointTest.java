package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.placement.EndpointTracker.InFlightRequest;
import org.lacewingcroft.placement.EndpointTracker.Outcome;

/**
 * Tests when an endpoint is avoided after its last request ended without a byte of a response.
 * Guards against an unresponsive endpoint that looks idle again, and so receives all new requests,
 * once its requests have been cancelled.
 */
class UnresponsiveEndpointTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /**
   * A test case: the events, and the expected state of the endpoint at an instant after the start.
   */
  record Row(
      String name,
      BiConsumer<EndpointTracker, InFlightRequest> events,
      long atMillis,
      boolean avoided,
      boolean unconfirmed) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("just sent", (endpoint, request) -> {}, 700, false, false),
        new Row("response overdue", (endpoint, request) -> {}, 900, true, false),
        new Row(
            "request failed while unresponsive",
            (endpoint, request) -> request.finish(Outcome.FAILED, at(1_000)),
            1_100,
            true,
            true),
        new Row(
            "caller disconnected while unresponsive",
            (endpoint, request) -> request.finish(Outcome.CANCELLED, at(1_000)),
            1_100,
            true,
            true),
        new Row(
            "caller disconnected before the timeout",
            (endpoint, request) -> request.finish(Outcome.CANCELLED, at(300)),
            1_100,
            false,
            false),
        new Row(
            "time alone does not end the state",
            (endpoint, request) -> request.finish(Outcome.FAILED, at(1_000)),
            60_000,
            true,
            true),
        new Row(
            "a failed probe does not end the state",
            (endpoint, request) -> {
              request.finish(Outcome.FAILED, at(1_000));
              endpoint.startProbe();
              endpoint.recordProbeFailure(Duration.ofSeconds(1), at(1_200));
            },
            1_300,
            true,
            true),
        new Row(
            "a successful probe ends the state",
            (endpoint, request) -> {
              request.finish(Outcome.FAILED, at(1_000));
              endpoint.startProbe();
              endpoint.recordProbeSuccess(Duration.ZERO, at(1_200));
            },
            1_300,
            false,
            false),
        new Row(
            "response clears the state",
            UnresponsiveEndpointTest::unresponsiveThenResponds,
            1_500,
            false,
            false));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void isAvoidedUntilItResponds(Row row) {
    EndpointTracker endpoint =
        new EndpointTracker(
            new EndpointRecord("e", 0, "s", "10.0.0.1:1", "a", 8, EndpointState.READY, 1, 0),
            START);
    InFlightRequest request = startRequest(endpoint, START);
    row.events().accept(endpoint, request);
    assertThat(!endpoint.isResponding(at(row.atMillis())), equalTo(row.avoided()));
    assertThat(endpoint.isUnconfirmed(), equalTo(row.unconfirmed()));
  }

  private static void unresponsiveThenResponds(EndpointTracker endpoint, InFlightRequest request) {
    request.finish(Outcome.FAILED, at(1_000));
    startRequest(endpoint, at(1_200)).bytesReceived(at(1_300));
  }

  private static InFlightRequest startRequest(EndpointTracker endpoint, Instant now) {
    PlacementRequest request =
        new PlacementRequest(
            "s", 0, 300, 40, List.of(), Duration.ofSeconds(2), Duration.ofSeconds(5), Set.of());
    return endpoint.startRequest(request, 0, 345_000, now);
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }
}
