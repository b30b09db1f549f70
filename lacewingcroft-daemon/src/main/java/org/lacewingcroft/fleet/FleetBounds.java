package org.lacewingcroft.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * What the deployment promises its users, as its settings state it.
 *
 * @param shutdownGrace between the request to stop and the kill
 * @param directoryTtlMax the longest validity of a directory answer that callers heed
 * @param extraSendRatio sends beyond the first that all entries together may make for each request
 * @param extraSendSlack such sends allowed besides
 * @param extraSendWindow the span in which they are counted
 * @param warmupOvershoot factor on a cold endpoint's rate that is tolerated
 * @param warmupSlack requests a second that are tolerated besides
 * @param revocationDelay time after which a key that was withdrawn is accepted nowhere any more,
 *     not even by entries that no control instance reaches; empty if those may go on
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
