package org.lacewingcroft.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that an entry relays to few partners, that they are stable, and that all entries of a
 * region are used evenly.
 */
class RelayPartnersTest {
  private static List<EntryInfo> entries(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new EntryInfo("far-" + i, "r", "a", "p", "q", "s"))
        .toList();
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 1", "2, 2", "3, 3", "20, 3"})
  void limitsNumberOfPartners(int entries, int partners) {
    assertThat(RelayPartners.of(entries(entries), "near"), hasSize(partners));
  }

  @Test
  void partnersStayWhenAnotherEntryIsRemoved() {
    List<EntryInfo> all = entries(8);
    List<EntryInfo> partners = RelayPartners.of(all, "near");
    List<EntryInfo> fewer =
        all.stream().filter(e -> partners.contains(e) || !e.name().equals("far-7")).toList();
    assertThat(RelayPartners.of(fewer, "near"), equalTo(partners));
  }

  @Test
  void partnersAreSpreadEvenly() {
    Map<String, Integer> relayCounts = new HashMap<>();
    for (int i = 0; i < 20; i++) {
      RelayPartners.of(entries(20), "near-" + i)
          .forEach(e -> relayCounts.merge(e.name(), 1, Integer::sum));
    }
    // The average is 3; the pseudo-random ranking accounts for a little more than twice that.
    relayCounts.values().forEach(n -> assertThat(n, lessThanOrEqualTo(8)));
  }
}
