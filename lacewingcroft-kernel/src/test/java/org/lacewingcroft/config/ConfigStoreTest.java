package org.lacewingcroft.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigStoreTest {
  static Stream<Arguments> offerOrders() {
    return Stream.of(
        Arguments.of(List.of(1L, 2L, 3L), 3L, 0L),
        Arguments.of(List.of(3L, 1L, 2L), 3L, 2L),
        Arguments.of(List.of(2L, 2L, 1L), 2L, 2L),
        Arguments.of(List.of(5L, 4L, 6L, 5L), 6L, 2L));
  }

  @ParameterizedTest
  @MethodSource("offerOrders")
  void neverAppliesAnOlderVersion(List<Long> offers, long finalVersion, long stale) {
    ConfigStore store = new ConfigStore();
    long highest = 0;
    for (long version : offers) {
      store.offer(version, "selectors: []");
      highest = Math.max(highest, version);
      assertThat(store.current().version(), is(highest));
    }
    assertThat(store.current().version(), is(finalVersion));
    assertThat(store.staleOffers(), is(stale));
  }
}
