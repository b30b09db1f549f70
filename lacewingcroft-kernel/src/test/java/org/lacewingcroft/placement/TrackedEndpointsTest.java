package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointRoster;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage;

/** Tests which endpoints an entry tracks after the updates that a control instance sends. */
class TrackedEndpointsTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final Duration LEASE = Duration.ofSeconds(4);

  private final List<String> changes = new ArrayList<>();
  private final List<String> lostIncarnations = new ArrayList<>();
  private final List<String> returnedIncarnations = new ArrayList<>();
  private final TrackedEndpoints endpoints =
      new TrackedEndpoints(
          new TrackedEndpoints.Listener() {
            @Override
            public void changed(EndpointRecord record, String reporter) {
              changes.add(record.id() + " " + record.state());
            }

            @Override
            public void incarnationLost(EndpointTracker endpoint) {
              lostIncarnations.add(endpoint.record().incarnationId());
            }

            @Override
            public void incarnationReturned(EndpointRecord record) {
              returnedIncarnations.add(record.incarnationId());
            }
          });

  private static EndpointRecord record(String id, long start, EndpointState state, long sequence) {
    return new EndpointRecord(id, start, "model", id + ":80", "north-a", 8, state, sequence, 0);
  }

  private void sendRoster(boolean complete, Instant now, EndpointRecord... records) {
    endpoints.update(new FleetMessage.RosterUpdate("control", 0, complete, List.of(records)), now);
  }

  static Stream<Arguments> nextRecords() {
    return Stream.of(
        Arguments.of(record("e", 1, EndpointState.LOST, 1), List.of("e@1")),
        Arguments.of(record("e", 2, EndpointState.READY, 1), List.of("e@1")),
        Arguments.of(record("e", 1, EndpointState.DRAINING, 2), List.of()),
        Arguments.of(record("e", 1, EndpointState.GONE, 2), List.of()),
        Arguments.of(record("e", 0, EndpointState.LOST, 9), List.of()),
        Arguments.of(record("f", 1, EndpointState.LOST, 1), List.of()));
  }

  @ParameterizedTest
  @MethodSource("nextRecords")
  void reportsLostIncarnations(EndpointRecord next, List<String> expected) {
    sendRoster(false, START, record("e", 1, EndpointState.READY, 1));
    sendRoster(false, START, next, next);
    assertThat(lostIncarnations, is(expected));
  }

  @Test
  void endpointMissingFromCompleteRosterIsLost() {
    sendRoster(false, START, record("e", 1, EndpointState.READY, 1));
    sendRoster(true, START.plusSeconds(1));
    assertThat("record too recent", lostIncarnations, hasSize(0));
    sendRoster(true, START.plusSeconds(4));
    assertThat(lostIncarnations, is(List.of("e@1")));
    assertThat(changes, is(List.of("e READY", "e LOST")));
  }

  /**
   * Endpoints start and are lost or shut down for ten minutes, each under a new id, while a control
   * instance sends each change to the entry immediately, and the complete roster whenever their
   * digests differ. The control instance removes an endpoint 90 s after its last announcement.
   * Guards against an entry that retains it: with 600 records instead of 91, the digests would
   * differ permanently and the complete roster would be sent repeatedly.
   */
  @ParameterizedTest
  @MethodSource("finalStates")
  void removesEndpointsThatControlInstanceRemoved(EndpointState finalState) {
    EndpointRoster control = new EndpointRoster();
    int lateCompleteRosters = 0;
    for (int second = 0; second < 800; second++) {
      Instant now = START.plusSeconds(second);
      if (second < 600) {
        announce(control, record("e" + second, 1, EndpointState.READY, 1), now);
      }
      if (finalState == EndpointState.GONE && second >= 10 && second < 610) {
        announce(control, record("e" + (second - 10), 1, EndpointState.GONE, 2), now);
      }
      sendRoster(false, now, control.expire(now, LEASE).toArray(EndpointRecord[]::new));
      if (control.digest() != endpoints.digest()) {
        lateCompleteRosters += second < 760 ? 0 : 1;
        sendRoster(true, now, control.records(now).toArray(EndpointRecord[]::new));
      }
      if (second == 599) {
        assertThat(endpoints.size(), lessThanOrEqualTo(2 * control.size()));
        assertThat(endpoints.trackers().size(), lessThanOrEqualTo(2 * control.size()));
      }
    }
    assertThat("complete rosters sent after the last change", lateCompleteRosters, is(0));
    assertThat("records retained", endpoints.size(), is(control.size()));
    assertThat("trackers retained", endpoints.trackers(), hasSize(0));
  }

  /**
   * A restarted control instance has no records of endpoints that cannot connect to it, while the
   * entries continue to send requests to them.
   */
  @Test
  void removedEndpointKeepsAdvertisedRate() {
    sendRoster(true, START, record("e", 1, EndpointState.READY, 1));
    endpoints
        .tracker("e")
        .orElseThrow()
        .rateLimit()
        .updateFromResponse(OptionalDouble.of(1.1), START, START.plusMillis(10));
    sendRoster(true, START.plusSeconds(10));
    sendRoster(true, START.plusSeconds(11));
    assertThat(endpoints.tracker("e").isPresent(), is(false));
    sendRoster(true, START.plusSeconds(12), record("e", 1, EndpointState.READY, 2));
    assertThat(advertisedRate("e"), is(OptionalDouble.of(1.1)));
    sendRoster(true, START.plusSeconds(13), record("e", 2, EndpointState.READY, 1));
    assertThat("another incarnation", advertisedRate("e"), is(OptionalDouble.empty()));
  }

  @Test
  void drainingEndpointGetsNoRequestsWhateverIsAnnounced() {
    sendRoster(true, START, record("e", 1, EndpointState.READY, 1));
    endpoints.tracker("e").orElseThrow().conditions().markDraining();
    sendRoster(true, START.plusSeconds(1), record("e", 1, EndpointState.READY, 2));
    assertThat(acceptsRequests("e", START.plusSeconds(1)), is(false));
    sendRoster(true, START.plusSeconds(10));
    sendRoster(true, START.plusSeconds(11));
    sendRoster(true, START.plusSeconds(12), record("e", 1, EndpointState.READY, 3));
    assertThat("after its removal", acceptsRequests("e", START.plusSeconds(12)), is(false));
    sendRoster(true, START.plusSeconds(13), record("e", 2, EndpointState.READY, 1));
    assertThat("another incarnation", acceptsRequests("e", START.plusSeconds(13)), is(true));
  }

  private boolean acceptsRequests(String endpoint, Instant now) {
    return endpoints.tracker(endpoint).orElseThrow().acceptsRequests(now);
  }

  private OptionalDouble advertisedRate(String endpoint) {
    return endpoints.tracker(endpoint).orElseThrow().rateLimit().perSecond();
  }

  private void announce(EndpointRoster control, EndpointRecord record, Instant now) {
    control.applyAnnouncement(record, now);
    sendRoster(false, now, record);
  }

  static Stream<EndpointState> finalStates() {
    return Stream.of(EndpointState.LOST, EndpointState.GONE);
  }
}
