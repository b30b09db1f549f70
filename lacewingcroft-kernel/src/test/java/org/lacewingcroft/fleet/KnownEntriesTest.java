package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against relays to entries that do not reach the endpoints themselves. */
class KnownEntriesTest {
  private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");
  private static final Set<String> NONE = Set.of();

  private final KnownEntries entries = new KnownEntries(entry("n1", "north"));

  private static EntryInfo entry(String name, String region) {
    return new EntryInfo(name, region, region + "-a", name + ":1", name + ":2", name + ":3");
  }

  @BeforeEach
  void listEntries() {
    entries.update(
        new FleetMessage.EntryList(
            "c1",
            Stream.of("n1", "n2", "n3", "s1", "s2")
                .map(name -> entry(name, name.startsWith("n") ? "north" : "south"))
                .toList()));
  }

  private void report(String control, Map<String, Set<String>> unreachableServices, Instant at) {
    entries.updateReach(new FleetMessage.EntryReach(control, unreachableServices), at);
  }

  private List<String> targets(String region, Set<String> excluded, Instant at) {
    return entries.relayTargets(region, "desk", excluded, at).stream()
        .map(EntryInfo::name)
        .toList();
  }

  static Stream<Arguments> relayTargets() {
    Set<String> desk = Set.of("desk");
    return Stream.of(
        Arguments.of("all reach it", Map.of(), "south", NONE, Set.of("s1", "s2")),
        Arguments.of("never itself", Map.of(), "north", NONE, Set.of("n2", "n3")),
        Arguments.of("one is cut off", Map.of("s1", desk), "south", NONE, Set.of("s2")),
        Arguments.of("all are cut off", Map.of("s1", desk, "s2", desk), "south", NONE, NONE),
        Arguments.of(
            "from another service", Map.of("n2", Set.of("x")), "north", Set.of("n3"), Set.of("n2")),
        Arguments.of("rest excluded", Map.of("n2", desk), "north", Set.of("n3"), NONE));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("relayTargets")
  void relaysOnlyToEntriesThatReachTheService(
      String name,
      Map<String, Set<String>> unreachableServices,
      String region,
      Set<String> excluded,
      Set<String> expected) {
    report("c1", unreachableServices, NOW);
    assertThat(Set.copyOf(targets(region, excluded, NOW)), equalTo(expected));
  }

  @Test
  void reportsExpireUnlessRepeated() {
    report("c1", Map.of("n2", Set.of("desk")), NOW);
    report("c2", Map.of(), NOW);
    assertThat(targets("north", NONE, NOW.plusMillis(1_000)), contains("n3"));
    assertThat(targets("north", NONE, NOW.plusMillis(1_500)), containsInAnyOrder("n2", "n3"));
  }

  @Test
  void entriesThatReachMoreServicesReportTheLoadOfTheRegion() {
    report("c1", Map.of("n1", Set.of("desk", "x"), "n2", Set.of("desk")), NOW);
    assertThat(entries.regionNamesByReach(NOW), contains("n3", "n2", "n1"));
    assertThat(entries.regionNames(), contains("n1", "n2", "n3"));
  }
}
