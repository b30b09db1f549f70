package org.lacewingcroft.fleet;

import java.time.Instant;

/**
 * The last pressure report of an entry.
 *
 * @param capacity the entry's capacity
 * @param pressure how much of it is in use
 * @param receivedAt when the report was received
 */
public record ReportedPressure(EntryCapacity capacity, EntryPressure pressure, Instant receivedAt) {
  /**
   * Share of the link from which an entry without requests in flight is considered to serve
   * callers: one request with a long prompt every few seconds.
   */
  private static final double MIN_CALLER_LINK_SHARE = 0.005;

  /**
   * Returns the share of the event loop that callers use. An entry that serves nobody may still be
   * busy: after a start its code is loaded and interpreted for several seconds.
   */
  double callerEventLoop() {
    boolean serving = pressure.inFlight() > 0 || pressure.link() >= MIN_CALLER_LINK_SHARE;
    return serving ? pressure.eventLoop() : 0;
  }

  /** Returns the processor cores that callers use. */
  double usedCores() {
    return callerEventLoop() * capacity.cores();
  }

  /** Returns the bytes per second that callers use of the busier direction of the link. */
  double usedLink() {
    return pressure.link() * capacity.linkBytesPerSecond();
  }
}
