package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests that are counted twice, in the endpoint's report and as sent by an entry,
 * and against requests that are not counted at all.
 */
class EndpointOccupancyTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /** Applies events at given times, in ms after the start. */
  private static final class Script {
    private final EndpointOccupancy occupancy = new EndpointOccupancy(new QueueLimit());

    private static Instant at(long millis) {
      return START.plusMillis(millis);
    }

    private EndpointOccupancy.Tracked send(long millis) {
      return occupancy.requestSent(at(millis));
    }

    private void report(long millis, int running, int waiting) {
      occupancy.reportReceived(new ReportedLoad(running, waiting, 12, 100, at(millis)));
    }

    private void reportOfPeer(long millis, int running, int waiting) {
      occupancy.reportReceivedByPeer(new ReportedLoad(running, waiting, 12, 100, at(millis)));
    }

    private void peer(String entry, long millis, int inFlight) {
      occupancy.updatePeer(entry, inFlight, at(millis));
    }
  }

  /** A test case: events, and the expected estimate 1 s after the start; -1 for none. */
  record Row(String name, Consumer<Script> events, int expected) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("no report", s -> s.send(900), -1),
        new Row("report alone", s -> s.report(900, 5, 2), 7),
        new Row("report of 1.5 s ago", s -> s.report(-500, 5, 2), -1),
        new Row("report of 1.4 s ago", s -> s.report(-400, 5, 2), 7),
        new Row(
            "request sent before the report is part of it",
            s -> {
              s.send(800);
              s.report(900, 5, 0);
            },
            5),
        new Row(
            "request sent after the report",
            s -> {
              s.report(900, 5, 0);
              s.send(950);
            },
            6),
        new Row(
            "request on its way when the report was written",
            s -> {
              s.send(899);
              s.report(900, 5, 0);
            },
            6),
        new Row(
            "reported request has ended",
            s -> {
              EndpointOccupancy.Tracked request = s.send(800);
              s.report(900, 5, 0);
              request.end(Script.at(950));
            },
            4),
        new Row(
            "response that carries the report ends with it",
            s -> {
              EndpointOccupancy.Tracked request = s.send(800);
              s.report(900, 5, 0);
              request.end(Script.at(900));
            },
            4),
        new Row(
            "request ended before the report",
            s -> {
              EndpointOccupancy.Tracked request = s.send(800);
              s.report(850, 5, 0);
              request.end(Script.at(870));
              s.report(900, 4, 0);
            },
            4),
        new Row(
            "request sent and ended after the report",
            s -> {
              s.report(900, 5, 0);
              s.send(920).end(Script.at(960));
            },
            5),
        new Row(
            "rejected request was never part of a report",
            s -> {
              EndpointOccupancy.Tracked request = s.send(800);
              s.report(900, 12, 36);
              request.withdraw();
            },
            48),
        new Row(
            "own requests after a report that a peer received earlier",
            s -> {
              EndpointOccupancy.Tracked request = s.send(700);
              s.report(650, 5, 0);
              s.send(850);
              request.end(Script.at(900));
              s.reportOfPeer(800, 6, 0);
            },
            6),
        new Row(
            "older report of a peer arrives later",
            s -> {
              s.report(900, 5, 0);
              s.reportOfPeer(850, 9, 9);
            },
            5),
        new Row(
            "peer's requests before the report are part of it",
            s -> {
              s.peer("b", 700, 3);
              s.report(900, 5, 0);
              s.peer("b", 930, 3);
            },
            5),
        new Row(
            "peer tells more after the report",
            s -> {
              s.peer("b", 700, 3);
              s.report(800, 5, 0);
              s.peer("b", 930, 5);
            },
            7),
        new Row(
            "peer's count right after the report is of the time before it",
            s -> {
              s.report(800, 5, 0);
              s.peer("b", 840, 3);
            },
            5),
        new Row(
            "peer's requests have ended",
            s -> {
              s.peer("b", 700, 3);
              s.report(800, 5, 0);
              s.peer("b", 930, 0);
            },
            2),
        new Row(
            "peers rise and fall",
            s -> {
              s.peer("b", 700, 3);
              s.peer("c", 700, 1);
              s.report(800, 5, 0);
              s.peer("b", 930, 1);
              s.peer("c", 930, 4);
            },
            6),
        new Row(
            "later report contains what peers told in between",
            s -> {
              s.report(600, 2, 0);
              s.peer("b", 700, 3);
              s.report(900, 5, 0);
            },
            5),
        new Row(
            "silent peer's requests are no longer counted",
            s -> {
              s.peer("b", -560, 3);
              s.report(-300, 5, 0);
            },
            2),
        new Row(
            "never less than this entry's own requests",
            s -> {
              s.peer("b", 700, 8);
              s.send(750);
              s.send(750);
              s.report(800, 3, 0);
              s.peer("b", 930, 0);
            },
            2));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void estimatesOccupancy(Row row) {
    Script script = new Script();
    row.events().accept(script);
    OptionalInt expected =
        row.expected() < 0 ? OptionalInt.empty() : OptionalInt.of(row.expected());
    assertThat(script.occupancy.occupancy(Script.at(1_000)), is(expected));
  }

  /** A test case: the report with which a request was rejected, a later one, and the room. */
  record RoomRow(
      int rejectedWaiting, long laterMillis, int running, int waiting, EndpointRoom expected) {}

  static Stream<RoomRow> roomRows() {
    return Stream.of(
        new RoomRow(36, 900, 12, 36, EndpointRoom.FULL),
        new RoomRow(36, 900, 12, 30, EndpointRoom.FULL),
        new RoomRow(36, 900, 12, 10, EndpointRoom.QUEUE),
        new RoomRow(36, 900, 11, 0, EndpointRoom.FREE_SLOT),
        // Too old to show that the queue is still full.
        new RoomRow(36, 690, 12, 36, EndpointRoom.QUEUE),
        new RoomRow(0, 900, 12, 0, EndpointRoom.FULL));
  }

  @ParameterizedTest
  @MethodSource("roomRows")
  void rejectionShowsTheQueueLimit(RoomRow row) {
    Script script = new Script();
    EndpointOccupancy.Tracked rejected = script.send(600);
    script.report(601, 12, row.rejectedWaiting());
    rejected.withdraw();
    script.occupancy.rejectedAsFull(Script.at(601));
    script.report(row.laterMillis(), row.running(), row.waiting());
    assertThat(script.occupancy.room(Script.at(1_000)), is(row.expected()));
  }
}
