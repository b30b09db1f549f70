package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Measures how busy an event loop is and how long data that it reads may have waited unread.
 *
 * <p>The owner reports the first activity and the end of each iteration, and a periodic check. Data
 * read in an iteration that directly follows another arrived after that one had polled for input,
 * so it has waited for at most the length of the previous iteration. If the loop was idle in
 * between, the data has just arrived, unless the periodic check is overdue: then the process was
 * suspended or the loop ran something unreported, and the data may have waited since the last
 * activity.
 *
 * <p>Confined to the event loop thread, except {@link #utilization} and {@link #currentDelay}.
 */
public final class EventLoopLoad {
  /** Interval at which the owner calls {@link #check}. */
  public static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * A shorter wait is treated as none. A process with a fraction of a core is regularly stopped for
   * most of a scheduling period of 100 ms, and callers' bounds are 500 ms.
   */
  public static final Duration MIN_DELAY = Duration.ofMillis(100);

  /** Timers of an event loop that is not late run within a few milliseconds. */
  private static final Duration CHECK_TOLERANCE = Duration.ofMillis(50);

  /** An iteration that begins this soon after the previous one found its input waiting. */
  private static final Duration MAX_POLL_DURATION = Duration.ofMillis(5);

  private static final double AVERAGING_SECONDS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Checks that run in quick succession after a late one are not averaged separately. */
  private static final Duration MIN_AVERAGED = Duration.ofMillis(50);

  private final InstantSource clock;
  private boolean inIteration;
  private Instant iterationBegan;
  private Instant iterationEnded;
  private Instant unreadSince;
  private Instant busyCountedUntil;
  private Optional<Instant> checkedAt = Optional.empty();
  private Instant averagedAt;
  private Duration busy = Duration.ZERO;
  private Duration lastIteration = Duration.ZERO;
  private Duration iterationBeforeLast = Duration.ZERO;
  private Duration longestSinceCheck = Duration.ZERO;
  private volatile double utilization;
  private volatile Duration currentDelay = Duration.ZERO;

  /** Creates the measurement of an event loop that has been idle so far. */
  public EventLoopLoad(InstantSource clock) {
    this.clock = clock;
    Instant now = clock.instant();
    this.iterationBegan = now;
    this.iterationEnded = now.minus(MAX_POLL_DURATION);
    this.unreadSince = now;
    this.busyCountedUntil = now;
    this.averagedAt = now;
  }

  /**
   * Records activity in the current iteration.
   *
   * @return whether it is the first of the iteration, whose end must then be reported
   */
  public boolean activity() {
    if (inIteration) {
      return false;
    }
    inIteration = true;
    Instant now = clock.instant();
    if (followsDirectly(now)) {
      unreadSince = iterationBegan;
      iterationBegan = now;
    } else if (isCheckOverdue(now)) {
      unreadSince = iterationEnded;
      iterationBegan = iterationEnded;
    } else {
      unreadSince = now;
      iterationBegan = now;
    }
    busyCountedUntil = iterationBegan;
    return true;
  }

  /**
   * Returns whether this iteration directly follows the last reported one. It certainly does if the
   * check was already due when that one ended, as it would have run in an iteration in between.
   */
  private boolean followsDirectly(Instant now) {
    return Duration.between(iterationEnded, now).compareTo(MAX_POLL_DURATION) < 0
        || checkedAt.filter(at -> !iterationEnded.isBefore(at.plus(CHECK_INTERVAL))).isPresent();
  }

  private boolean isCheckOverdue(Instant now) {
    return checkedAt
        .filter(at -> now.isAfter(at.plus(CHECK_INTERVAL).plus(CHECK_TOLERANCE)))
        .isPresent();
  }

  /** Records that all tasks of the iteration have run; the loop polls for input next. */
  public void iterationEnded() {
    Instant now = clock.instant();
    countBusy(now);
    inIteration = false;
    iterationEnded = now;
    iterationBeforeLast = lastIteration;
    lastIteration = Duration.between(iterationBegan, now);
    longestSinceCheck = longer(longestSinceCheck, lastIteration);
    if (lastIteration.compareTo(currentDelay) > 0) {
      currentDelay = lastIteration;
    }
  }

  private void countBusy(Instant now) {
    busy = busy.plus(Duration.between(busyCountedUntil, now));
    busyCountedUntil = now;
  }

  /** Updates the averages; called at each {@link #CHECK_INTERVAL}, after {@link #activity}. */
  public void check() {
    Instant now = clock.instant();
    checkedAt = Optional.of(now);
    Duration elapsed = Duration.between(averagedAt, now);
    if (elapsed.compareTo(MIN_AVERAGED) < 0) {
      return;
    }
    countBusy(now);
    double share = Math.min(1, (double) busy.toNanos() / elapsed.toNanos());
    double weight = 1 - Math.exp(-elapsed.toNanos() / NANOS_PER_SECOND / AVERAGING_SECONDS);
    utilization += (share - utilization) * weight;
    currentDelay = longer(longestSinceCheck, Duration.between(unreadSince, now));
    longestSinceCheck = Duration.ZERO;
    busy = Duration.ZERO;
    averagedAt = now;
  }

  private static Duration longer(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? b : a;
  }

  /** Returns a lower bound of the time at which data read in this iteration arrived. */
  public Instant unreadSince() {
    return unreadSince;
  }

  /**
   * Returns how long the next iteration is expected to take: the shorter of the last two, because a
   * single long iteration, as after a suspension, is not repeated, whereas under sustained overload
   * each one is long.
   */
  public Duration expectedIteration() {
    return lastIteration.compareTo(iterationBeforeLast) < 0 ? lastIteration : iterationBeforeLast;
  }

  /** Returns the share of time in which the event loop was busy, averaged over about a second. */
  public double utilization() {
    return utilization;
  }

  /**
   * Returns the longest time that data may have waited unread since the last check but one. Zero or
   * close to it while the event loop is not late.
   */
  public Duration currentDelay() {
    return currentDelay;
  }
}
