package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The request contents that endpoints have recently run to completion. When many endpoints crash
 * simultaneously, by the loss of a failure domain or by overload, a content that many callers
 * request is running at several of them; its completion at another endpoint clears it of suspicion.
 * A content is identified by its fingerprint.
 *
 * <p>Not thread-safe.
 */
public final class RecentCompletions {
  /** How long a completion clears a content of suspicion. */
  static final Duration COMPLETION_TTL = Duration.ofSeconds(10);

  /** Maximum number of contents retained. */
  static final int MAX_CONTENTS = 4_096;

  private final Map<RequestFingerprint, Instant> completedAt =
      BoundedMap.evictingLeastRecentlyUsed(MAX_CONTENTS);

  /** Records that an endpoint has run a content to completion. */
  public void record(RequestFingerprint content, Instant now) {
    completedAt.put(content, now);
  }

  /** Returns whether a content was completed recently enough to clear it. */
  public boolean isRecentlyCompleted(RequestFingerprint content, Instant now) {
    Instant at = completedAt.get(content);
    return at != null && at.plus(COMPLETION_TTL).isAfter(now);
  }
}
