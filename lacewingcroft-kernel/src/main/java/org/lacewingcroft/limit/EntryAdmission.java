package org.lacewingcroft.limit;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides whether an entry whose event loop is late admits a request. It handles the load of a peak
 * or a suspension in which requests wait unread: a request that cannot have its response in time is
 * refused before its body is parsed, and one that is admitted is treated as having arrived earlier.
 *
 * <p>An admitted request needs two more iterations: one to read whether its caller has
 * disconnected, one to read the response. A request that may run only once must also have its
 * latency objective left, because a run whose response is too late cannot be repeated, whereas a
 * refused request can. The time that endpoints need otherwise is estimated by placement.
 */
public final class EntryAdmission {
  /** Shortest stated delay; a shorter one would return callers in the iteration that is late. */
  static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** Longest stated delay; callers have timeouts of seconds. */
  static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(1);

  private static final int ITERATIONS_NEEDED = 2;

  private final RandomGenerator random;

  /**
   * A request whose head has been read.
   *
   * @param unreadWait how long it may have waited unread
   * @param timeLimit the time from its arrival until its response is due
   * @param firstByteObjective the target time to the first byte of its response
   * @param repeatable whether it may run more than once
   */
  public record Candidate(
      Duration unreadWait, Duration timeLimit, Duration firstByteObjective, boolean repeatable) {}

  /** A decision about one request. */
  public sealed interface Decision permits Admitted, Refused {}

  /**
   * The request is admitted.
   *
   * @param arrivedBefore how long before now it is taken to have arrived
   */
  public record Admitted(Duration arrivedBefore) implements Decision {}

  /**
   * The request is refused; it has not run.
   *
   * @param retryAfter when the caller should repeat it
   */
  public record Refused(Duration retryAfter) implements Decision {}

  /**
   * Creates the decision.
   *
   * @param random spreads the repeats of requests that were refused together
   */
  public EntryAdmission(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Decides on a request.
   *
   * @param expectedIteration how long the next iterations of the event loop are expected to take
   */
  public Decision decide(Candidate request, Duration expectedIteration) {
    if (request.unreadWait().compareTo(EventLoopLoad.MIN_DELAY) < 0) {
      return new Admitted(Duration.ZERO);
    }
    Duration needed = expectedIteration.multipliedBy(ITERATIONS_NEEDED);
    if (!request.repeatable()) {
      needed = needed.plus(request.firstByteObjective());
    }
    if (request.unreadWait().plus(needed).compareTo(request.timeLimit()) < 0) {
      return new Admitted(request.unreadWait());
    }
    return new Refused(retryAfter(request.unreadWait()));
  }

  /**
   * Requests read together arrived over the time that they waited; their repeats are spread over
   * the same time, so that they do not make the event loop late again.
   */
  private Duration retryAfter(Duration unreadWait) {
    Duration latest = unreadWait.compareTo(MAX_RETRY_AFTER) < 0 ? unreadWait : MAX_RETRY_AFTER;
    return Duration.ofMillis(random.nextLong(MIN_RETRY_AFTER.toMillis(), latest.toMillis() + 1));
  }
}
