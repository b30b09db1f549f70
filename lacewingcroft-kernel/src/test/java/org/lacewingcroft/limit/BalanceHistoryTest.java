package org.lacewingcroft.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a balance that each side of a partition spends before it is divided. */
class BalanceHistoryTest {
  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final double BURST = 900;
  private static final double PER_SECOND = 900;
  private static final double TOLERANCE = 1e-6;

  /** Returns a third of a quota that is shared by three entries, two of which are silent. */
  private static BalanceHistory.Share third(double ratio) {
    return new BalanceHistory.Share(ratio, PER_SECOND / 3, BURST / 3);
  }

  /** Returns a history of one second in which usage was charged at a constant rate. */
  private static BalanceHistory historyOf(double balance, double chargedPerSecond) {
    BalanceHistory history = new BalanceHistory();
    for (int i = 0; i < 10; i++) {
      history.record(balanceAt(balance, chargedPerSecond, i), i * chargedPerSecond / 10, at(i));
    }
    return history;
  }

  private static double balanceAt(double balance, double chargedPerSecond, int tenths) {
    return Math.min(BURST, balance + tenths * (PER_SECOND - chargedPerSecond) / 10);
  }

  private static Instant at(int tenths) {
    return START.plusMillis(100L * tenths);
  }

  @ParameterizedTest
  @CsvSource({"900, 0, 300", "900, 300, 270", "900, 1350, -780", "0, 900, -600", "-450, 0, -150"})
  void usageBeforeTheSilenceWasFoundCountsAgainstTheShare(
      double balance, double chargedPerSecond, double expected) {
    double divided =
        historyOf(balance, chargedPerSecond)
            .divide(
                third(1.0 / 3),
                START,
                balanceAt(balance, chargedPerSecond, 10),
                chargedPerSecond,
                at(10));
    assertThat(divided, closeTo(expected, TOLERANCE));
  }

  /** Regions are found to be silent one after the other. */
  @Test
  void successiveDivisionsEqualOne() {
    BalanceHistory history = historyOf(900, 1_350);
    double present = balanceAt(900, 1_350, 10);
    BalanceHistory.Share twoThirds =
        new BalanceHistory.Share(2.0 / 3, PER_SECOND * 2 / 3, BURST * 2 / 3);
    double first = history.divide(twoThirds, START, present, 1_350, at(10));
    double second = history.divide(third(0.5), START, first, 1_350, at(10));
    assertThat(second, closeTo(-780, TOLERANCE));
  }
}
