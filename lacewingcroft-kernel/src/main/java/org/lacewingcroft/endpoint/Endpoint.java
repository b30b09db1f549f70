package org.lacewingcroft.endpoint;

import java.time.Instant;
import java.util.Map;
import java.util.Set;

/**
 * An endpoint as it announced itself, with the lease that keeps it in the directory.
 *
 * @param id unique id the endpoint chose, stable across its heartbeats
 * @param baseUrl where to send work, such as {@code http://127.0.0.1:8100}
 * @param region the region it runs in
 * @param failureDomain the failure domain inside the region
 * @param kind engine or plain service
 * @param labels the labels selectors match against
 * @param models the models it serves (empty for plain services)
 * @param capacity how many requests it serves at once before queueing
 * @param checksFencing whether it refuses orders with an old fencing token
 * @param draining true once it announced that it is leaving: it gets no new work
 * @param reportedLoad the requests in flight it last reported (reports lag)
 * @param cachedPrefixes hashes of prompt prefixes its cache was said to hold; late and with gaps
 * @param sequence rises with each of the endpoint's announcements, so that a late one is told from
 *     a new one; 0 if the endpoint does not number them
 * @param leaseExpiresAt when the endpoint leaves the directory unless it renews
 */
public record Endpoint(
    String id,
    String baseUrl,
    String region,
    String failureDomain,
    EndpointKind kind,
    Map<String, String> labels,
    Set<String> models,
    int capacity,
    boolean checksFencing,
    boolean draining,
    int reportedLoad,
    Set<String> cachedPrefixes,
    long sequence,
    Instant leaseExpiresAt) {

  /** Copies the collections so the record is immutable. */
  public Endpoint {
    labels = Map.copyOf(labels);
    models = Set.copyOf(models);
    cachedPrefixes = Set.copyOf(cachedPrefixes);
  }

  /** Returns whether the endpoint may get new work at the given time. */
  public boolean acceptsRequests(Instant now) {
    return !draining && now.isBefore(leaseExpiresAt);
  }

  /** Returns whether this announcement was made after the other, or neither is numbered. */
  boolean supersedes(Endpoint other) {
    return sequence >= other.sequence;
  }

  /** Returns the same announcement with its lease ending at another time. */
  public Endpoint withLeaseExpiry(Instant end) {
    return new Endpoint(
        id,
        baseUrl,
        region,
        failureDomain,
        kind,
        labels,
        models,
        capacity,
        checksFencing,
        draining,
        reportedLoad,
        cachedPrefixes,
        sequence,
        end);
  }
}
