package org.lacewingcroft.misc;

import java.time.InstantSource;

/**
 * A hybrid logical clock, which combines physical milliseconds with a logical counter so that the
 * order of timestamps from several processes is consistent with causality even if their wall clocks
 * differ slightly.
 *
 * <p>Timestamps have the form {@code <millis>.<counter>} with a zero-padded counter, so that their
 * lexicographic order is the order of the clock. The clock is thread-safe.
 */
public final class HybridLogicalClock {
  private static final int COUNTER_DIGITS = 6;
  private final InstantSource source;
  private long physicalMillis;
  private long counter;

  /** Creates a clock that reads physical time from the given source. */
  public HybridLogicalClock(InstantSource source) {
    this.source = source;
  }

  /** Advances the clock and returns the timestamp of a local or send event. */
  public synchronized String tick() {
    long wallMillis = source.millis();
    if (wallMillis > physicalMillis) {
      physicalMillis = wallMillis;
      counter = 0;
    } else {
      counter++;
    }
    return format(physicalMillis, counter);
  }

  /**
   * Merges a timestamp received from another process and returns the timestamp of the receive
   * event.
   *
   * @param remoteTimestamp a timestamp that {@link #tick()} returned in another process; ignored if
   *     malformed
   */
  public synchronized String receive(String remoteTimestamp) {
    long wallMillis = source.millis();
    long remoteMillis;
    long remoteCounter;
    try {
      int dot = remoteTimestamp.indexOf('.');
      remoteMillis = Long.parseLong(remoteTimestamp.substring(0, dot));
      remoteCounter = Long.parseLong(remoteTimestamp.substring(dot + 1));
    } catch (RuntimeException e) {
      return tick();
    }
    long nextMillis = Math.max(wallMillis, Math.max(physicalMillis, remoteMillis));
    if (nextMillis == physicalMillis && nextMillis == remoteMillis) {
      counter = Math.max(counter, remoteCounter) + 1;
    } else if (nextMillis == physicalMillis) {
      counter++;
    } else if (nextMillis == remoteMillis) {
      counter = remoteCounter + 1;
    } else {
      counter = 0;
    }
    physicalMillis = nextMillis;
    return format(physicalMillis, counter);
  }

  private static String format(long millis, long counter) {
    String digits = Long.toString(counter);
    return millis + "." + "0".repeat(Math.max(0, COUNTER_DIGITS - digits.length())) + digits;
  }
}
