package org.lacewingcroft.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointKind;
import org.lacewingcroft.misc.Rendezvous;

class CacheAwarePolicyTest {
  private static final String PREFIX = "a shared prompt prefix";
  private static final List<String> RANKED =
      Rendezvous.rank(List.of("e1", "e2", "e3"), id -> id, PREFIX);

  /**
   * Columns: the prompt length; the load (of ten slots) and whether the prefix is assumed to be
   * cached, for the first, second and third engine in rendezvous order; the index of the engine
   * that must be chosen.
   */
  @ParameterizedTest
  @CsvSource({
    "4000, 0, false, 0, false, 0, false, 0",
    "4000, 0, false, 0, true, 0, false, 1",
    "4000, 11, true, 0, false, 1, false, 1",
    "4000, 5, true, 0, false, 0, false, 0",
    "4000, 6, true, 0, false, 0, true, 2",
    "4000, 11, true, 11, true, 4, false, 2",
    "4000, 6, false, 0, false, 1, false, 1",
    "400, 7, true, 0, false, 1, false, 1"
  })
  void weighsLoadAgainstPrefixCacheMiss(
      int promptChars,
      int load0,
      boolean cached0,
      int load1,
      boolean cached1,
      int load2,
      boolean cached2,
      int chosen) {
    List<Candidate> candidates =
        List.of(
            candidate(RANKED.get(2), load2, cached2),
            candidate(RANKED.get(0), load0, cached0),
            candidate(RANKED.get(1), load1, cached1));
    RouteRequest request =
        new RouteRequest("org", "writer", "normal", Set.of(), false, Set.of(), promptChars, PREFIX);
    Candidate best = new CacheAwarePolicy().choose(candidates, request).orElseThrow();
    String expected = RANKED.get(chosen);
    assertThat(best.endpoint().id(), is(expected));
  }

  private static Candidate candidate(String id, int load, boolean cached) {
    Endpoint endpoint =
        new Endpoint(
            id,
            "http://127.0.0.1:1",
            "uusimaa",
            "uusimaa-a",
            EndpointKind.ENGINE,
            Map.of(),
            Set.of("writer"),
            10,
            false,
            false,
            0,
            Set.of(),
            0,
            Instant.MAX);
    return new Candidate(endpoint, load, cached);
  }
}
