package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;
import org.lacewingcroft.placement.EndpointTracker.Outcome;

/**
 * Guards against entries that are cut off from the endpoints of their region and send callers'
 * requests there all the same, or refuse them though a neighbour or another region has room.
 */
class CutOffPlacementTest {
  private static final Instant SENT = Instant.parse("2030-01-01T00:00:00Z");
  private static final Instant NOW = SENT.plusSeconds(2);
  private static final Duration MAX_PROBE_INTERVAL = Duration.ofSeconds(1);

  /** What has happened to this entry's connections to an endpoint. */
  enum Contact {
    RESPONDS(e -> {}),
    CONNECT_FAILED(e -> e.recordConnectFailure(NOW)),
    CONNECT_FAILED_THEN_DATA(Contact::sendDataAfterConnectFailure),
    ONE_CONNECTION_LOST(EndpointTracker::recordLostConnection),
    CONNECTIONS_LOST(Contact::loseConnections),
    SILENT(Contact::fallSilent),
    SILENT_AND_PROBED(Contact::failProbesAfterSilence),
    REACHED_BY_PROBE(Contact::answerProbe);

    private final Consumer<EndpointTracker> events;

    Contact(Consumer<EndpointTracker> events) {
      this.events = events;
    }

    private static void sendDataAfterConnectFailure(EndpointTracker endpoint) {
      EndpointTracker.InFlightRequest request = endpoint.startRequest(request(), 0, 0, SENT);
      endpoint.recordConnectFailure(NOW);
      request.bytesReceived(NOW);
      request.finish(Outcome.ANSWERED, NOW);
    }

    private static void loseConnections(EndpointTracker endpoint) {
      endpoint.recordLostConnection();
      endpoint.recordLostConnection();
    }

    private static void failProbesAfterSilence(EndpointTracker endpoint) {
      fallSilent(endpoint);
      for (int i = 0; i < 2; i++) {
        endpoint.startProbe();
        endpoint.recordProbeFailure(MAX_PROBE_INTERVAL, NOW);
      }
    }

    private static void answerProbe(EndpointTracker endpoint) {
      endpoint.recordConnectFailure(NOW);
      endpoint.startProbe();
      endpoint.recordProbeSuccess(Duration.ZERO, NOW);
    }

    private static void fallSilent(EndpointTracker endpoint) {
      endpoint.startRequest(request(), 0, 0, SENT).finish(Outcome.FAILED, SENT.plusSeconds(1));
    }
  }

  /** Who else could serve the request. */
  enum Others {
    NOBODY,
    NEIGHBOUR,
    REGION,
    NEIGHBOUR_AND_REGION
  }

  record Row(List<Contact> contacts, Others others, boolean relayed, String outcome) {}

  static Stream<Row> rows() {
    List<Contact> responds = List.of(Contact.RESPONDS);
    List<Contact> failed = List.of(Contact.CONNECT_FAILED);
    List<Contact> silent = List.of(Contact.SILENT);
    return Stream.of(
        new Row(responds, Others.NEIGHBOUR_AND_REGION, false, "endpoint 0"),
        new Row(failed, Others.NEIGHBOUR_AND_REGION, false, "here"),
        new Row(failed, Others.REGION, false, "there"),
        new Row(failed, Others.NOBODY, false, "NO_ENDPOINT"),
        new Row(failed, Others.NOBODY, true, "NO_ENDPOINT"),
        new Row(List.of(Contact.CONNECT_FAILED_THEN_DATA), Others.NEIGHBOUR, false, "here"),
        new Row(List.of(Contact.ONE_CONNECTION_LOST), Others.NEIGHBOUR, false, "endpoint 0"),
        new Row(List.of(Contact.CONNECTIONS_LOST), Others.NEIGHBOUR, false, "here"),
        new Row(silent, Others.NEIGHBOUR, false, "here"),
        new Row(silent, Others.REGION, false, "there"),
        new Row(silent, Others.NOBODY, false, "endpoint 0"),
        new Row(silent, Others.NOBODY, true, "NO_ENDPOINT"),
        new Row(List.of(Contact.SILENT_AND_PROBED), Others.NOBODY, false, "NO_ENDPOINT"),
        new Row(List.of(Contact.REACHED_BY_PROBE), Others.NEIGHBOUR, false, "endpoint 0"),
        new Row(
            List.of(Contact.CONNECT_FAILED, Contact.RESPONDS),
            Others.NEIGHBOUR_AND_REGION,
            false,
            "endpoint 1"),
        new Row(List.of(), Others.NEIGHBOUR, false, "NO_ENDPOINT"));
  }

  private static PlacementRequest request() {
    return new PlacementRequest(
        "s", 1, 0, 0, List.of(), Duration.ofMillis(300), Duration.ofSeconds(3), Set.of());
  }

  @ParameterizedTest
  @MethodSource("rows")
  void placesWhereTheRequestIsServed(Row row) {
    List<EndpointTracker> endpoints =
        Stream.iterate(0, i -> i + 1)
            .limit(row.contacts().size())
            .map(i -> tracker(Integer.toString(i), row.contacts().get(i)))
            .toList();
    Placement placement =
        new Placer(3, new Random(1)).place(request(), context(endpoints, row), NOW);
    assertThat(outcome(placement), equalTo(row.outcome()));
  }

  private static EndpointTracker tracker(String id, Contact contact) {
    EndpointRecord record =
        new EndpointRecord(id, 0, "s", "10.0.0.1:1", "a", 8, EndpointState.READY, 1, 0);
    EndpointTracker tracker = new EndpointTracker(record, SENT);
    contact.events.accept(tracker);
    return tracker;
  }

  private static Placer.Context context(List<EndpointTracker> endpoints, Row row) {
    RegionLoads loads = new RegionLoads();
    if (row.others() == Others.REGION || row.others() == Others.NEIGHBOUR_AND_REGION) {
      loads.update("there", new ServiceLoad("s", 2, new long[] {0, 0}, 10, Optional.empty()), NOW);
    }
    return new Placer.Context(
        endpoints,
        "e1",
        List.of("e1", "e2"),
        100,
        row.relayed() ? Optional.empty() : Optional.of(loads),
        Set.of(),
        Set.of(),
        row.relayed(),
        () -> row.others() == Others.NEIGHBOUR || row.others() == Others.NEIGHBOUR_AND_REGION,
        "here",
        List.of(),
        Optional.empty(),
        Set.of(),
        Optional.empty());
  }

  private static String outcome(Placement placement) {
    if (placement instanceof Placement.ToEndpoint toEndpoint) {
      return "endpoint " + toEndpoint.endpoint().record().id();
    }
    return placement instanceof Placement.ToRegion toRegion
        ? toRegion.region()
        : ((Placement.Refused) placement).reason().name();
  }
}
