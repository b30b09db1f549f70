package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * The time that usage takes to the other entries, as measured with this entry's reports.
 *
 * <p>Not thread-safe.
 */
final class ReportDelay {
  /** Minimum time that usage is assumed to take to the other entries. */
  static final double MIN_SECONDS = 0.3;

  /** Time constant with which the measured delay of reports falls back to the minimum. */
  private static final double DECAY_SECONDS = 5;

  private double seconds = MIN_SECONDS;
  private Instant measuredAt = Instant.EPOCH;

  /** Records that a report that was sent at the given time has come back. */
  void onIncluded(Instant sentAt, Instant now) {
    seconds = Math.max(seconds(now), Duration.between(sentAt, now).toNanos() / 1e9);
    measuredAt = now;
  }

  /** Returns the delay in seconds. */
  double seconds(Instant now) {
    double age = Duration.between(measuredAt, now).toNanos() / 1e9;
    double decay = Math.exp(-age / DECAY_SECONDS);
    return Math.max(MIN_SECONDS, seconds * decay);
  }
}
