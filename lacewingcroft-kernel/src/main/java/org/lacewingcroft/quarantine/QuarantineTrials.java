package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * Decides when a request with a quarantined content or prompt parts is run as a trial. What was
 * quarantined by mistake completes in the trial and is cleared; what does crash endpoints crashes
 * another one and stays quarantined. The entries take turns, so that one of them runs the trial
 * while the others still refuse such requests.
 *
 * <p>Trials start early while the evidence is ambiguous, because parts that are innocent may then
 * be quarantined together with the cause, and with them all the requests that share them.
 *
 * <p>Not thread-safe.
 */
public final class QuarantineTrials {
  /** Time without a crash after which a trial is due. */
  static final Duration TRIAL_DELAY = Duration.ofMinutes(5);

  /**
   * Time without a crash after which a trial is due while the evidence is ambiguous; doubled by
   * each trial that failed.
   */
  static final Duration AMBIGUOUS_TRIAL_DELAY = Duration.ofSeconds(1);

  /** Length of an entry's turn. */
  static final Duration TURN_DURATION = Duration.ofSeconds(10);

  /** Length of an entry's turn while the evidence is ambiguous. */
  static final Duration AMBIGUOUS_TURN_DURATION = Duration.ofSeconds(1);

  /** Maximum number of trials that crash an endpoint; afterwards there are no more. */
  static final int MAX_FAILED_TRIALS = 2;

  /** Maximum number of trials that crash an endpoint while the evidence is ambiguous. */
  static final int MAX_FAILED_AMBIGUOUS_TRIALS = 4;

  /** Maximum number of contents whose last trial is retained. */
  private static final int MAX_RETAINED_TRIALS = 256;

  private final Map<RequestFingerprint, Instant> lastTrialAt =
      BoundedMap.evictingOldest(MAX_RETAINED_TRIALS);

  /**
   * Returns whether this entry runs a request as a trial now, and records the trial if so.
   *
   * @param quarantined the evidence against the quarantined content and prompt parts of the
   *     request, at least one
   * @param ambiguous whether another quarantined content or part may be the cause of each crash
   * @param self the name of this entry
   * @param entries the names of all entries, including this one
   */
  public boolean tryStartTrial(
      List<Suspicion> quarantined,
      boolean ambiguous,
      String self,
      List<String> entries,
      Instant now) {
    // What is in most crashed requests is in most of the waiting ones too; its turn decides.
    Suspicion widest =
        Collections.max(
            quarantined,
            Comparator.comparingInt((Suspicion s) -> s.crashes().size())
                .thenComparingLong(s -> s.content().value()));
    Duration turnDuration = ambiguous ? AMBIGUOUS_TURN_DURATION : TURN_DURATION;
    if (!quarantined.stream().allMatch(s -> isDue(s, ambiguous))
        || !isTurnOf(self, widest, turnDuration, entries)
        || quarantined.stream().anyMatch(s -> isTrialRunning(s, turnDuration, now))) {
      return false;
    }
    for (Suspicion suspicion : quarantined) {
      lastTrialAt.remove(suspicion.content());
      lastTrialAt.put(suspicion.content(), now);
    }
    return true;
  }

  private static boolean isDue(Suspicion suspicion, boolean ambiguous) {
    // What is quarantined runs only in trials, so each independent crash beyond the threshold is
    // counted as a failed trial.
    int failedTrials = suspicion.independentCrashes() - Suspicion.QUARANTINE_THRESHOLD;
    int maxFailedTrials = ambiguous ? MAX_FAILED_AMBIGUOUS_TRIALS : MAX_FAILED_TRIALS;
    if (failedTrials >= maxFailedTrials) {
      return false;
    }
    Duration delay =
        ambiguous ? AMBIGUOUS_TRIAL_DELAY.multipliedBy(1L << failedTrials) : TRIAL_DELAY;
    return suspicion.age().compareTo(delay) >= 0;
  }

  private static boolean isTurnOf(
      String self, Suspicion suspicion, Duration turnDuration, List<String> entries) {
    long turn = suspicion.age().dividedBy(turnDuration);
    String key = suspicion.content() + "/" + turn;
    return Rendezvous.owner(entries, Function.identity(), key).filter(self::equals).isPresent();
  }

  private boolean isTrialRunning(Suspicion suspicion, Duration turnDuration, Instant now) {
    Instant startedAt = lastTrialAt.get(suspicion.content());
    return startedAt != null && startedAt.plus(turnDuration).isAfter(now);
  }
}
