package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The contents that endpoints have just run to a good end. When many endpoints end at once, by the
 * loss of a failure domain or under too much load, a content that many callers ask for is under way
 * at several of them; that it is answered everywhere else clears it.
 *
 * <p>Not thread-safe.
 */
public final class RecentCompletions {
  /** How long a completion clears a content. */
  static final Duration VALID = Duration.ofSeconds(10);

  /** Contents remembered at most. */
  static final int MOST_CONTENTS = 4_096;

  private final Map<RequestFingerprint, Instant> completedAt =
      BoundedMap.evictingLeastRecentlyUsed(MOST_CONTENTS);

  /** Notes that an endpoint has answered a content in full. */
  public void record(RequestFingerprint content, Instant now) {
    completedAt.put(content, now);
  }

  /** Returns whether a content was answered in full a moment ago. */
  public boolean isRecentlyCompleted(RequestFingerprint content, Instant now) {
    Instant at = completedAt.get(content);
    return at != null && at.plus(VALID).isAfter(now);
  }
}
