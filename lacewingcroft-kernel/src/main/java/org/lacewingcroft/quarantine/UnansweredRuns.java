package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The contents that an entry gave up at endpoints before they were answered, because the caller
 * left or the time was over. Whether such an endpoint had ended is known only when it has missed
 * its announcements or another incarnation is there; what it was running when it said its last word
 * is as suspect then as if it had closed the connections.
 *
 * <p>Not thread-safe.
 */
public final class UnansweredRuns {
  /** How long after it was given up a run may turn out to have met an endpoint's end. */
  static final Duration VALID = Duration.ofSeconds(10);

  /** Endpoints remembered at most. */
  static final int MOST_ENDPOINTS = 256;

  /** Runs remembered at most of one endpoint. */
  static final int MOST_RUNS = 256;

  /**
   * An endpoint that answers later than this after a run was given up did not end under it. A run
   * may be given up an instant before its endpoint ends and answers others until then.
   */
  private static final Duration LAST_WORDS = Duration.ofSeconds(1);

  private final Map<String, Endpoint> endpoints =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Endpoint> eldest) {
          return size() > MOST_ENDPOINTS;
        }
      };

  private static final class Endpoint {
    private final List<Run> runs = new ArrayList<>();
    private Instant endedAt = Instant.MIN;
  }

  private record Run(RequestFingerprint content, Instant at) {}

  /**
   * Notes that a run was given up.
   *
   * @return whether the endpoint is known to have ended, so that the content is suspect at once
   */
  public boolean givenUp(String endpoint, RequestFingerprint content, Instant now) {
    Endpoint known = endpoints.computeIfAbsent(endpoint, e -> new Endpoint());
    if (known.endedAt.isAfter(now.minus(VALID))) {
      return true;
    }
    if (known.runs.size() >= MOST_RUNS) {
      known.runs.remove(0);
    }
    known.runs.add(new Run(content, now));
    return false;
  }

  /**
   * Notes that an endpoint has ended.
   *
   * @param lastByteAt when it was last heard of by an answer
   * @return the contents that were given up there and are suspect now
   */
  public List<RequestFingerprint> ended(String endpoint, Instant lastByteAt, Instant now) {
    Endpoint known = endpoints.computeIfAbsent(endpoint, e -> new Endpoint());
    known.endedAt = now;
    Instant from = lastByteAt.minus(LAST_WORDS);
    List<RequestFingerprint> suspects =
        known.runs.stream()
            .filter(r -> !r.at().isBefore(from) && r.at().plus(VALID).isAfter(now))
            .map(Run::content)
            .distinct()
            .toList();
    known.runs.clear();
    return suspects;
  }

  /** Forgets what is too old. */
  public void expire(Instant now) {
    Instant oldest = now.minus(VALID);
    Iterator<Endpoint> all = endpoints.values().iterator();
    while (all.hasNext()) {
      Endpoint endpoint = all.next();
      endpoint.runs.removeIf(r -> r.at().isBefore(oldest));
      if (endpoint.runs.isEmpty() && endpoint.endedAt.isBefore(oldest)) {
        all.remove();
      }
    }
  }
}
