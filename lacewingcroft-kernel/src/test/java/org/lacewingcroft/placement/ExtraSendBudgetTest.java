package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalInt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the extra sends of all entries together stay within the shared budget, however many
 * they attempt.
 */
class ExtraSendBudgetTest {
  @ParameterizedTest
  @CsvSource({"1, 20, 58", "9, 5, 58", "9, 0, 58", "64, 2, 168"})
  void staysWithinTheSharedBudget(int entries, int requestsEachSecond, double slack) {
    Instant now = Instant.parse("2030-01-01T00:00:00Z");
    ExtraSendBudget[] budgets = new ExtraSendBudget[entries];
    for (int i = 0; i < entries; i++) {
      budgets[i] = new ExtraSendBudget(0.2, slack, Duration.ofSeconds(10));
    }
    int extras = 0;
    for (int second = 0; second < 10; second++) {
      for (ExtraSendBudget budget : budgets) {
        for (int r = 0; r < requestsEachSecond; r++) {
          budget.recordFirstSend("s", now);
        }
        while (budget.tryTake("s", OptionalInt.of(entries), now).granted()) {
          extras++;
        }
      }
      now = now.plusSeconds(1);
    }
    double allowed = 0.2 * requestsEachSecond * entries * 10 + slack;
    assertThat((double) extras, lessThanOrEqualTo(allowed));
  }
}
