package org.lacewingcroft.endpoint;

import java.time.Instant;
import java.util.Map;
import java.util.Set;

/**
 * An endpoint as it announced itself, with the lease under which the directory lists it.
 *
 * @param id the unique id that the endpoint chose, the same in all its heartbeats
 * @param baseUrl the URL to send requests to, such as {@code http://127.0.0.1:8100}
 * @param region the region that it runs in
 * @param failureDomain the failure domain inside the region
 * @param kind whether it is an engine or a plain service
 * @param labels the labels that selectors match against
 * @param models the models that it serves; empty for plain services
 * @param capacity the number of requests that it serves concurrently before it queues
 * @param checksFencing whether it refuses orders with a stale fencing token
 * @param draining whether it announced that it is draining; it then receives no new requests
 * @param reportedLoad the number of requests in flight that it last reported; reports lag behind
 * @param cachedPrefixes the hashes of the prompt prefixes that its cache events report as cached;
 *     the events arrive late and with gaps
 * @param sequence the announcement's sequence number, which increases with each announcement of the
 *     endpoint so that a delayed one can be detected; 0 if the endpoint does not number them
 * @param leaseExpiresAt the time at which the endpoint is removed from the directory unless it
 *     renews its lease
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

  /** Copies the collections so that the record is immutable. */
  public Endpoint {
    labels = Map.copyOf(labels);
    models = Set.copyOf(models);
    cachedPrefixes = Set.copyOf(cachedPrefixes);
  }

  /** Returns whether the endpoint may be sent new requests at the given time. */
  public boolean acceptsRequests(Instant now) {
    return !draining && now.isBefore(leaseExpiresAt);
  }

  /**
   * Returns whether this announcement replaces the other: its sequence number is not lower, which
   * also holds if neither is numbered.
   */
  boolean supersedes(Endpoint other) {
    return sequence >= other.sequence;
  }

  /** Returns a copy of this announcement whose lease expires at the given time. */
  public Endpoint withLeaseExpiry(Instant expiresAt) {
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
        expiresAt);
  }
}
