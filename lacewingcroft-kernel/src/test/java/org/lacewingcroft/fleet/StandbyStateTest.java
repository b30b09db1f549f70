package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what the entry "a" assumes about the active entries. */
class StandbyStateTest {
  private static final Instant START = Instant.ofEpochSecond(1_000);

  record Row(String name, Map<String, List<String>> lists, long ageMillis, boolean standby) {
    @Override
    public String toString() {
      return name;
    }
  }

  static List<Row> rows() {
    return List.of(
        new Row("no list", Map.of(), 0, false),
        new Row("listed", Map.of("c1", List.of("a", "b")), 0, false),
        new Row("not listed", Map.of("c1", List.of("b")), 0, true),
        new Row(
            "control instances differ", Map.of("c1", List.of("b"), "c2", List.of("a")), 0, false),
        new Row("list of 4.9 s ago", Map.of("c1", List.of("b")), 4_900, true),
        new Row("expired list", Map.of("c1", List.of("b")), 5_000, false));
  }

  /** Guards against an entry that serves callers and stays on standby after its list expired. */
  @ParameterizedTest
  @MethodSource("rows")
  void isOnStandbyOnlyIfNoRecentListContainsIt(Row row) {
    StandbyState state = new StandbyState("a");
    row.lists()
        .forEach(
            (from, names) ->
                state.onActiveEntries(new FleetMessage.ActiveEntries(from, names), START));
    assertThat(state.isStandby(START.plusMillis(row.ageMillis())), is(row.standby()));
  }

  /** Guards against an entry on standby that serves a caller's request with an old view. */
  @ParameterizedTest
  @CsvSource({"0, false", "4900, false", "5000, true"})
  void participatesAfterRequest(long millisSinceRequest, boolean standby) {
    StandbyState state = new StandbyState("a");
    state.onRequest(START);
    Instant now = START.plusMillis(millisSinceRequest);
    state.onActiveEntries(new FleetMessage.ActiveEntries("c1", List.of("b")), now);
    assertThat(state.isStandby(now), is(standby));
  }

  /** Guards against a region without relay partners because none of its entries is listed. */
  @ParameterizedTest
  @CsvSource({"'b', 'b'", "'x', 'b,c'"})
  void relayPartnersAreActiveIfAnyIs(String listed, String expected) {
    StandbyState state = new StandbyState("a");
    state.onActiveEntries(new FleetMessage.ActiveEntries("c1", List.of(listed)), START);
    List<EntryInfo> entries = List.of(entry("b"), entry("c"));
    assertThat(
        state.activeOf(entries, START).stream().map(EntryInfo::name).toList(),
        equalTo(List.of(expected.split(","))));
    assertThat(
        state.activeFirst(List.of("c", "b"), START).get(0), is("x".equals(listed) ? "c" : "b"));
  }

  private static EntryInfo entry(String name) {
    return new EntryInfo(name, "north", "d", name, name, name);
  }
}
