package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether one entry reaches one endpoint, judged by this entry's own connections. Suspicion arises
 * from requests that fail; it ends when the endpoint sends data, or when a probe succeeds, so that
 * no caller's request has to find out whether an endpoint that could not be reached is back.
 *
 * <p>A failed connection attempt makes the endpoint unreachable even while other connections to it
 * still work: a partition may reset new connections and leave open ones alone.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class EndpointReachability {
  /**
   * Number of consecutive connections lost without a byte of a response after which the endpoint is
   * suspected. A single one may be an idle connection that the endpoint was about to close.
   */
  private static final int SUSPICIOUS_LOST_CONNECTIONS = 2;

  /** Number of failed probes after which a suspected endpoint is treated as unreachable. */
  private static final int CONFIRMING_PROBES = 2;

  private static final long INITIAL_PROBE_BACKOFF_MILLIS = 250;
  private static final int MAX_BACKOFF_DOUBLINGS = 8;

  private boolean connectFailed;
  private int lostConnections;
  private boolean silent;
  private boolean probing;
  private int failedProbes;
  private Instant nextProbeAt = Instant.EPOCH;

  /** Records that a connection could not be established. */
  void recordConnectFailure() {
    connectFailed = true;
  }

  /** Records a connection that was lost before the first byte of a response. */
  void recordLostConnection() {
    lostConnections++;
  }

  /** Records that requests ended without a byte from the endpoint for too long. */
  void recordSilence() {
    silent = true;
  }

  /**
   * Records data from the endpoint. It says nothing about new connections, but an endpoint that was
   * only silent accepts them again, so the next probe of one that refused them follows soon.
   */
  void recordData(Instant now) {
    lostConnections = 0;
    silent = false;
    Instant soon = now.plusMillis(INITIAL_PROBE_BACKOFF_MILLIS);
    failedProbes = 0;
    nextProbeAt = nextProbeAt.isAfter(soon) ? soon : nextProbeAt;
  }

  /** Returns whether no data has arrived since requests ended without any for too long. */
  boolean isSilent() {
    return silent;
  }

  /** Records the start of a probe. */
  void startProbe() {
    probing = true;
  }

  /** Records that the endpoint responded to a probe on a new connection. */
  void recordProbeSuccess() {
    probing = false;
    connectFailed = false;
    lostConnections = 0;
    silent = false;
    failedProbes = 0;
    nextProbeAt = Instant.EPOCH;
  }

  /**
   * Records a failed probe.
   *
   * @param maxBackoff the maximum time until the next probe
   */
  void recordProbeFailure(Duration maxBackoff, Instant now) {
    probing = false;
    long backoffMillis =
        INITIAL_PROBE_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_DOUBLINGS, failedProbes);
    nextProbeAt = now.plusMillis(Math.min(maxBackoff.toMillis(), backoffMillis));
    failedProbes++;
  }

  /** Returns whether a suspected endpoint is to be probed now. */
  boolean isProbeDue(Instant now) {
    return !probing && !nextProbeAt.isAfter(now);
  }

  /** Returns whether the last connections to the endpoint failed. */
  boolean isSuspected() {
    return connectFailed || silent || lostConnections >= SUSPICIOUS_LOST_CONNECTIONS;
  }

  /** Returns whether no request can reach the endpoint, as far as this entry knows. */
  boolean isUnreachable() {
    return connectFailed || isSuspected() && failedProbes >= CONFIRMING_PROBES;
  }
}
