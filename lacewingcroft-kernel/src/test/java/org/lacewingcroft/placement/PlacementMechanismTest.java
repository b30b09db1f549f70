package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests parsing of the setting that lists disabled mechanisms. */
class PlacementMechanismTest {
  static Stream<Arguments> accepted() {
    return Stream.of(
        Arguments.of("", EnumSet.noneOf(PlacementMechanism.class)),
        Arguments.of("TOKEN_PACE", EnumSet.of(PlacementMechanism.TOKEN_PACE)),
        Arguments.of(
            " TOKEN_PACE, PREFIX_FETCH,",
            EnumSet.of(PlacementMechanism.TOKEN_PACE, PlacementMechanism.PREFIX_FETCH)));
  }

  @ParameterizedTest
  @MethodSource("accepted")
  void parsesNames(String text, Set<PlacementMechanism> expected) {
    assertThat(PlacementMechanism.parse(text), equalTo(expected));
  }

  @Test
  void rejectsUnknownNameAndListsValidNames() {
    IllegalArgumentException exception =
        assertThrows(IllegalArgumentException.class, () -> PlacementMechanism.parse("TOKEN_PACES"));
    assertThat(exception.getMessage(), containsString("TOKEN_PACE,"));
  }
}
