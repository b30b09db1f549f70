package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * Decides which requests an entry does not send to endpoints because their content, or a part of
 * their prompts, crashes the endpoints that run it. The evidence is that of {@link
 * SuspicionLedger}; what endpoints have completed for this entry speaks against it.
 *
 * <p>Not thread-safe.
 */
public final class Quarantine {
  private final SuspicionLedger ledger = new SuspicionLedger();
  private final RecentCompletions completions = new RecentCompletions();
  private final QuarantineTrials trials = new QuarantineTrials();
  private final QuarantineConfirmation confirmation = new QuarantineConfirmation();

  /**
   * Returns how long the content of a request or one of its prompt parts remains quarantined, or
   * empty if the request may run.
   */
  public Optional<Duration> remaining(RequestFingerprints request, Instant now) {
    return evidence(request, now).stream()
        .flatMap(s -> ledger.remainingQuarantine(s.content(), now).stream())
        .max(Comparator.naturalOrder());
  }

  /**
   * Returns how long a request with a quarantined content or prompt part has to wait until other
   * entries could clear it; empty if it need not wait.
   */
  public Optional<Duration> remainingConfirmation(RequestFingerprints request, Instant now) {
    return evidence(request, now).stream()
        .flatMap(s -> confirmation.remaining(s.content(), now).stream())
        .max(Comparator.naturalOrder());
  }

  /**
   * Returns whether this entry runs a quarantined request as a trial now, and records the trial if
   * so.
   *
   * @param self the name of this entry
   * @param entries the names of all entries, including this one
   * @return the evidence against what is tried; empty if the request must not run
   */
  public List<Suspicion> tryStartTrial(
      RequestFingerprints request, String self, List<String> entries, Instant now) {
    List<Suspicion> quarantined = evidence(request, now);
    boolean ambiguous =
        quarantined.stream()
            .map(Suspicion::content)
            .allMatch(f -> !f.equals(request.content()) && ledger.isAmbiguous(f, now));
    return !quarantined.isEmpty()
            && trials.tryStartTrial(quarantined, ambiguous, self, entries, now)
        ? quarantined
        : List.of();
  }

  private List<Suspicion> evidence(RequestFingerprints request, Instant now) {
    return request.all().stream().flatMap(f -> ledger.quarantineEvidence(f, now).stream()).toList();
  }

  /**
   * Records that an endpoint has completed its response to a request.
   *
   * @param successful whether the response is the result of the request; another response, such as
   *     a rejection, may have been sent without running its prompt
   * @return the clearings of what was quarantined by mistake, to be merged and reported
   */
  public List<Suspicion> recordCompletion(
      RequestFingerprints request, boolean successful, Instant now) {
    completions.record(request.content(), now);
    if (successful) {
      request.promptParts().forEach(part -> completions.record(part, now));
    }
    return evidence(request, now).stream()
        .map(Suspicion::content)
        .filter(fingerprint -> isRecentlyCompleted(fingerprint, now))
        .map(Suspicion::cleared)
        .toList();
  }

  /**
   * Returns the fingerprints of a request that may be the cause of a crash as far as this entry
   * knows: the content, and the prompt parts that were not completed recently.
   */
  public List<RequestFingerprint> uncompleted(RequestFingerprints request, Instant now) {
    return request.all().stream()
        .filter(f -> f.equals(request.content()) || !completions.isRecentlyCompleted(f, now))
        .toList();
  }

  /**
   * Returns whether an endpoint has recently completed a request with this content or prompt part
   * for this entry, so that it does not crash every endpoint that runs it.
   */
  public boolean isRecentlyCompleted(RequestFingerprint fingerprint, Instant now) {
    return completions.isRecentlyCompleted(fingerprint, now);
  }

  /**
   * Merges evidence that this entry received or observed.
   *
   * @return the merged evidence, empty if this adds nothing
   */
  public Optional<Suspicion> merge(Suspicion suspicion, Instant now) {
    Optional<Suspicion> merged = ledger.merge(suspicion, now);
    merged.ifPresent(m -> confirmation.onEvidence(m, now));
    return merged;
  }

  /**
   * Returns the clearing of a content or part that other instances suspect and that was recently
   * completed for this entry, to be merged and reported; empty if there is nothing to clear.
   */
  public Optional<Suspicion> clearing(RequestFingerprint fingerprint, Instant now) {
    return ledger.isSuspected(fingerprint) && isRecentlyCompleted(fingerprint, now)
        ? Optional.of(Suspicion.cleared(fingerprint))
        : Optional.empty();
  }

  /** Returns whether a content or prompt part is quarantined. */
  public boolean isQuarantined(RequestFingerprint fingerprint, Instant now) {
    return ledger.quarantineEvidence(fingerprint, now).isPresent();
  }

  /** Removes the crash of an incarnation that is still alive. */
  public void retractCrash(String incarnation, Instant now) {
    ledger.retractCrash(incarnation, now);
    confirmation.retain(all(now).stream().map(Suspicion::content).toList());
  }

  /** Removes expired evidence. */
  public void expire(Instant now) {
    ledger.expire(now);
  }

  /** Returns the evidence against all quarantined contents and prompt parts. */
  public List<Suspicion> all(Instant now) {
    return ledger.allQuarantineEvidence(now);
  }

  /** Returns the evidence against all quarantined and all cleared contents and prompt parts. */
  public List<Suspicion> allAndCleared(Instant now) {
    return ledger.withCrashesOrCleared(Suspicion.QUARANTINE_THRESHOLD, now);
  }

  /** Returns the digest of the evidence against quarantined contents and prompt parts. */
  public int digest() {
    return ledger.quarantinedDigest();
  }
}
