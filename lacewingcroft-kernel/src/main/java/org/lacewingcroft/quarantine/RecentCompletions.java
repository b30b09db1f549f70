package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The request contents, or the prompt parts, that endpoints have recently run to completion. When
 * many endpoints crash, by the loss of a failure domain, by overload or by a request that crashes
 * them, a content or a part that many callers send is running at several of them; its completion at
 * another endpoint clears it of suspicion.
 *
 * <p>Not thread-safe.
 */
public final class RecentCompletions {
  /** How long a completion clears a content of suspicion. */
  public static final Duration CONTENT_TTL = Duration.ofSeconds(10);

  /**
   * How long a completion clears a prompt part of suspicion. A part that crashes endpoints does so
   * in every request, so that none of them is completed; a rarely used part has to stay cleared
   * until it is used again.
   */
  public static final Duration PROMPT_PART_TTL = SuspicionLedger.RETENTION;

  /** Maximum number of completions retained. */
  static final int MAX_COMPLETIONS = 4_096;

  private final Map<RequestFingerprint, Instant> completedAt =
      BoundedMap.evictingLeastRecentlyUsed(MAX_COMPLETIONS);

  private final Duration ttl;

  /**
   * Creates an empty record.
   *
   * @param ttl {@link #CONTENT_TTL} or {@link #PROMPT_PART_TTL}
   */
  public RecentCompletions(Duration ttl) {
    this.ttl = ttl;
  }

  /** Records that an endpoint has run a request with this content or prompt part to completion. */
  public void record(RequestFingerprint fingerprint, Instant now) {
    completedAt.put(fingerprint, now);
  }

  /** Returns whether a content or prompt part was completed recently enough to clear it. */
  public boolean isRecentlyCompleted(RequestFingerprint fingerprint, Instant now) {
    Instant at = completedAt.get(fingerprint);
    return at != null && at.plus(ttl).isAfter(now);
  }
}
