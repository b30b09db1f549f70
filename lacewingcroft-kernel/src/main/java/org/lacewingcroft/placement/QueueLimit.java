package org.lacewingcroft.placement;

import java.util.OptionalInt;

/**
 * The queue length at which endpoints of a service reject requests, as far as rejections have shown
 * it. It is shared by the trackers of a service: if 30 entries had to learn it from 30 endpoints
 * separately, 900 requests would be rejected first.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class QueueLimit {
  private OptionalInt limit = OptionalInt.empty();

  /** Records the queue length that an endpoint reported when it rejected a request as full. */
  void rejectedAt(int waiting) {
    limit = OptionalInt.of(waiting);
  }

  /** Returns the queue length at which the last rejection was seen. */
  OptionalInt limit() {
    return limit;
  }
}
