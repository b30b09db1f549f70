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
 * A bounded set of prompt prefixes with least-recently-used eviction, which simulates the KV cache
 * of an engine. Cache events are reported with a lag, and a share of them is never reported.
 */
final class PrefixCache {
  private static final double EVENT_LOSS_PROBABILITY = 0.1;

  private record Event(long atNanos, String hash, boolean added) {}

  private final Map<String, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> unreported = new ArrayDeque<>();
  private final Set<String> reportedHashes = new HashSet<>();
  private final Random random = new Random(1);
  private final int capacity;
  private final long lagNanos;

  PrefixCache(int capacity, long lagNanos) {
    this.capacity = capacity;
    this.lagNanos = lagNanos;
  }

  /** Adds the prefix to the cache and returns whether it was already cached. */
  boolean lookupAndAdd(String prefix, long nowNanos) {
    String hash = PrefixHash.of(prefix);
    boolean hit = entries.containsKey(hash);
    entries.put(hash, Boolean.TRUE);
    if (!hit) {
      enqueueEvent(new Event(nowNanos, hash, true));
    }
    if (entries.size() > capacity) {
      Iterator<String> eldest = entries.keySet().iterator();
      enqueueEvent(new Event(nowNanos, eldest.next(), false));
      eldest.remove();
    }
    return hit;
  }

  private void enqueueEvent(Event event) {
    if (random.nextDouble() >= EVENT_LOSS_PROBABILITY) {
      unreported.add(event);
    }
  }

  /** Returns the hashes that are cached according to the events older than the reporting lag. */
  Set<String> reportedHashes(long nowNanos) {
    while (!unreported.isEmpty() && unreported.peek().atNanos() + lagNanos <= nowNanos) {
      Event event = unreported.poll();
      if (event.added()) {
        reportedHashes.add(event.hash());
      } else {
        reportedHashes.remove(event.hash());
      }
    }
    return Set.copyOf(reportedHashes);
  }
}
