package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Limits extra sends (any send of a request after the first: retry, hedge or relay) of each service
 * over a sliding window. All entries share one budget: each entry may use an equal part of a fixed
 * allowance (the slack) plus a fixed ratio of its own requests, but uses only {@link #USED_SHARE}
 * of both, so that the limit also holds if sends that were held up on the way arrive in a later
 * window. An entry that does not know how many others use the slack uses none of it. In contrast, a
 * {@link org.lacewingcroft.limit.RetryBudget} limits the retries and hedges of one instance.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class ExtraSendBudget {
  private static final double USED_SHARE = 0.6;

  private final double ratio;
  private final double slack;
  private final Duration window;
  private final Map<String, Deque<Instant>> firstSends = new HashMap<>();
  private final Map<String, Deque<Instant>> extraSends = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param ratio extra sends allowed for each request in the window
   * @param slack extra sends allowed in addition, over all entries
   * @param window the length of the window
   */
  public ExtraSendBudget(double ratio, double slack, Duration window) {
    this.ratio = ratio;
    this.slack = slack;
    this.window = window;
  }

  /**
   * The result of a request for an extra send.
   *
   * @param granted whether the request may be sent again
   * @param used the extra sends of this entry in the window, including this one if it was granted
   * @param allowed the extra sends that this entry may make in the window
   * @param entries the number of entries that the slack was divided by, empty if it is unknown
   */
  public record Decision(boolean granted, int used, double allowed, OptionalInt entries) {}

  /** Counts a request's first send. */
  public void recordFirstSend(String service, Instant now) {
    recent(firstSends, service, now).addLast(now);
  }

  /**
   * Takes one extra send from the budget. An entry may always take one per service and window.
   *
   * @param entries the number of entries that share the budget, empty if it is unknown
   */
  public Decision tryTake(String service, OptionalInt entries, Instant now) {
    Deque<Instant> taken = recent(extraSends, service, now);
    double slackShare = entries.isPresent() ? slack / entries.getAsInt() : 0;
    double allowed = USED_SHARE * (ratio * recent(firstSends, service, now).size() + slackShare);
    boolean granted = taken.size() + 1 <= Math.max(1, allowed);
    if (granted) {
      taken.addLast(now);
    }
    return new Decision(granted, taken.size(), allowed, entries);
  }

  private Deque<Instant> recent(Map<String, Deque<Instant>> times, String service, Instant now) {
    Deque<Instant> recent = times.computeIfAbsent(service, s -> new ArrayDeque<>());
    Instant windowStart = now.minus(window);
    while (!recent.isEmpty() && recent.peekFirst().isBefore(windowStart)) {
      recent.removeFirst();
    }
    return recent;
  }
}
