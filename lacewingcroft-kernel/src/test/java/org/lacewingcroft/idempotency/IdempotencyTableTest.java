package org.lacewingcroft.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.idempotency.IdempotencyTable.Entry;
import org.lacewingcroft.idempotency.IdempotencyTable.State;

class IdempotencyTableTest {
  private static final Instant T0 = Instant.ofEpochSecond(1_000);
  private static final Claimant OWNER = new Claimant("entry-1", 1);
  private static final Claimant RESTARTED = new Claimant("entry-1", 2);
  private static final Claimant OTHER = new Claimant("entry-2", 1);

  /**
   * Returns the test cases: operations on one replica and the result of each claim, which is {@code
   * free} or the state of the existing record.
   */
  static Stream<Arguments> histories() {
    return Stream.of(
        history(List.of("claim", "claim"), List.of("free", "RUNNING")),
        history(List.of("claim", "complete", "claim"), List.of("free", "DONE")),
        history(List.of("claim", "unknown", "claim"), List.of("free", "UNKNOWN")),
        history(List.of("claim", "release", "claim"), List.of("free", "free")),
        history(List.of("claim", "complete", "release", "claim"), List.of("free", "DONE")),
        history(List.of("claim", "complete", "unknown", "claim"), List.of("free", "DONE")),
        history(List.of("claim", "complete", "late"), List.of("free", "free")),
        history(List.of("grant", "grant"), List.of("free", "free")),
        history(List.of("grant", "claim"), List.of("free", "RUNNING")),
        history(List.of("grant", "grantOther"), List.of("free", "RUNNING")),
        history(List.of("grant", "grantRestarted"), List.of("free", "RUNNING")),
        history(List.of("claim", "complete", "grantOther"), List.of("free", "DONE")),
        history(List.of("grant", "releaseOther", "grantOther"), List.of("free", "RUNNING")),
        history(List.of("grant", "release", "grantOther"), List.of("free", "free")));
  }

  private static Arguments history(List<String> steps, List<String> found) {
    return Arguments.of(steps, found);
  }

  @ParameterizedTest
  @MethodSource("histories")
  void grantsEachKeyToOneClaimant(List<String> steps, List<String> expected) {
    IdempotencyTable table = new IdempotencyTable(Duration.ofHours(1));
    List<String> found = new ArrayList<>();
    for (String step : steps) {
      switch (step) {
        case "claim" -> found.add(describe(table.claim("k", OWNER, T0)));
        case "late" -> found.add(describe(table.claim("k", OWNER, T0.plus(Duration.ofHours(2)))));
        case "grant" -> found.add(describe(table.grant("k", OWNER, T0)));
        case "grantOther" -> found.add(describe(table.grant("k", OTHER, T0)));
        case "grantRestarted" -> found.add(describe(table.grant("k", RESTARTED, T0)));
        case "complete" -> table.complete("k", OWNER, 200, "text/plain", new byte[] {1}, T0);
        case "unknown" -> table.markUnknown("k", OWNER, T0);
        case "release" -> table.release("k", OWNER);
        case "releaseOther" -> table.release("k", OTHER);
        default -> throw new IllegalArgumentException(step);
      }
    }
    assertThat(found, is(expected));
  }

  private static String describe(Optional<Entry> existing) {
    return existing.map(e -> e.state().name()).orElse("free");
  }

  static Stream<Arguments> replicationOrders() {
    return Stream.of(
        Arguments.of(List.of(State.RUNNING, State.DONE), State.DONE),
        Arguments.of(List.of(State.DONE, State.RUNNING), State.DONE),
        Arguments.of(List.of(State.UNKNOWN, State.RUNNING), State.UNKNOWN),
        Arguments.of(List.of(State.UNKNOWN, State.DONE), State.DONE),
        Arguments.of(List.of(State.DONE, State.UNKNOWN), State.DONE));
  }

  @ParameterizedTest
  @MethodSource("replicationOrders")
  void replicasStoreTheMostAdvancedState(List<State> arrivals, State expected) {
    IdempotencyTable replica = new IdempotencyTable(Duration.ofHours(1));
    for (State state : arrivals) {
      replica.merge(new Entry("k", state, OWNER, 200, "", new byte[0], T0), T0);
    }
    assertThat(replica.get("k").orElseThrow().state(), is(expected));
  }
}
