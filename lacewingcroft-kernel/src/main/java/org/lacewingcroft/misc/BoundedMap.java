package org.lacewingcroft.misc;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its eldest entry when it exceeds a maximum size, for use with an unbounded
 * number of keys.
 *
 * <p>Not thread-safe.
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;

  private BoundedMap(int maxEntries, boolean accessOrder) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder);
    this.maxEntries = maxEntries;
  }

  /** Returns a map that evicts the entry that was inserted first. */
  public static <K, V> BoundedMap<K, V> evictingOldest(int maxEntries) {
    return new BoundedMap<>(maxEntries, /* accessOrder= */ false);
  }

  /** Returns a map that evicts the least recently used entry; reads and writes count as use. */
  public static <K, V> BoundedMap<K, V> evictingLeastRecentlyUsed(int maxEntries) {
    return new BoundedMap<>(maxEntries, /* accessOrder= */ true);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
