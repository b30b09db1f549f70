package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UnreachableEntriesTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  private static EntryInfo entry(String name) {
    return new EntryInfo(name, "r", "a", "p", "q", "s");
  }

  @ParameterizedTest
  @CsvSource({
    "'', 0, 'a b c'",
    "a, 0, 'b c'",
    "a, 1900, 'b c'",
    "a, 2000, 'a b c'",
    "'a b c', 100, 'a b c'"
  })
  void avoidsRecentlyFailedEntriesUnlessAllFailed(
      String failed, long laterMillis, String expected) {
    UnreachableEntries unreachable = new UnreachableEntries();
    for (String name : failed.split(" ")) {
      unreachable.recordFailure(entry(name), START);
    }
    List<String> preferred =
        unreachable
            .preferReachable(
                Stream.of("a", "b", "c").map(UnreachableEntriesTest::entry).toList(),
                START.plusMillis(laterMillis))
            .stream()
            .map(EntryInfo::name)
            .toList();
    assertThat(String.join(" ", preferred), equalTo(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "'', 0, false",
    "a, 0, false",
    "'a b', 0, false",
    "'a b c', 0, true",
    "'a b c', 2000, false"
  })
  void detectsThatAllFailed(String failed, long laterMillis, boolean expected) {
    UnreachableEntries unreachable = new UnreachableEntries();
    for (String name : failed.split(" ")) {
      unreachable.recordFailure(entry(name), START);
    }
    boolean all =
        unreachable.allUnreachable(
            Stream.of("a", "b", "c").map(UnreachableEntriesTest::entry).toList(),
            START.plusMillis(laterMillis));
    assertThat(all, equalTo(expected));
  }
}
