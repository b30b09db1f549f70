package org.lacewingcroft.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.idempotency.IdempotencyTable.Admission;

class IdempotencyTableTest {
  private static final Instant T0 = Instant.ofEpochSecond(1_000);

  /** Steps: admit, complete, unknown, release, late (admit after retention). */
  static Stream<Arguments> histories() {
    return Stream.of(
        Arguments.of(List.of("admit", "admit"), List.of(Admission.RUN, Admission.IN_PROGRESS)),
        Arguments.of(
            List.of("admit", "complete", "admit"), List.of(Admission.RUN, Admission.REPLAY)),
        Arguments.of(
            List.of("admit", "unknown", "admit"), List.of(Admission.RUN, Admission.UNKNOWN)),
        Arguments.of(List.of("admit", "release", "admit"), List.of(Admission.RUN, Admission.RUN)),
        Arguments.of(
            List.of("admit", "complete", "release", "admit"),
            List.of(Admission.RUN, Admission.REPLAY)),
        Arguments.of(List.of("admit", "complete", "late"), List.of(Admission.RUN, Admission.RUN)));
  }

  @ParameterizedTest
  @MethodSource("histories")
  void runsEachKeyAtMostOnce(List<String> steps, List<Admission> expected) {
    IdempotencyTable table = new IdempotencyTable(Duration.ofHours(1));
    List<Admission> seen = new ArrayList<>();
    for (String step : steps) {
      switch (step) {
        case "admit" -> seen.add(table.admit("k", T0));
        case "complete" -> table.complete("k", 200, "application/json", new byte[] {1}, T0);
        case "unknown" -> table.markUnknown("k", T0);
        case "release" -> table.release("k");
        case "late" -> seen.add(table.admit("k", T0.plus(Duration.ofHours(2))));
        default -> throw new IllegalArgumentException(step);
      }
    }
    assertThat(seen, is(expected));
  }

  @ParameterizedTest
  @MethodSource("replicationOrders")
  void replicasKeepTheMostAdvancedState(
      List<IdempotencyTable.State> arrivals, IdempotencyTable.State expected) {
    IdempotencyTable backup = new IdempotencyTable(Duration.ofHours(1));
    for (IdempotencyTable.State s : arrivals) {
      backup.merge(new IdempotencyTable.Entry("k", s, 200, "", new byte[0], T0.plusSeconds(60)));
    }
    assertThat(backup.get("k").orElseThrow().state(), is(expected));
  }

  static Stream<Arguments> replicationOrders() {
    return Stream.of(
        Arguments.of(
            List.of(IdempotencyTable.State.RUNNING, IdempotencyTable.State.DONE),
            IdempotencyTable.State.DONE),
        Arguments.of(
            List.of(IdempotencyTable.State.DONE, IdempotencyTable.State.RUNNING),
            IdempotencyTable.State.DONE),
        Arguments.of(
            List.of(IdempotencyTable.State.UNKNOWN, IdempotencyTable.State.RUNNING),
            IdempotencyTable.State.UNKNOWN));
  }
}
