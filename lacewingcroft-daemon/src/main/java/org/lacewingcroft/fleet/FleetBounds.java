package org.lacewingcroft.fleet;

import java.time.Duration;
import java.util.Optional;
import org.lacewingcroft.consensus.ConsensusTiming;

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
    Optional<Duration> revocationDelay) {
  /** Share of the revocation delay for which a reply confirms the state of an entry. */
  private static final double LEASE_SHARE = 0.6;

  /**
   * Maximum age of a state that a control instance confirms: an election timeout of the control
   * group twice over, so that the state stays confirmed while a leader is replaced.
   */
  private static final Duration MAX_STATE_AGE =
      Duration.ofMillis(2 * ConsensusTiming.DEFAULT.electionTimeoutMillis());

  /** Returns how long a reply of a control instance confirms the state that an entry holds. */
  public Duration stateLease() {
    long delayMillis = revocationDelay.map(Duration::toMillis).orElse(0L);
    return Duration.ofMillis(Math.round(delayMillis * LEASE_SHARE));
  }

  /**
   * Returns the maximum age of the state that a control instance may confirm to entries. Together
   * with {@link #stateLease()} it is at most the revocation delay.
   */
  public Duration maxStateAge() {
    return revocationDelay
        .map(delay -> delay.minus(stateLease()))
        .filter(rest -> rest.compareTo(MAX_STATE_AGE) < 0)
        .orElse(MAX_STATE_AGE);
  }
}
