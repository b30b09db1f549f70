package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;

/**
 * How long an instance may go by the routing state that it has. It asks again and again; an answer
 * that names no newer state proves the one it has for a while from when it asked, not from when the
 * answer came: answers may be held up on the way.
 *
 * <p>A machine that was suspended does not see it on its steady clock. The time of day moves
 * against that clock then, and what was proved before proves nothing any more.
 *
 * <p>Not thread-safe: owned by the instance's event loop.
 */
public final class StateLease {
  /** Difference between the clocks that is no suspension: both are read one after the other. */
  private static final Duration CLOCK_SLACK = Duration.ofMillis(500);

  /** Questions remembered that have no answer yet. */
  private static final int MOST_OPEN = 64;

  private final Duration validity;
  private final Map<Long, Clocks> open = BoundedMap.evictingOldest(MOST_OPEN);
  private long lastId;
  private Clocks provedAt = new Clocks(Instant.MIN, Instant.MIN);

  /**
   * Both clocks at one moment.
   *
   * @param steady the clock that never steps
   * @param wall the time of day
   */
  public record Clocks(Instant steady, Instant wall) {
    private boolean isWithin(Duration time, Clocks since) {
      Duration passed = Duration.between(since.steady, steady);
      Duration drift = Duration.between(since.wall, wall).minus(passed).abs();
      return passed.compareTo(time) < 0 && drift.compareTo(CLOCK_SLACK) < 0;
    }
  }

  /**
   * Creates a lease that is over.
   *
   * @param validity how long an answer proves the state
   */
  public StateLease(Duration validity) {
    this.validity = validity;
  }

  /** Notes that the instance asks now; returns what its question is to be called, above 0. */
  public long ask(Clocks now) {
    lastId++;
    open.put(lastId, now);
    return lastId;
  }

  /** Notes an answer that names no newer state than the instance has. */
  public void proved(long id) {
    Clocks askedAt = open.get(id);
    if (askedAt != null && askedAt.steady.isAfter(provedAt.steady)) {
      provedAt = askedAt;
    }
  }

  /** Returns whether the instance may go by its state. */
  public boolean isValid(Clocks now) {
    return !provedAt.steady.equals(Instant.MIN) && now.isWithin(validity, provedAt);
  }
}
