package org.lacewingcroft.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the frames of all peers that are waiting to be sent. A peer without waiting frames may
 * always add one, so that peers that do not read cannot keep the others from being reached.
 *
 * <p>Thread-safe.
 */
final class SendQueue {
  private final long maxBytes;
  private final AtomicLong totalBytes = new AtomicLong();
  private final Map<String, Long> bytesByPeer = new ConcurrentHashMap<>();

  /** Creates an empty queue. */
  SendQueue(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds a frame to a peer's queue and returns true, or returns false if too many are waiting. */
  boolean tryAdd(String peer, int frameBytes) {
    boolean idle = !bytesByPeer.containsKey(peer);
    if (!idle && totalBytes.get() + frameBytes > maxBytes) {
      return false;
    }
    totalBytes.addAndGet(frameBytes);
    bytesByPeer.merge(peer, (long) frameBytes, Long::sum);
    return true;
  }

  /** Removes a frame that has been sent or cannot be sent. */
  void remove(String peer, int frameBytes) {
    totalBytes.addAndGet(-frameBytes);
    bytesByPeer.computeIfPresent(
        peer, (p, bytes) -> bytes > frameBytes ? bytes - frameBytes : null);
  }

  long queuedBytes() {
    return totalBytes.get();
  }
}
