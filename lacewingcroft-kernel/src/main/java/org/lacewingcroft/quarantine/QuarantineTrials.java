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
 * Decides when a quarantined content is run again as a trial. A content that was quarantined by
 * mistake completes in the trial and is cleared; one that does crash endpoints crashes another one
 * and stays quarantined. The entries take turns, so that one of them runs the trial while the
 * others still refuse the content.
 *
 * <p>Not thread-safe.
 */
public final class QuarantineTrials {
  /** Time without a crash after which a trial of a content is due. */
  static final Duration TRIAL_DELAY = Duration.ofMinutes(5);

  /** Length of an entry's turn. */
  static final Duration TURN_DURATION = Duration.ofSeconds(10);

  /**
   * Maximum number of trials of a content that crash an endpoint; afterwards it is not tried again.
   */
  static final int MAX_FAILED_TRIALS = 2;

  /** Maximum number of contents whose last trial is retained. */
  private static final int MAX_RETAINED_TRIALS = 256;

  private final Map<RequestFingerprint, Instant> lastTrialAt =
      BoundedMap.evictingOldest(MAX_RETAINED_TRIALS);

  /**
   * Returns whether this entry runs a trial of a quarantined content now, and records the trial if
   * so.
   *
   * @param suspicion the recorded evidence against the content
   * @param self the name of this entry
   * @param entries the names of all entries, including this one
   */
  public boolean tryStartTrial(
      Suspicion suspicion, String self, List<String> entries, Instant now) {
    RequestFingerprint content = suspicion.content();
    if (!isDue(suspicion) || !isTurnOf(self, suspicion, entries) || isTrialRunning(content, now)) {
      return false;
    }
    lastTrialAt.remove(content);
    lastTrialAt.put(content, now);
    return true;
  }

  private static boolean isDue(Suspicion suspicion) {
    // A quarantined content runs only in trials, so each independent crash beyond the threshold is
    // counted as a failed trial.
    int failedTrials = suspicion.independentCrashes() - Suspicion.QUARANTINE_THRESHOLD;
    return failedTrials < MAX_FAILED_TRIALS && suspicion.age().compareTo(TRIAL_DELAY) >= 0;
  }

  private static boolean isTurnOf(String self, Suspicion suspicion, List<String> entries) {
    long turn = suspicion.age().dividedBy(TURN_DURATION);
    String key = suspicion.content() + "/" + turn;
    return Rendezvous.owner(entries, Function.identity(), key).filter(self::equals).isPresent();
  }

  private boolean isTrialRunning(RequestFingerprint content, Instant now) {
    Instant startedAt = lastTrialAt.get(content);
    return startedAt != null && startedAt.plus(TURN_DURATION).isAfter(now);
  }
}
