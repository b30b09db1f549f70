package org.lacewingcroft.misc;

import java.time.Instant;
import java.time.InstantSource;

/**
 * An instant source whose instants are the wall-clock time at construction plus the monotonic time
 * elapsed since then. Timeouts and leases measured with it are unaffected by steps of the wall
 * clock.
 */
public final class MonotonicInstantSource implements InstantSource {
  private final Instant startedAt = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return startedAt.plusNanos(System.nanoTime() - startNanos);
  }
}
