package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests announcements that arrive late, out of order, or from an address that another endpoint has
 * taken over.
 */
class EndpointRosterTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final Duration LEASE = Duration.ofSeconds(5);
  private static final EndpointState READY = EndpointState.READY;
  private static final EndpointState DRAINING = EndpointState.DRAINING;
  private static final EndpointState LOST = EndpointState.LOST;
  private static final EndpointState GONE = EndpointState.GONE;

  /** An announcement, or a record from another instance if it is a deregistration. */
  record Announcement(String id, EndpointState state, long sequence) {}

  /**
   * A test case: the announcements in order of arrival and the resulting states of "old" and "new".
   */
  record Row(
      String name, List<Announcement> announcements, EndpointState old, EndpointState fresh) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Announcement old(EndpointState state, long sequence) {
    return new Announcement("old", state, sequence);
  }

  private static Announcement fresh(EndpointState state, long sequence) {
    return new Announcement("new", state, sequence);
  }

  static Stream<Row> rows() {
    return Stream.of(
        new Row("drains", List.of(old(READY, 1), old(DRAINING, 2)), DRAINING, null),
        new Row(
            "a late READY announcement does not undo draining",
            List.of(old(READY, 1), old(DRAINING, 3), old(READY, 2)),
            DRAINING,
            null),
        new Row(
            "deregistration is final",
            List.of(old(READY, 1), old(GONE, 1), old(READY, 9)),
            GONE,
            null),
        new Row(
            "a new incarnation takes over the address",
            List.of(old(READY, 7), fresh(READY, 1)),
            LOST,
            READY),
        new Row(
            "one late announcement of the old one is ignored",
            List.of(old(READY, 7), fresh(READY, 1), old(READY, 8)),
            LOST,
            READY),
        new Row(
            "two late announcements with one of the new one in between are ignored",
            List.of(old(READY, 7), fresh(READY, 1), old(READY, 8), fresh(READY, 2), old(READY, 9)),
            LOST,
            READY),
        new Row(
            "the only one that keeps announcing itself gets the address back",
            List.of(fresh(READY, 1), old(READY, 7), fresh(READY, 2), fresh(READY, 3)),
            LOST,
            READY));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void appliesNewestAnnouncement(Row row) {
    EndpointRoster roster = new EndpointRoster();
    Instant now = START;
    for (Announcement announcement : row.announcements()) {
      now = now.plusMillis(100);
      EndpointRecord record =
          record(announcement.id(), announcement.state(), announcement.sequence(), 0);
      if (announcement.state() == GONE) {
        roster.merge(record, now);
      } else {
        roster.applyAnnouncement(record, now);
      }
    }
    assertThat(roster.find("old").map(EndpointRecord::state).orElse(null), equalTo(row.old()));
    assertThat(roster.find("new").map(EndpointRecord::state).orElse(null), equalTo(row.fresh()));
  }

  private static EndpointRecord record(
      String id, EndpointState state, long sequence, long coldMillis) {
    return new EndpointRecord(id, 0, "s", "10.0.0.1:80", "a", 4, state, sequence, coldMillis);
  }

  @Test
  void announcementRenewsExpiredLease() {
    EndpointRoster roster = new EndpointRoster();
    roster.applyAnnouncement(record("old", READY, 1, 0), START);
    Instant later = START.plus(LEASE).plusMillis(1);
    assertThat(roster.expire(later, LEASE).size(), equalTo(1));
    assertThat(roster.expire(later, LEASE).size(), equalTo(0));
    assertThat(
        roster.applyAnnouncement(record("old", READY, 2, 0), later).isPresent(), equalTo(true));
    assertThat(roster.find("old").orElseThrow().state(), equalTo(READY));
  }

  @Test
  void coldTimeElapsesAndBecomingColdAgainIsChange() {
    EndpointRoster roster = new EndpointRoster();
    roster.applyAnnouncement(record("old", READY, 1, 3_000), START);
    long remainingMillis = roster.records(START.plusMillis(1_000)).iterator().next().coldMillis();
    assertThat(remainingMillis, equalTo(2_000L));
    Instant warm = START.plusMillis(4_000);
    assertThat(
        roster.applyAnnouncement(record("old", READY, 2, 0), warm).isPresent(), equalTo(false));
    assertThat(
        roster.applyAnnouncement(record("old", READY, 3, 3_000), warm).isPresent(), equalTo(true));
  }

  @Test
  void equalRostersHaveEqualDigestsRegardlessOfOrder() {
    EndpointRoster one = new EndpointRoster();
    EndpointRoster two = new EndpointRoster();
    one.merge(record("a", READY, 1, 0), START);
    one.merge(record("b", DRAINING, 1, 0), START);
    two.merge(record("b", DRAINING, 5, 0), START);
    two.merge(record("a", READY, 2, 0), START);
    assertThat(one.digest(), equalTo(two.digest()));
    two.merge(record("a", LOST, 2, 0), START);
    assertThat(one.digest() == two.digest(), equalTo(false));
  }
}
