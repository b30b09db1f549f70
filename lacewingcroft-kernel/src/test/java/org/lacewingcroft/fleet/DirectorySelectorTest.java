package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests which entries a caller of the region "north" is directed to. */
class DirectorySelectorTest {
  /**
   * A test case: the regions of the ready entries, the home regions of the host, and the expected
   * addresses.
   */
  record Row(
      String name, List<String> ready, Set<String> homeRegions, int limit, List<String> expected) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    Set<String> any = Set.of();
    return Stream.of(
        new Row("the caller's region", List.of("south", "north"), any, 9, List.of("north-1")),
        new Row(
            "the caller's region even if it is not a home region",
            List.of("south", "north"),
            Set.of("south"),
            9,
            List.of("north-1")),
        new Row(
            "any region if the caller's region has no entry",
            List.of("south", "east"),
            any,
            9,
            List.of("south-0", "east-1")),
        new Row(
            "a home region if the caller's region has no entry",
            List.of("south", "east"),
            Set.of("north", "east"),
            9,
            List.of("east-1")),
        new Row(
            "any region if no home region has an entry either",
            List.of("south", "east"),
            Set.of("north"),
            9,
            List.of("south-0", "east-1")),
        new Row("at most the limit", List.of("north", "north"), any, 1, List.of("north-0")),
        new Row("nobody", List.of(), any, 9, List.of()));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void selectsEntriesInPermittedRegions(Row row) {
    List<EntryInfo> ready =
        Stream.iterate(0, i -> i < row.ready().size(), i -> i + 1)
            .map(i -> entry(row.ready().get(i), i))
            .toList();
    assertThat(
        DirectorySelector.select(ready, "north", row.homeRegions(), row.limit()),
        equalTo(row.expected()));
  }

  private static EntryInfo entry(String region, int number) {
    return new EntryInfo("e" + number, region, "d", region + "-" + number, "p", "r");
  }
}
