package org.lacewingcroft.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;

class ConfigParserTest {
  private static final String VALID_DOCUMENT =
      """
      selectors:
        - name: writers
          work: {models: [writer], organisations: [puhdas-seina]}
          endpoints:
            matchLabels: {service: writers}
            matchExpressions: [{key: tier, operator: In, values: [gpu]}]
          regions: [uusimaa]
      organisations:
        - {name: puhdas-seina, residency: [uusimaa, pirkanmaa], requestsPerSecond: 10}
      """;

  @Test
  void parsesTheDocumentedShape() {
    GatewayConfig config = ConfigParser.parse(VALID_DOCUMENT);
    RoutingRule rule = config.ruleFor("puhdas-seina", "writer", "normal").orElseThrow();
    assertThat(rule.regions(), is(Set.of("uusimaa")));
    assertThat(
        config.organisation("puhdas-seina").orElseThrow().residency(),
        is(Set.of("uusimaa", "pirkanmaa")));
    assertThat(config.ruleFor("other", "writer", "normal").isPresent(), is(false));
  }

  static Stream<Arguments> invalidDocuments() {
    return Stream.of(
        Arguments.of("selector: []", "unknown key 'selector'"),
        Arguments.of("selectors: [{name: a, wrok: {}}]", "unknown key 'wrok'"),
        Arguments.of(
            "selectors: [{name: a, endpoints: {matchExpressions: [{key: k, operator: Has}]}}]",
            "unknown operator 'Has'"),
        Arguments.of(
            "selectors: [{name: a, endpoints: {matchExpressions: [{key: k, operator: In}]}}]",
            "needs at least one value"),
        Arguments.of(
            "selectors: [{name: a, endpoints: {matchExpressions:"
                + " [{key: k, operator: Exists, values: [x]}]}}]",
            "takes no values"),
        Arguments.of("selectors: [{name: a}, {name: a}]", "appears twice"),
        Arguments.of("selectors: [{work: {}}]", "has no 'name'"),
        Arguments.of("organisations: [{name: o, requestsPerSecond: -1}]", "negative"),
        Arguments.of("selectors: [{name: a, regions: 5}]", "bad value"),
        Arguments.of("selectors: [ {name: a", "not valid YAML"));
  }

  @ParameterizedTest
  @MethodSource("invalidDocuments")
  void rejectsInvalidDocumentsAndNamesTheKey(String yaml, String expected) {
    GatewayException e = assertThrows(GatewayException.class, () -> ConfigParser.parse(yaml));
    assertThat(e.kind(), is(ErrorKind.INVALID_CONFIGURATION));
    assertThat(e.getMessage(), containsString(expected));
    assertThat(e.getMessage(), containsString("remedy"));
  }

  /**
   * Guards against rejecting a document of the target size, which is larger than the default limit
   * of the YAML parser.
   */
  @Test
  void parsesDocumentOfTheTargetSize() {
    int organisations = 48_000;
    StringBuilder document = new StringBuilder("organisations:\n");
    for (int i = 0; i < organisations; i++) {
      document.append("  - {name: organisation-").append(i).append(", residency: [uusimaa],");
      document.append(" requestsPerSecond: 20}\n");
    }
    assertThat(ConfigParser.parse(document.toString()).organisations().size(), is(organisations));
  }
}
