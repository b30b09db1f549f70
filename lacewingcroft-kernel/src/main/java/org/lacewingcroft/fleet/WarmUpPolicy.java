package org.lacewingcroft.fleet;

import java.time.Duration;

/**
 * Decides whether an entry warms up its request path after its start, and when the warm-up ends.
 *
 * <p>Designed for a peak directly after a start: the first requests of an entry run code that is
 * interpreted and take several times as long as later ones. The warm-up must not delay callers, so
 * it is bounded and ends as soon as a caller's request is present.
 *
 * @param maxRequests the number of requests of a warm-up, 0 for none
 */
public record WarmUpPolicy(int maxRequests) {
  /** Maximum number of requests of a warm-up: as many as an entry serves in a short deployment. */
  public static final int MAX_REQUESTS = 300;

  /** Maximum duration of a warm-up. */
  static final Duration MAX_DURATION = Duration.ofSeconds(3);

  /**
   * Time from the process start until which a warm-up may begin: callers come 19 s after it, and in
   * the last 10 s of these an entry must be able to catch up with whatever delayed its state.
   */
  static final Duration LATEST_BEGIN = Duration.ofSeconds(9);

  /** Number of failed requests after which the warm-up is given up as defective. */
  static final int MAX_FAILURES = 3;

  /** Validates the number of requests. */
  public WarmUpPolicy {
    if (maxRequests < 0 || maxRequests > MAX_REQUESTS) {
      throw new IllegalArgumentException(
          maxRequests + " is not a number of requests from 0 to " + MAX_REQUESTS);
    }
  }

  /** What to do about a warm-up that has not begun. */
  public enum Start {
    /** Begin now. */
    BEGIN,
    /** Ask again later. */
    WAIT,
    /** Do not warm up after this start. */
    SKIP
  }

  /** Whether a warm-up that has begun continues, or why it ends. */
  public enum Verdict {
    /** Send the next request. */
    CONTINUE,
    /** All requests have been sent. */
    COMPLETE,
    /** The time is over. */
    TIMEOUT,
    /** A caller's request is present. */
    CALLER,
    /** Too many requests have failed. */
    FAILED
  }

  /**
   * Decides whether to begin.
   *
   * @param stateReceived whether the entry has received the routing state and the endpoints
   * @param callerPresent whether a caller's request is in progress
   * @param sinceStart the time since the entry started
   */
  public Start decideStart(boolean stateReceived, boolean callerPresent, Duration sinceStart) {
    if (maxRequests == 0 || callerPresent || sinceStart.compareTo(LATEST_BEGIN) > 0) {
      return Start.SKIP;
    }
    return stateReceived ? Start.BEGIN : Start.WAIT;
  }

  /**
   * Decides whether to continue.
   *
   * @param sent the number of requests sent
   * @param failed how many of them failed
   * @param callerPresent whether a caller's request is in progress
   * @param elapsed the time since the warm-up began
   */
  public Verdict decideNext(int sent, int failed, boolean callerPresent, Duration elapsed) {
    if (callerPresent) {
      return Verdict.CALLER;
    } else if (failed >= MAX_FAILURES) {
      return Verdict.FAILED;
    } else if (sent >= maxRequests) {
      return Verdict.COMPLETE;
    }
    return elapsed.compareTo(MAX_DURATION) >= 0 ? Verdict.TIMEOUT : Verdict.CONTINUE;
  }

  /** Returns the maximum duration of a warm-up, after which it ends even without a response. */
  public Duration maxDuration() {
    return MAX_DURATION;
  }
}
