package org.lacewingcroft.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lacewingcroft.misc.PrefixHash;

/**
 * A bounded least-recently-used set of cached prompt prefixes, as an engine's KV cache, with its
 * cache events: what it holds is reported late, and a share of the events is never reported.
 */
final class PrefixCache {
  private static final double LOST_EVENTS = 0.1;

  private record Event(long atNanos, String hash, boolean added) {}

  private final Map<String, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> unreported = new ArrayDeque<>();
  private final Set<String> reported = new HashSet<>();
  private final Random random = new Random(1);
  private final int capacity;
  private final long lagNanos;

  PrefixCache(int capacity, long lagNanos) {
    this.capacity = capacity;
    this.lagNanos = lagNanos;
  }

  /** Returns whether the prefix was cached, and caches it. */
  boolean lookupAndAdd(String prefix, long nowNanos) {
    String hash = PrefixHash.of(prefix);
    boolean hit = entries.containsKey(hash);
    entries.put(hash, Boolean.TRUE);
    if (!hit) {
      note(new Event(nowNanos, hash, true));
    }
    if (entries.size() > capacity) {
      Iterator<String> eldest = entries.keySet().iterator();
      note(new Event(nowNanos, eldest.next(), false));
      eldest.remove();
    }
    return hit;
  }

  private void note(Event event) {
    if (random.nextDouble() >= LOST_EVENTS) {
      unreported.add(event);
    }
  }

  /** Returns the hashes that the events old enough to be reported say are held. */
  Set<String> reported(long nowNanos) {
    while (!unreported.isEmpty() && unreported.peek().atNanos() + lagNanos <= nowNanos) {
      Event event = unreported.poll();
      if (event.added()) {
        reported.add(event.hash());
      } else {
        reported.remove(event.hash());
      }
    }
    return Set.copyOf(reported);
  }
}
