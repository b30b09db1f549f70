package org.lacewingcroft.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * The bounds that a deployment guarantees to its users, as configured.
 *
 * @param shutdownGrace time between the request to shut down and the kill
 * @param directoryTtlMax the longest TTL of a directory response that callers honour
 * @param extraSendRatio extra sends that all entries together may make per request
 * @param extraSendSlack extra sends allowed in addition, independent of the number of requests
 * @param extraSendWindow the time window in which they are counted
 * @param warmupOvershoot tolerated ratio of a cold endpoint's actual request rate to its configured
 *     one
 * @param warmupSlack requests per second to a cold endpoint tolerated in addition
 * @param revocationDelay time after which a revoked key is accepted nowhere, not even by entries
 *     that are disconnected from the control instances; empty if such entries may continue to
 *     accept keys
 */
public record FleetBounds(
    Duration shutdownGrace,
    Duration directoryTtlMax,
    double extraSendRatio,
    double extraSendSlack,
    Duration extraSendWindow,
    double warmupOvershoot,
    double warmupSlack,
    Optional<Duration> revocationDelay) {}
