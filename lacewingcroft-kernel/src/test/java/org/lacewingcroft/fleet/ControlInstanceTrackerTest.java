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
class ControlInstanceTrackerTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
  private static final Set<String> ALL = Set.of("n1", "n2", "s1", "s2");

  /** A control instance's last reply. */
  private record Reply(String from, String region, boolean inMajority, long agoMillis) {}

  static Stream<Arguments> cases() {
    Reply north = new Reply("n1", "north", true, 100);
    Reply alsoNorth = new Reply("n2", "north", true, 100);
    Reply south = new Reply("s1", "south", true, 100);
    return Stream.of(
        Arguments.of("all before the first reply", List.of(), ALL),
        Arguments.of("all while only other regions replied", List.of(south), ALL),
        Arguments.of("those of the entry's region", List.of(north, south), Set.of("n1")),
        Arguments.of("both of the entry's region", List.of(north, alsoNorth), Set.of("n1", "n2")),
        Arguments.of(
            "all when those of the entry's region are disconnected from their group",
            List.of(new Reply("n1", "north", false, 100), south),
            ALL),
        Arguments.of(
            "those of the entry's region while one is connected to its group",
            List.of(new Reply("n1", "north", false, 100), alsoNorth, south),
            Set.of("n1", "n2")),
        Arguments.of(
            "all when those of the entry's region stop replying",
            List.of(new Reply("n1", "north", true, 1_200), south),
            ALL));
  }

  private static ControlInstanceTracker trackerAfter(List<Reply> replies) {
    ControlInstanceTracker tracker = new ControlInstanceTracker("north");
    for (Reply r : replies) {
      FleetMessage.ControlPulse pulse =
          new FleetMessage.ControlPulse(
              r.from(), r.region(), r.inMajority(), true, 1, 0, List.of(), 0);
      tracker.onControlPulse(pulse, NOW.minusMillis(r.agoMillis()));
    }
    return tracker;
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void followsControlInstances(String name, List<Reply> replies, Set<String> expected) {
    assertThat(trackerAfter(replies).followed(ALL, NOW), is(expected));
  }

  @ParameterizedTest
  @CsvSource({"1999, false", "2000, true"})
  void detectsMissingReplies(long agoMillis, boolean expected) {
    ControlInstanceTracker tracker =
        trackerAfter(List.of(new Reply("s1", "south", true, agoMillis)));
    assertThat(tracker.noReplyWithin(Duration.ofSeconds(2), NOW), is(expected));
  }
}
