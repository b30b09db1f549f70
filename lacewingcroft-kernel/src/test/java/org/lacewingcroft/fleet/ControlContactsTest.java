package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests which control instances an entry of the region "north" follows. */
class ControlContactsTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
  private static final Set<String> ALL = Set.of("n1", "n2", "s1", "s2");

  /** A control instance's last reply. */
  private record Answer(String from, String region, boolean inMajority, long agoMillis) {}

  static Stream<Arguments> cases() {
    Answer north = new Answer("n1", "north", true, 100);
    Answer alsoNorth = new Answer("n2", "north", true, 100);
    Answer south = new Answer("s1", "south", true, 100);
    return Stream.of(
        Arguments.of("all before the first reply", List.of(), ALL),
        Arguments.of("all while only other regions replied", List.of(south), ALL),
        Arguments.of("those of the entry's region", List.of(north, south), Set.of("n1")),
        Arguments.of("both of the entry's region", List.of(north, alsoNorth), Set.of("n1", "n2")),
        Arguments.of(
            "all when those of the entry's region are disconnected from their group",
            List.of(new Answer("n1", "north", false, 100), south),
            ALL),
        Arguments.of(
            "those of the entry's region while one is connected to its group",
            List.of(new Answer("n1", "north", false, 100), alsoNorth, south),
            Set.of("n1", "n2")),
        Arguments.of(
            "all when those of the entry's region stop replying",
            List.of(new Answer("n1", "north", true, 1_200), south),
            ALL));
  }

  private static ControlContacts after(List<Answer> answers) {
    ControlContacts contacts = new ControlContacts("north");
    for (Answer a : answers) {
      FleetMessage.ControlPulse pulse =
          new FleetMessage.ControlPulse(
              a.from(), a.region(), a.inMajority(), true, 1, 0, List.of(), 0);
      contacts.pulse(pulse, NOW.minusMillis(a.agoMillis()));
    }
    return contacts;
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void goesBy(String name, List<Answer> answers, Set<String> expected) {
    assertThat(after(answers).relied(ALL, NOW), is(expected));
  }

  @ParameterizedTest
  @CsvSource({"1999, false", "2000, true"})
  void knowsWhenAllAreSilent(long agoMillis, boolean expected) {
    ControlContacts contacts = after(List.of(new Answer("s1", "south", true, agoMillis)));
    assertThat(contacts.allSilentFor(Duration.ofSeconds(2), NOW), is(expected));
  }
}
