package org.lacewingcroft.placement;

import java.util.Optional;

/**
 * An endpoint with the estimates on which {@link Placer} compares it.
 *
 * @param endpoint the endpoint
 * @param prefillMillis the time to prefill the prompt, in ms
 * @param firstByteMillis the estimated time to the first byte, in ms
 * @param score the estimated response time plus penalties; the lowest is best
 * @param rank the score adjusted by {@link EndpointBalance}, by which endpoints of this region are
 *     compared with each other
 * @param preferred whether it caches the prompt's shared parts, or is the endpoint that is to cache
 *     them by rendezvous order
 * @param fetch the KV cache to fetch, if any
 */
record ScoredEndpoint(
    EndpointTracker endpoint,
    double prefillMillis,
    double firstByteMillis,
    double score,
    double rank,
    boolean preferred,
    Optional<Placement.PrefixFetch> fetch) {}
