package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Admits each organisation's requests at the rate its policy allows in this entry, with a burst of
 * one second's worth. Organisations without a limit cost nothing; a bucket is made at the first
 * request under a limit and replaced when the limit changes.
 */
public final class AdmissionLimiter {
  private record Limited(int requestsPerSecond, TokenBucket bucket) {}

  private final Map<String, Limited> byOrganisation = new ConcurrentHashMap<>();

  /**
   * Admits a request or says when to come back.
   *
   * @param organisation the organisation
   * @param requestsPerSecond its limit; 0 for none
   * @param now the current time
   * @return empty if admitted, else how long until the next request is admitted
   */
  public Optional<Duration> admit(String organisation, int requestsPerSecond, Instant now) {
    if (requestsPerSecond <= 0) {
      return Optional.empty();
    }
    Limited limited =
        byOrganisation.compute(
            organisation,
            (name, seen) ->
                seen != null && seen.requestsPerSecond() == requestsPerSecond
                    ? seen
                    : new Limited(
                        requestsPerSecond,
                        new TokenBucket(requestsPerSecond, requestsPerSecond, now)));
    return limited.bucket().tryTake(now)
        ? Optional.empty()
        : Optional.of(limited.bucket().untilNext(now));
  }
}
