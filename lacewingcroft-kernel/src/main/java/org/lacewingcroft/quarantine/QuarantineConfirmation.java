package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * Contents whose quarantine is so recent that entries that have completed them may not have
 * reported it yet. Such a content neither runs nor is refused: its requests wait. The entry that
 * sees the last crash often has not completed the content itself.
 *
 * <p>Not thread-safe.
 */
public final class QuarantineConfirmation {
  /**
   * Time for a report of the last crash to reach all entries through the control instances and for
   * a clearing to return, across regions.
   */
  static final Duration CONFIRMATION_TIME = Duration.ofMillis(300);

  private final Map<RequestFingerprint, Instant> quarantinedAt =
      BoundedMap.evictingOldest(SuspicionLedger.MAX_CONTENTS);

  /** Records the merged evidence against a content after it has changed. */
  public void onEvidence(Suspicion merged, Instant now) {
    if (merged.isQuarantined()) {
      quarantinedAt.putIfAbsent(merged.content(), now);
    } else {
      quarantinedAt.remove(merged.content());
    }
  }

  /** Removes all contents but the given ones, which are those still quarantined. */
  public void retain(Collection<RequestFingerprint> quarantined) {
    quarantinedAt.keySet().retainAll(quarantined);
  }

  /**
   * Returns how long requests with a quarantined content have to wait until it is known whether it
   * is cleared; empty if they are to be refused.
   */
  public Optional<Duration> remaining(RequestFingerprint content, Instant now) {
    return Optional.ofNullable(quarantinedAt.get(content))
        .map(at -> Duration.between(now, at.plus(CONFIRMATION_TIME)))
        .filter(remaining -> remaining.compareTo(Duration.ZERO) > 0);
  }
}
