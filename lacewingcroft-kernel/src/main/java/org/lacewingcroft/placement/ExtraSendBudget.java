package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds sends beyond the first of each request, by service, over a sliding window. All entries
 * share one budget: each takes its part of the fixed slack and the ratio of its own requests, and
 * uses {@link #USED_SHARE} of both, so that entries that disagree on how many they are keep it too.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class ExtraSendBudget {
  private static final double USED_SHARE = 0.6;

  private final double ratio;
  private final double slack;
  private final Duration window;
  private final Map<String, Deque<Instant>> requests = new HashMap<>();
  private final Map<String, Deque<Instant>> extras = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param ratio extra sends allowed for each request in the window
   * @param slack extra sends allowed besides, over all entries
   * @param window the window's length
   */
  public ExtraSendBudget(double ratio, double slack, Duration window) {
    this.ratio = ratio;
    this.slack = slack;
    this.window = window;
  }

  /** Counts a request's first send. */
  public void recordFirstSend(String service, Instant now) {
    recent(requests, service, now).addLast(now);
  }

  /**
   * Takes one extra send from the budget.
   *
   * @param entries how many entries share the budget
   * @return whether it may be sent
   */
  public boolean tryTake(String service, int entries, Instant now) {
    Deque<Instant> taken = recent(extras, service, now);
    double allowed =
        USED_SHARE * (ratio * recent(requests, service, now).size() + slack / Math.max(1, entries));
    if (taken.size() + 1 > Math.max(1, allowed)) {
      return false;
    }
    taken.addLast(now);
    return true;
  }

  private Deque<Instant> recent(Map<String, Deque<Instant>> times, String service, Instant now) {
    Deque<Instant> recent = times.computeIfAbsent(service, s -> new ArrayDeque<>());
    Instant horizon = now.minus(window);
    while (!recent.isEmpty() && recent.peekFirst().isBefore(horizon)) {
      recent.removeFirst();
    }
    return recent;
  }
}
