package org.lacewingcroft.misc;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Instants that never jump: the wall clock's reading at the start, advanced by the steady clock.
 * Timeouts and leases measured with it survive a step of the time of day.
 */
public final class MonotonicInstantSource implements InstantSource {
  private final Instant startedAt = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return startedAt.plusNanos(System.nanoTime() - startNanos);
  }
}
