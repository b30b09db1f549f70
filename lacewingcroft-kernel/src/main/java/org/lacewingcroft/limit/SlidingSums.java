package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Sums of amounts by key over the last {@link #WINDOW}, in steps of a tenth of it.
 *
 * <p>Not thread-safe.
 */
final class SlidingSums<K> {
  /** The time over which amounts are summed. */
  static final Duration WINDOW = Duration.ofSeconds(2);

  private static final int SLOTS = 10;
  private static final long SLOT_MILLIS = WINDOW.toMillis() / SLOTS;

  private final Map<K, Slots> slotsByKey = new HashMap<>();

  private static final class Slots {
    private final long[] amounts = new long[SLOTS];
    private long lastSlot;

    private void advanceTo(long slot) {
      long elapsed = Math.min(SLOTS, slot - lastSlot);
      for (long i = 1; i <= elapsed; i++) {
        amounts[Math.floorMod(lastSlot + i, SLOTS)] = 0;
      }
      lastSlot = Math.max(lastSlot, slot);
    }
  }

  private static long slotOf(Instant now) {
    return Math.floorDiv(now.toEpochMilli(), SLOT_MILLIS);
  }

  void add(K key, long amount, Instant now) {
    Slots slots = slotsByKey.computeIfAbsent(key, k -> new Slots());
    long slot = slotOf(now);
    if (slot - slots.lastSlot >= SLOTS) {
      Arrays.fill(slots.amounts, 0);
      slots.lastSlot = slot;
    }
    slots.advanceTo(slot);
    slots.amounts[Math.floorMod(slots.lastSlot, SLOTS)] += amount;
  }

  /** Returns the sums by key, without those that are not positive. */
  Map<K, Double> sums(Instant now) {
    Map<K, Double> sums = new HashMap<>();
    long slot = slotOf(now);
    slotsByKey.values().removeIf(s -> slot - s.lastSlot >= SLOTS);
    slotsByKey.forEach(
        (key, slots) -> {
          slots.advanceTo(slot);
          long sum = Arrays.stream(slots.amounts).sum();
          if (sum > 0) {
            sums.put(key, (double) sum);
          }
        });
    return sums;
  }

  void clear() {
    slotsByKey.clear();
  }
}
