package org.lacewingcroft.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What this entry has itself seen of endpoints' failures. An endpoint that fails is passed over for
 * a while, twice as long after each further failure up to a bound, and is forgiven by a success. An
 * announcement's lease may still be running while the endpoint is already gone.
 *
 * <p>An endpoint that asks for a pause gets nothing in it, whatever else there is: it has said that
 * it would turn the request away.
 */
public final class EndpointHealth {
  private static final int MAX_DOUBLINGS = 5;

  private record Failing(int failures, Instant until) {}

  private final Map<String, Failing> failing = new ConcurrentHashMap<>();
  private final Map<String, Instant> pausedUntil = new ConcurrentHashMap<>();
  private final Duration firstPause;

  /**
   * Creates an empty record.
   *
   * @param firstPause how long an endpoint is passed over after its first failure
   */
  public EndpointHealth(Duration firstPause) {
    this.firstPause = firstPause;
  }

  /** Notes that a request to the endpoint failed in the endpoint or on the way. */
  public void recordFailure(String endpointId, Instant now) {
    failing.compute(
        endpointId,
        (id, seen) -> {
          int failures = seen == null ? 1 : seen.failures() + 1;
          long factor = 1L << Math.min(failures - 1, MAX_DOUBLINGS);
          return new Failing(failures, now.plus(firstPause.multipliedBy(factor)));
        });
  }

  /** Notes that the endpoint asked to get nothing for a while. */
  public void recordPause(String endpointId, Duration pause, Instant now) {
    Instant until = now.plus(pause);
    pausedUntil.merge(endpointId, until, (one, other) -> one.isAfter(other) ? one : other);
  }

  /** Returns the endpoints that want nothing now, and how much longer. */
  public Map<String, Duration> remainingPauses(Instant now) {
    pausedUntil.values().removeIf(until -> !until.isAfter(now));
    Map<String, Duration> left = new HashMap<>();
    pausedUntil.forEach((id, until) -> left.put(id, Duration.between(now, until)));
    return left;
  }

  /** Notes that the endpoint answered. */
  public void recordSuccess(String endpointId) {
    failing.remove(endpointId);
  }

  /** Returns the endpoints to pass over now. */
  public Set<String> endpointsInBackoff(Instant now) {
    if (failing.isEmpty()) {
      return Set.of();
    }
    Set<String> ids = new HashSet<>();
    failing.forEach(
        (id, f) -> {
          if (now.isBefore(f.until())) {
            ids.add(id);
          }
        });
    return ids;
  }
}
