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
 * The runs of request contents and prompt parts that endpoints did not complete: the connection was
 * lost, or the entry abandoned the run because the caller disconnected or the timeout expired. A
 * connection is lost for many reasons, and a crash of the endpoint is only one of them. A crash is
 * established when new connections are refused, announcements are missed or another incarnation has
 * replaced the endpoint; the contents and parts that the endpoint was running when it sent its last
 * response byte become suspect then.
 *
 * <p>Not thread-safe.
 */
public final class IncompleteRuns {
  /**
   * How long an incomplete run and an endpoint's crash are retained, so that one can be attributed
   * to the other.
   */
  static final Duration RETENTION = Duration.ofSeconds(10);

  /** Maximum number of endpoints retained. */
  static final int MAX_ENDPOINTS = 256;

  /** Maximum number of runs of contents and parts retained per endpoint. */
  static final int MAX_RUNS_PER_ENDPOINT = 1_024;

  /**
   * An endpoint that still sends response bytes this long after the end of a run did not crash
   * because of it. A run may be abandoned an instant before its endpoint crashes, and the endpoint
   * responds to other requests until then.
   */
  private static final Duration LATE_RESPONSE_TOLERANCE = Duration.ofSeconds(1);

  private final Map<String, EndpointRuns> endpoints = BoundedMap.evictingOldest(MAX_ENDPOINTS);

  /** How a run ended without a complete response. */
  public enum Kind {
    /** The connection was lost; if the endpoint crashed, it crashed at that moment. */
    BROKEN_OFF,
    /** The entry abandoned the run, because the caller disconnected or the timeout expired. */
    GIVEN_UP
  }

  private static final class EndpointRuns {
    private final List<Run> runs = new ArrayList<>();
    private Instant crashedAt = Instant.MIN;
  }

  private record Run(RequestFingerprint content, Kind kind, Instant endedAt) {
    private Suspicion suspicion(String endpoint, Instant now) {
      EndpointCrash crash =
          kind == Kind.BROKEN_OFF
              ? new EndpointCrash(endpoint, Duration.between(endedAt, now), false)
              : new EndpointCrash(endpoint, Duration.ZERO, true);
      return Suspicion.of(content, crash);
    }
  }

  /**
   * Records a run that was not completed.
   *
   * @return evidence against its content if the endpoint's crash has been recorded
   */
  public Optional<Suspicion> record(
      String endpoint, RequestFingerprint content, Kind kind, Instant now) {
    EndpointRuns endpointRuns = endpoints.computeIfAbsent(endpoint, e -> new EndpointRuns());
    Run run = new Run(content, kind, now);
    if (endpointRuns.crashedAt.isAfter(now.minus(RETENTION))) {
      return Optional.of(run.suspicion(endpoint, now));
    }
    if (endpointRuns.runs.size() >= MAX_RUNS_PER_ENDPOINT) {
      endpointRuns.runs.remove(0);
    }
    endpointRuns.runs.add(run);
    return Optional.empty();
  }

  /**
   * Records that an endpoint has crashed.
   *
   * @param lastByteAt when the endpoint's last response byte was received
   * @return evidence against the contents that the endpoint was running then
   */
  public List<Suspicion> endpointCrashed(String endpoint, Instant lastByteAt, Instant now) {
    EndpointRuns endpointRuns = endpoints.computeIfAbsent(endpoint, e -> new EndpointRuns());
    endpointRuns.crashedAt = now;
    Instant earliestEnd = lastByteAt.minus(LATE_RESPONSE_TOLERANCE);
    Map<RequestFingerprint, Suspicion> suspicions = new LinkedHashMap<>();
    for (Run run : endpointRuns.runs) {
      if (!run.endedAt().isBefore(earliestEnd) && run.endedAt().plus(RETENTION).isAfter(now)) {
        suspicions.put(run.content(), run.suspicion(endpoint, now));
      }
    }
    endpointRuns.runs.clear();
    return List.copyOf(suspicions.values());
  }

  /** Records that an endpoint that was presumed crashed is still alive. */
  public void endpointRecovered(String endpoint) {
    endpoints.remove(endpoint);
  }

  /** Removes runs and crashes that are older than the retention time. */
  public void expire(Instant now) {
    Instant cutoff = now.minus(RETENTION);
    Iterator<EndpointRuns> iterator = endpoints.values().iterator();
    while (iterator.hasNext()) {
      EndpointRuns endpointRuns = iterator.next();
      endpointRuns.runs.removeIf(r -> r.endedAt().isBefore(cutoff));
      if (endpointRuns.runs.isEmpty() && endpointRuns.crashedAt.isBefore(cutoff)) {
        iterator.remove();
      }
    }
  }
}
