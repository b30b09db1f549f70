package org.lacewingcroft.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.consensus.ConsensusMember;

class StatusTest {
  /** A member that has caught up but not activated the version must not report version 0. */
  @ParameterizedTest
  @CsvSource({
    "false, 0, 0, false",
    "false, 5, 5, false",
    "true,  0, 0, true",
    "true,  5, 0, false",
    "true,  5, 4, false",
    "true,  5, 5, true",
    "true,  5, 6, true"
  })
  void isCurrentOnlyWithTheNewestVersion(
      boolean caughtUp, long committed, long held, boolean current) {
    ControlService.Status status =
        new ControlService.Status(
            ConsensusMember.Role.FOLLOWER, Optional.empty(), 1, 9, committed, true, caughtUp);
    assertThat(status.isCurrent(held), is(current));
  }
}
