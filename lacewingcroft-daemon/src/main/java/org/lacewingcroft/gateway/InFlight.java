package org.lacewingcroft.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts this entry's requests in flight, in total and by endpoint. Thread-safe. */
final class InFlight {
  private final AtomicInteger total = new AtomicInteger();
  private final Map<String, AtomicInteger> byEndpoint = new ConcurrentHashMap<>();

  int total() {
    return total.get();
  }

  int begin() {
    return total.incrementAndGet();
  }

  int end() {
    return total.decrementAndGet();
  }

  void sent(String endpointId) {
    byEndpoint.computeIfAbsent(endpointId, k -> new AtomicInteger()).incrementAndGet();
  }

  void answered(String endpointId) {
    byEndpoint.computeIfPresent(endpointId, (k, n) -> n.decrementAndGet() <= 0 ? null : n);
  }

  int to(String endpointId) {
    AtomicInteger n = byEndpoint.get(endpointId);
    return n == null ? 0 : n.get();
  }
}
