package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QuorumSizeTest {
  @ParameterizedTest
  @CsvSource({
    "1, member-0, 0",
    "3, member-0, 1",
    "5, member-4, 2",
    "6, member-0, 3",
    "1, non-member, 1",
    "5, non-member, 3"
  })
  void countsConfirmationsOfOthers(int size, String self, int expected) {
    Set<String> members =
        IntStream.range(0, size).mapToObj(i -> "member-" + i).collect(Collectors.toSet());
    assertThat(QuorumSize.requiredConfirmations(members, self), equalTo(expected));
  }
}
