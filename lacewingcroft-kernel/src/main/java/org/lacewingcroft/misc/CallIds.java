package org.lacewingcroft.misc;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Issues the ids by which replies are matched to calls between daemons. The first id is random: a
 * reply to a call of the process that listened at the same address before matches no call of this
 * one. Ids are positive.
 *
 * <p>Thread-safe.
 */
public final class CallIds {
  private final AtomicLong next = new AtomicLong(new SplittableRandom().nextLong(1, 1L << 62));

  /** Returns an id that was not returned before. */
  public long next() {
    return next.getAndIncrement();
  }
}
