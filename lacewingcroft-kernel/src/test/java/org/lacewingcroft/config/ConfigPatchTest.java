package org.lacewingcroft.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.error.GatewayException;

class ConfigPatchTest {
  private static final String BASE =
      """
      selectors:
        - {name: writers, work: {models: [writer]}, regions: [uusimaa]}
        - {name: desk, work: {models: [desk]}}
      organisations:
        - {name: a, residency: [uusimaa], requestsPerSecond: 5}
        - {name: b}
      """;

  static Stream<Arguments> patches() {
    return Stream.of(
        Arguments.of("nothing", "{}", "writers,desk", "a,b"),
        Arguments.of("adds", "organisations: [{name: c}]", "writers,desk", "a,b,c"),
        Arguments.of(
            "replaces a selector in place", "selectors: [{name: writers}]", "writers,desk", "a,b"),
        Arguments.of("removes", "remove: {selectors: [writers]}", "desk", "a,b"),
        Arguments.of(
            "removes an unknown organisation",
            "remove: {organisations: [x]}",
            "writers,desk",
            "a,b"),
        Arguments.of(
            "removes and re-adds a selector",
            "selectors: [{name: writers}]\nremove: {selectors: [writers]}",
            "desk,writers",
            "a,b"));
  }

  /**
   * The patched configuration must be equal to the configuration parsed from the patched document.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("patches")
  void changesOnlyTheListedItems(String name, String yaml, String selectors, String organisations) {
    ConfigPatch patch = ConfigPatch.parse(yaml);
    GatewayConfig patched = ConfigParser.parse(BASE).patched(patch, 8);
    assertThat(patched.version(), is(8L));
    assertThat(names(patched), is(selectors));
    assertThat(
        String.join(",", patched.organisations().keySet().stream().sorted().toList()),
        is(organisations));
    String written = new ConfigDocument(BASE).patched(patch).text();
    assertThat(ConfigParser.parse(written).withVersion(8), is(patched));
  }

  private static String names(GatewayConfig config) {
    return String.join(",", config.rules().stream().map(RoutingRule::name).toList());
  }

  @ParameterizedTest
  @MethodSource("invalidPatches")
  void rejectsInvalidPatches(String yaml, String message) {
    GatewayException e = assertThrows(GatewayException.class, () -> ConfigPatch.parse(yaml));
    assertThat(e.getMessage(), containsString(message));
  }

  static Stream<Arguments> invalidPatches() {
    return Stream.of(
        Arguments.of("", "mapping"),
        Arguments.of("[]", "mapping"),
        Arguments.of("a: [", "not valid YAML"),
        Arguments.of("selektors: []", "unknown key 'selektors'"),
        Arguments.of("organisations: [{name: a, quota: 1}]", "unknown key 'quota'"),
        Arguments.of("remove: {rules: [a]}", "unknown key 'rules'"));
  }

  @Test
  void storeProvidesPatchesToLaggingPeers() {
    ConfigStore ahead = new ConfigStore();
    ConfigStore behind = new ConfigStore();
    ahead.offer(4, BASE);
    behind.offer(4, BASE);
    for (int v = 4; v < 7; v++) {
      ahead.offerPatches(v, List.of(ConfigPatch.parse("organisations: [{name: at-" + v + "}]")));
    }
    assertThat(ahead.patchesSince(3), is(Optional.empty()));
    assertThat(ahead.patchesSince(7), is(Optional.empty()));
    List<ConfigPatch> patches =
        ahead.patchesSince(4).orElseThrow().stream().map(ConfigPatch::parse).toList();
    assertThat(behind.offerPatches(4, patches), is(ConfigStore.Outcome.APPLIED));
    assertThat(behind.current(), is(ahead.current()));
    assertThat(behind.offerPatches(4, patches), is(ConfigStore.Outcome.STALE));
    assertThat(behind.offerPatches(9, patches), is(ConfigStore.Outcome.STALE));
    ahead.offer(9, BASE);
    assertThat("a whole document in between", ahead.patchesSince(6), is(Optional.empty()));
  }
}
