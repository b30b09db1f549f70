package org.lacewingcroft.placement;

import java.util.OptionalDouble;

/**
 * The average pace at which the samples of a moving average were taken, so that the average can be
 * converted to the current pace. Without reported paces the factor is always 1.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class PaceReference {
  /**
   * Share of a difference in pace that is expected to last for the work that is estimated. A pace
   * lasts about 600 ms, its report is 100 to 300 ms old, and the work takes 100 to 500 ms. With the
   * whole difference, requests follow the endpoint that is fastest at the moment, and twice as many
   * tokens of shared prefixes are prefilled again.
   */
  private static final double LASTING_SHARE = 0.3;

  private double averagePace = 1;

  /**
   * Records the pace of a sample.
   *
   * @param weight the weight of the sample in the moving average
   */
  void addSample(OptionalDouble pace, double weight) {
    averagePace += weight * (pace.orElse(averagePace) - averagePace);
  }

  /** Returns how many times as long as in the samples work is expected to take. */
  double factor(OptionalDouble currentPace) {
    return currentPace.isPresent() ? lastingFactor(currentPace.getAsDouble() / averagePace) : 1;
  }

  /** Returns the part of a factor of the current pace that is expected to last. */
  static double lastingFactor(double factor) {
    return 1 + LASTING_SHARE * (factor - 1);
  }
}
