package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * Decides when a quarantined content is run once more. What was quarantined by mistake is answered
 * then and cleared; what really ends endpoints costs one more and stays quarantined. The entries
 * take turns, so that one of them tries while the others still refuse.
 *
 * <p>Not thread-safe.
 */
public final class QuarantineTrials {
  /** Time without an end after which a content is tried. */
  static final Duration AFTER = Duration.ofMinutes(5);

  /** How long it is an entry's turn. */
  static final Duration TURN = Duration.ofSeconds(10);

  /** Trials that may end an endpoint before a content is tried no more. */
  static final int MOST_FAILED = 2;

  /** Contents remembered at most that are being tried. */
  private static final int MOST_RUNNING = 256;

  private final Map<RequestFingerprint, Instant> triedAt = BoundedMap.evictingOldest(MOST_RUNNING);

  /**
   * Returns whether this entry runs a quarantined content now, and notes that it does.
   *
   * @param known what is known of the content
   * @param self this entry
   * @param entries all entries, this one included
   */
  public boolean tryStartTrial(Suspicion known, String self, List<String> entries, Instant now) {
    RequestFingerprint content = known.content();
    if (!isDue(known) || !isTurnOf(self, known, entries) || isRunning(content, now)) {
      return false;
    }
    triedAt.remove(content);
    triedAt.put(content, now);
    return true;
  }

  private static boolean isDue(Suspicion known) {
    int failed = known.independentCrashes() - Suspicion.QUARANTINE_THRESHOLD;
    return failed < MOST_FAILED && known.age().compareTo(AFTER) >= 0;
  }

  private static boolean isTurnOf(String self, Suspicion known, List<String> entries) {
    long turn = known.age().dividedBy(TURN);
    String key = known.content() + "/" + turn;
    return Rendezvous.owner(entries, Function.identity(), key).filter(self::equals).isPresent();
  }

  private boolean isRunning(RequestFingerprint content, Instant now) {
    Instant at = triedAt.get(content);
    return at != null && at.plus(TURN).isAfter(now);
  }
}
