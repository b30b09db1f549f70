package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits each organisation's requests at this entry to the rate in the organisation's policy, with
 * a burst of one second's worth of requests. A token bucket is created at the first request under a
 * limit and replaced when the limit changes; an organisation without a limit has no bucket.
 */
public final class AdmissionLimiter {
  private record OrganisationLimit(int requestsPerSecond, TokenBucket bucket) {}

  private final Map<String, OrganisationLimit> limitsByOrganisation = new ConcurrentHashMap<>();

  /**
   * Admits a request or returns the delay after which to retry.
   *
   * @param organisation the organisation's name
   * @param requestsPerSecond the organisation's limit; 0 for none
   * @param now the current time
   * @return empty if admitted, else the delay until the next request can be admitted
   */
  public Optional<Duration> admit(String organisation, int requestsPerSecond, Instant now) {
    if (requestsPerSecond <= 0) {
      return Optional.empty();
    }
    OrganisationLimit limit =
        limitsByOrganisation.compute(
            organisation,
            (name, existing) ->
                existing != null && existing.requestsPerSecond() == requestsPerSecond
                    ? existing
                    : new OrganisationLimit(
                        requestsPerSecond,
                        new TokenBucket(requestsPerSecond, requestsPerSecond, now)));
    return limit.bucket().tryTake(now)
        ? Optional.empty()
        : Optional.of(limit.bucket().untilNextToken(now));
  }
}
