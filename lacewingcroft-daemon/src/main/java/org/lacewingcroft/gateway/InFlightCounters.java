package org.lacewingcroft.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts this entry's requests in flight, in total and by endpoint. Thread-safe. */
final class InFlightCounters {
  private final AtomicInteger total = new AtomicInteger();
  private final Map<String, AtomicInteger> byEndpoint = new ConcurrentHashMap<>();

  int total() {
    return total.get();
  }

  /** Counts a request as started and returns the new total. */
  int requestStarted() {
    return total.incrementAndGet();
  }

  /** Counts a request as ended and returns the new total. */
  int requestEnded() {
    return total.decrementAndGet();
  }

  void attemptStarted(String endpointId) {
    byEndpoint.computeIfAbsent(endpointId, k -> new AtomicInteger()).incrementAndGet();
  }

  void attemptEnded(String endpointId) {
    byEndpoint.computeIfPresent(endpointId, (k, n) -> n.decrementAndGet() <= 0 ? null : n);
  }

  /** Returns the number of attempts in flight to an endpoint. */
  int countTo(String endpointId) {
    AtomicInteger n = byEndpoint.get(endpointId);
    return n == null ? 0 : n.get();
  }
}
