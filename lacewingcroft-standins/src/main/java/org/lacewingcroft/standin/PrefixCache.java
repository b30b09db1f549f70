package org.lacewingcroft.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded least-recently-used set of cached prompt prefixes, as an engine's KV cache. */
final class PrefixCache {
  private final Map<String, Boolean> entries;

  PrefixCache(int capacity) {
    this.entries =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Returns whether the prefix was cached, and caches it. */
  synchronized boolean lookupAndAdd(String prefix) {
    boolean hit = entries.containsKey(prefix);
    entries.put(prefix, Boolean.TRUE);
    return hit;
  }
}
