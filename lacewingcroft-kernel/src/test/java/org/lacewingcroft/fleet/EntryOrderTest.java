package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the order in which entries become active. */
class EntryOrderTest {
  /** Entries as {@code name/domain/cores/linkMbps}, in the expected order. */
  record Row(String name, List<String> order) {
    @Override
    public String toString() {
      return name;
    }
  }

  static List<Row> rows() {
    return List.of(
        new Row("no entry", List.of()),
        new Row("by name", List.of("a/1/0.4/7", "b/1/0.4/7")),
        new Row("larger first", List.of("b/1/0.5/7", "a/1/0.4/7")),
        new Row(
            "alternates between failure domains",
            List.of("c/1/0.4/7", "a/2/0.5/7", "d/1/0.4/7", "b/2/0.5/7", "e/1/0.4/7")),
        new Row(
            "few cores last",
            List.of("a/1/0.9/7", "b/1/0.45/7", "c/1/0.44/7", "d/2/0.27/7", "e/1/0.27/7")),
        new Row("narrow link last", List.of("b/1/0.5/8", "c/1/0.5/4", "a/1/0.9/3")));
  }

  /** Guards against control instances that list different entries after the same reports. */
  @ParameterizedTest
  @MethodSource("rows")
  void dependsOnlyOnEntries(Row row) {
    for (long seed = 0; seed < 5; seed++) {
      List<String> shuffled = new ArrayList<>(row.order());
      Collections.shuffle(shuffled, new Random(seed));
      List<EntryOrder.Candidate> candidates =
          shuffled.stream().map(EntryOrderTest::candidate).toList();
      List<String> names = EntryOrder.of(candidates).stream().map(c -> c.info().name()).toList();
      assertThat(names, equalTo(row.order().stream().map(e -> e.split("/")[0]).toList()));
    }
  }

  private static EntryOrder.Candidate candidate(String text) {
    String[] fields = text.split("/");
    return new EntryOrder.Candidate(
        new EntryInfo(fields[0], "north", fields[1], "p", "q", "r"),
        new EntryCapacity(
            Double.parseDouble(fields[2]), Long.parseLong(fields[3]) * 125_000, 1, 1));
  }
}
