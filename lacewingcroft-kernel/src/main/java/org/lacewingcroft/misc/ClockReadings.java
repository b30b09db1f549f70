package org.lacewingcroft.misc;

import java.time.Duration;
import java.time.Instant;

/**
 * Readings of two clocks at one moment. The monotonic clock does not advance while the machine is
 * suspended, but the wall clock does, so a difference between the two shows a suspension.
 *
 * @param monotonic the clock that is never adjusted
 * @param wall the wall clock
 */
public record ClockReadings(Instant monotonic, Instant wall) {
  /**
   * Maximum difference between the clocks that does not count as a suspension. It covers the delay
   * between the two readings, which are taken one after the other.
   */
  private static final Duration MAX_DIFFERENCE = Duration.ofMillis(500);

  /** Returns the time elapsed since earlier readings, by the monotonic clock. */
  public Duration elapsedSince(ClockReadings earlier) {
    return Duration.between(earlier.monotonic, monotonic);
  }

  /**
   * Returns whether the same time has elapsed by both clocks since earlier readings: the machine
   * was not suspended in between, and the wall clock was not adjusted.
   */
  public boolean agreeSince(ClockReadings earlier) {
    Duration difference = Duration.between(earlier.wall, wall).minus(elapsedSince(earlier)).abs();
    return difference.compareTo(MAX_DIFFERENCE) < 0;
  }
}
