package org.lacewingcroft.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class RequestFingerprintsTest {
  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);

  static Stream<Arguments> prompts() {
    return Stream.of(
        Arguments.of(List.of(), List.of()),
        Arguments.of(List.of("own"), List.of()),
        Arguments.of(List.of("a", "own"), List.of("a")),
        Arguments.of(List.of("a", "b", "a", "own"), List.of("a", "b")),
        Arguments.of(List.of("a", "b", "a"), List.of("a", "b")));
  }

  @ParameterizedTest
  @MethodSource("prompts")
  void identifiesAllPartsButTheLast(List<String> parts, List<String> shared) {
    RequestFingerprints fingerprints = RequestFingerprints.of(CONTENT, parts);
    assertThat(
        fingerprints.promptParts(),
        is(shared.stream().map(RequestFingerprint::ofPromptPart).toList()));
    assertThat(fingerprints.all(), hasSize(shared.size() + 1));
  }

  @Test
  void identifiesBoundedNumberOfParts() {
    List<String> parts = IntStream.range(0, 1_000).mapToObj(i -> "part-" + i).toList();
    assertThat(
        RequestFingerprints.of(CONTENT, parts).promptParts(),
        hasSize(RequestFingerprints.MAX_PROMPT_PARTS));
  }
}
