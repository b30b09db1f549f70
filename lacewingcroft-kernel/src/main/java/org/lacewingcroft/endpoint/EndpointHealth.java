package org.lacewingcroft.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records the endpoint failures and pause requests that this entry has observed itself.
 *
 * <p>An endpoint that fails is in backoff, whose duration doubles with each further failure up to a
 * maximum; a success ends the backoff and resets its duration. Leases alone do not suffice, because
 * the lease of an endpoint that has crashed may not have expired yet.
 *
 * <p>An endpoint that requested a pause receives no requests during the pause, even if there is no
 * other endpoint, because it announced that it would reject them.
 */
public final class EndpointHealth {
  /** The number of doublings after which the backoff no longer grows. */
  private static final int MAX_DOUBLINGS = 5;

  private record BackoffState(int failures, Instant until) {}

  private final Map<String, BackoffState> backoffs = new ConcurrentHashMap<>();
  private final Map<String, Instant> pausedUntil = new ConcurrentHashMap<>();
  private final Duration initialBackoff;

  /**
   * Creates a record without any failures or pauses.
   *
   * @param initialBackoff the duration of the backoff after the first failure of an endpoint
   */
  public EndpointHealth(Duration initialBackoff) {
    this.initialBackoff = initialBackoff;
  }

  /** Records that a request failed at the endpoint or on the connection to it. */
  public void recordFailure(String endpointId, Instant now) {
    backoffs.compute(
        endpointId,
        (id, previous) -> {
          int failures = previous == null ? 1 : previous.failures() + 1;
          long factor = 1L << Math.min(failures - 1, MAX_DOUBLINGS);
          return new BackoffState(failures, now.plus(initialBackoff.multipliedBy(factor)));
        });
  }

  /**
   * Records that the endpoint requested a pause; if pauses overlap, the one that expires last
   * applies.
   */
  public void recordPause(String endpointId, Duration pause, Instant now) {
    Instant until = now.plus(pause);
    pausedUntil.merge(endpointId, until, (first, second) -> first.isAfter(second) ? first : second);
  }

  /**
   * Returns the remaining pause of each endpoint that is paused at the given time, by endpoint id.
   */
  public Map<String, Duration> remainingPauses(Instant now) {
    pausedUntil.values().removeIf(until -> !until.isAfter(now));
    Map<String, Duration> remaining = new HashMap<>();
    pausedUntil.forEach((id, until) -> remaining.put(id, Duration.between(now, until)));
    return remaining;
  }

  /** Records that the endpoint responded, which ends its backoff but not a pause. */
  public void recordSuccess(String endpointId) {
    backoffs.remove(endpointId);
  }

  /** Returns the ids of the endpoints that are in backoff at the given time. */
  public Set<String> endpointsInBackoff(Instant now) {
    if (backoffs.isEmpty()) {
      return Set.of();
    }
    Set<String> ids = new HashSet<>();
    backoffs.forEach(
        (id, backoff) -> {
          if (now.isBefore(backoff.until())) {
            ids.add(id);
          }
        });
    return ids;
  }
}
