package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The runs that endpoints did not answer in full: the connection closed, or the entry gave up
 * because the caller left or the time was over. A connection closes for many reasons, of which the
 * end of the endpoint is only one. It is known when new connections are refused, announcements are
 * missed or another incarnation is there; what the endpoint was running when it said its last word
 * is suspect then.
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

  private final Map<String, Endpoint> endpoints = BoundedMap.evictingOldest(MOST_ENDPOINTS);

  /** What became of a run. */
  public enum Kind {
    /** Its connection closed, at the moment at which the endpoint ended if it did. */
    BROKEN_OFF,
    /** The entry gave up. */
    GIVEN_UP
  }

  private static final class Endpoint {
    private final List<Run> runs = new ArrayList<>();
    private Instant endedAt = Instant.MIN;
  }

  private record Run(RequestFingerprint content, Kind kind, Instant at) {
    private Suspicion suspicion(String endpoint, Instant now) {
      EndpointCrash end =
          kind == Kind.BROKEN_OFF
              ? new EndpointCrash(endpoint, Duration.between(at, now), false)
              : new EndpointCrash(endpoint, Duration.ZERO, true);
      return Suspicion.of(content, end);
    }
  }

  /**
   * Notes that a run was not answered in full.
   *
   * @return what speaks against its content if the endpoint is known to have ended
   */
  public Optional<Suspicion> record(
      String endpoint, RequestFingerprint content, Kind kind, Instant now) {
    Endpoint known = endpoints.computeIfAbsent(endpoint, e -> new Endpoint());
    Run run = new Run(content, kind, now);
    if (known.endedAt.isAfter(now.minus(VALID))) {
      return Optional.of(run.suspicion(endpoint, now));
    }
    if (known.runs.size() >= MOST_RUNS) {
      known.runs.remove(0);
    }
    known.runs.add(run);
    return Optional.empty();
  }

  /**
   * Notes that an endpoint has ended.
   *
   * @param lastByteAt when it was last heard of by an answer
   * @return what speaks against the contents that it was running then
   */
  public List<Suspicion> endpointCrashed(String endpoint, Instant lastByteAt, Instant now) {
    Endpoint known = endpoints.computeIfAbsent(endpoint, e -> new Endpoint());
    known.endedAt = now;
    Instant from = lastByteAt.minus(LAST_WORDS);
    Map<RequestFingerprint, Suspicion> suspects = new LinkedHashMap<>();
    for (Run run : known.runs) {
      if (!run.at().isBefore(from) && run.at().plus(VALID).isAfter(now)) {
        suspects.put(run.content(), run.suspicion(endpoint, now));
      }
    }
    known.runs.clear();
    return List.copyOf(suspects.values());
  }

  /** Notes that an endpoint that was taken for ended is still there. */
  public void endpointRecovered(String endpoint) {
    endpoints.remove(endpoint);
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
