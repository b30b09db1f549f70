package org.lacewingcroft.selector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class LabelSelectorTest {
  private static final Map<String, String> GPU_WRITER = Map.of("service", "writers", "tier", "gpu");

  static Stream<Arguments> rows() {
    return Stream.of(
        Arguments.of(Map.of(), List.of(), GPU_WRITER, true),
        Arguments.of(Map.of("service", "writers"), List.of(), GPU_WRITER, true),
        Arguments.of(Map.of("service", "desk"), List.of(), GPU_WRITER, false),
        Arguments.of(
            Map.of(),
            List.of(new Requirement("tier", Operator.IN, Set.of("gpu"))),
            GPU_WRITER,
            true),
        Arguments.of(
            Map.of(),
            List.of(new Requirement("tier", Operator.NOT_IN, Set.of("gpu"))),
            GPU_WRITER,
            false),
        Arguments.of(
            Map.of(),
            List.of(new Requirement("zone", Operator.NOT_IN, Set.of("a"))),
            GPU_WRITER,
            true),
        Arguments.of(
            Map.of(),
            List.of(new Requirement("tier", Operator.EXISTS, Set.of())),
            GPU_WRITER,
            true),
        Arguments.of(
            Map.of(),
            List.of(new Requirement("tier", Operator.DOES_NOT_EXIST, Set.of())),
            GPU_WRITER,
            false),
        Arguments.of(
            Map.of("service", "writers"),
            List.of(new Requirement("canary", Operator.DOES_NOT_EXIST, Set.of())),
            GPU_WRITER,
            true));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void matchesLikeKubernetes(
      Map<String, String> labels,
      List<Requirement> expressions,
      Map<String, String> endpointLabels,
      boolean expected) {
    assertThat(new LabelSelector(labels, expressions).matches(endpointLabels), is(expected));
  }
}
