package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how many entries an entry divides shared bounds by. */
class EntryMembershipTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final Duration GRACE = Duration.ofSeconds(8);
  private static final Duration REPLY_INTERVAL = Duration.ofMillis(500);
  private static final List<EntryInfo> ALL = entries("a", "b", "c", "d", "e", "f", "g", "h");
  private static final List<EntryInfo> OWN_REGION = entries("a", "b", "c");

  private final EntryMembership membership = new EntryMembership("a", WINDOW, GRACE);
  private Instant now = Instant.parse("2030-01-01T00:00:00Z");

  private static List<EntryInfo> entries(String... names) {
    return Stream.of(names)
        .map(n -> new EntryInfo(n, "north", "north-a", n + ":1", n + ":2", n + ":3"))
        .toList();
  }

  @BeforeEach
  void establish() {
    membership.update(ALL, now);
    stayInContact(WINDOW.plusSeconds(1));
  }

  private void stayInContact(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      membership.onMajorityContact(now);
      now = now.plus(REPLY_INTERVAL);
    }
  }

  private void stayWithoutContact(Duration duration) {
    now = now.plus(duration);
  }

  @Test
  void countsListedEntries() {
    assertThat(membership.size(), is(OptionalInt.of(8)));
  }

  @ParameterizedTest
  @CsvSource({"0, 8", "17, 8", "20, 3"})
  void countsAbsentEntriesUntilTheirSendsHaveLeftTheWindow(int seconds, int expected) {
    membership.update(OWN_REGION, now);
    stayInContact(Duration.ofSeconds(seconds));
    assertThat(membership.size(), is(OptionalInt.of(expected)));
  }

  @ParameterizedTest
  @CsvSource({"5", "30", "300"})
  void countsAllEntriesWhileDisconnectedFromTheMajority(int seconds) {
    membership.update(OWN_REGION, now);
    stayWithoutContact(Duration.ofSeconds(seconds));
    assertThat(membership.size(), is(OptionalInt.of(8)));
    membership.onMajorityContact(now);
    assertThat("after the first contact", membership.size(), is(OptionalInt.of(8)));
  }

  @Test
  void countsEntriesOfListsThatDisagree() {
    for (int i = 0; i < 40; i++) {
      membership.update(i % 2 == 0 ? OWN_REGION : entries("a", "d", "e"), now);
      stayInContact(Duration.ofSeconds(1));
    }
    assertThat(membership.size(), is(OptionalInt.of(5)));
  }

  @Test
  void countsItselfWhileItIsNotListed() {
    membership.update(entries("b"), now);
    stayInContact(Duration.ofSeconds(30));
    assertThat(membership.size(), is(OptionalInt.of(2)));
  }

  @ParameterizedTest
  @CsvSource({"0, false", "9, false", "11, true"})
  void sizeIsUnknownUntilContactHasLastedOneWindow(int seconds, boolean known) {
    EntryMembership started = new EntryMembership("a", WINDOW, GRACE);
    started.update(OWN_REGION, now);
    for (int second = 0; second <= seconds; second++) {
      started.onMajorityContact(now.plusSeconds(second));
    }
    assertThat(started.size(), is(known ? OptionalInt.of(3) : OptionalInt.empty()));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sizeStaysUnknownIfContactIsLostAfterStart(boolean regained) {
    EntryMembership started = new EntryMembership("a", WINDOW, GRACE);
    started.onMajorityContact(now);
    started.update(OWN_REGION, now);
    if (regained) {
      started.onMajorityContact(now.plusSeconds(60));
    }
    assertThat(started.size(), is(OptionalInt.empty()));
  }
}
