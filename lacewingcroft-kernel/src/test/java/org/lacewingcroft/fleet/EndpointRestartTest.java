package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests endpoints that restart under the same id, or at the address of an earlier endpoint. */
class EndpointRestartTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final EndpointState READY = EndpointState.READY;
  private static final EndpointState DRAINING = EndpointState.DRAINING;
  private static final EndpointState GONE = EndpointState.GONE;

  /** An announcement of one incarnation of an endpoint. */
  record Announcement(String id, long startedAtMillis, EndpointState state, long sequence) {
    EndpointRecord record() {
      return new EndpointRecord(
          id, startedAtMillis, "s", "10.0.0.1:80", "a", 4, state, sequence, 0);
    }
  }

  /**
   * A test case: the announcements in order of arrival and the resulting record of endpoint "a".
   */
  record Row(
      String name, List<Announcement> announcements, long startedAtMillis, EndpointState state) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Announcement first(EndpointState state, long sequence) {
    return new Announcement("a", 1_000, state, sequence);
  }

  private static Announcement second(EndpointState state, long sequence) {
    return new Announcement("a", 2_000, state, sequence);
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row(
            "sequence numbers restart", List.of(first(READY, 900), second(READY, 1)), 2_000, READY),
        new Row(
            "late announcements of the earlier incarnation are ignored",
            List.of(first(READY, 900), second(READY, 1), first(DRAINING, 901)),
            2_000,
            READY),
        new Row(
            "deregistration followed by a restart",
            List.of(first(READY, 3), first(GONE, 3), second(READY, 1)),
            2_000,
            READY),
        new Row(
            "a late deregistration of the earlier incarnation is ignored",
            List.of(first(READY, 3), second(READY, 1), first(GONE, 3)),
            2_000,
            READY),
        new Row(
            "an earlier incarnation is first announced afterwards",
            List.of(second(READY, 1), first(READY, 900), first(READY, 901)),
            2_000,
            READY),
        new Row(
            "an endpoint that started earlier does not take over the address",
            List.of(second(READY, 1), new Announcement("b", 1_000, READY, 7)),
            2_000,
            READY),
        new Row(
            "an endpoint that started later takes over the address",
            List.of(first(READY, 7), new Announcement("b", 2_000, READY, 1)),
            1_000,
            EndpointState.LOST));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void laterIncarnationWins(Row row) {
    EndpointRoster roster = new EndpointRoster();
    row.announcements().forEach(a -> roster.applyAnnouncement(a.record(), START));
    EndpointRecord record = roster.find("a").orElseThrow();
    assertThat(record.startedAtMillis(), equalTo(row.startedAtMillis()));
    assertThat(record.state(), equalTo(row.state()));
  }

  static Stream<Integer> seeds() {
    return IntStream.range(0, 200).boxed();
  }

  /**
   * Checks that rosters agree regardless of the order in which two incarnations' announcements
   * arrive.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void rostersAgreeRegardlessOfOrder(int seed) {
    Random random = new Random(seed);
    List<Announcement> announcements = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      announcements.add(first(READY, 100 + i));
      announcements.add(second(READY, i));
    }
    announcements.add(first(random.nextBoolean() ? GONE : DRAINING, 106));
    Optional<EndpointState> last =
        random.nextBoolean()
            ? Optional.of(random.nextBoolean() ? GONE : DRAINING)
            : Optional.empty();
    last.ifPresent(state -> announcements.add(second(state, 6)));
    EndpointRoster one = rosterAfterShuffled(announcements, random);
    EndpointRoster other = rosterAfterShuffled(announcements, random);
    assertThat(one.find("a").orElseThrow().startedAtMillis(), equalTo(2_000L));
    assertThat(one.find("a").orElseThrow().state(), equalTo(last.orElse(READY)));
    assertThat(one.digest(), equalTo(other.digest()));
  }

  private static EndpointRoster rosterAfterShuffled(
      List<Announcement> announcements, Random random) {
    List<Announcement> order = new ArrayList<>(announcements);
    Collections.shuffle(order, random);
    EndpointRoster roster = new EndpointRoster();
    order.forEach(a -> roster.applyAnnouncement(a.record(), START));
    return roster;
  }
}
