package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The request contents and prompt parts that endpoints have recently run to completion. When many
 * endpoints crash, by the loss of a failure domain, by overload or by a request that crashes them,
 * a content or a part that many callers send is running at several of them; its completion at
 * another endpoint clears it of suspicion.
 *
 * <p>Not thread-safe.
 */
public final class RecentCompletions {
  /**
   * How long a completion clears a content or part of suspicion. What crashes every endpoint that
   * runs it is never completed, and what is rarely requested has to stay cleared until it is
   * requested again.
   */
  static final Duration COMPLETION_TTL = SuspicionLedger.RETENTION;

  /** Maximum number of completions retained. */
  static final int MAX_COMPLETIONS = 4_096;

  private final Map<RequestFingerprint, Instant> completedAt =
      BoundedMap.evictingLeastRecentlyUsed(MAX_COMPLETIONS);

  /** Records that an endpoint has run a request with this content or prompt part to completion. */
  public void record(RequestFingerprint fingerprint, Instant now) {
    completedAt.put(fingerprint, now);
  }

  /** Returns whether a content or prompt part was completed recently enough to clear it. */
  public boolean isRecentlyCompleted(RequestFingerprint fingerprint, Instant now) {
    Instant at = completedAt.get(fingerprint);
    return at != null && at.plus(COMPLETION_TTL).isAfter(now);
  }
}
