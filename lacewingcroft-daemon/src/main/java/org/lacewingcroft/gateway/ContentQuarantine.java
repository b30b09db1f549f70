package org.lacewingcroft.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.fleet.CrashProbe;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.fleet.PendingCrashProbes;
import org.lacewingcroft.fleet.QuarantineLog;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.quarantine.EndpointCrash;
import org.lacewingcroft.quarantine.RecentCompletions;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.quarantine.SuspicionLedger;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * Tracks the request contents, identified by their fingerprints, that this entry no longer sends to
 * any endpoint because endpoints crashed while they ran them. Entries send each other the crashes
 * that they observe; if such an update is lost, the content may crash further endpoints.
 *
 * <p>Thread-safe: requests are handled on several event loops.
 */
final class ContentQuarantine {
  private final Membership membership;
  private final EndpointRegistry endpoints;
  private final CrashProbe probe;
  private final PendingCrashProbes pendingProbes = new PendingCrashProbes();
  private final InstantSource clock;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private final RecentCompletions completions =
      new RecentCompletions(RecentCompletions.CONTENT_TTL);

  ContentQuarantine(
      Vertx vertx, Membership membership, EndpointRegistry endpoints, InstantSource clock) {
    this.membership = membership;
    this.endpoints = endpoints;
    this.probe = new CrashProbe(vertx);
    this.clock = clock;
  }

  /** Returns how long request content remains quarantined; empty if it may run. */
  synchronized Optional<Duration> remainingQuarantine(RequestFingerprint fingerprint) {
    return ledger.remainingQuarantine(fingerprint, clock.instant());
  }

  /** Records that an endpoint has returned a complete response to a request with the content. */
  synchronized void recordCompletion(RequestFingerprint fingerprint) {
    completions.record(fingerprint, clock.instant());
  }

  /**
   * Records that the connection to an endpoint was lost while the endpoint may have been running
   * the content. This counts against the content only if a probe finds that the endpoint has
   * crashed.
   */
  void onConnectionLost(String endpoint, RequestFingerprint fingerprint) {
    Instant lostAt = clock.instant();
    Future<Boolean> probeResult =
        addressOf(endpoint)
            .map(probe::hasCrashed)
            .orElse(Future.succeededFuture(false))
            .onSuccess(
                crashed -> {
                  if (crashed) {
                    onCrash(endpoint, fingerprint, lostAt);
                  }
                });
    pendingProbes.add(fingerprint, probeResult);
  }

  /** Returns the crash probe that must complete before the content may be run, if there is one. */
  Optional<Future<Boolean>> pendingCrashProbe(RequestFingerprint fingerprint) {
    return pendingProbes.get(fingerprint);
  }

  private Optional<SocketAddress> addressOf(String endpoint) {
    return endpoints
        .snapshot()
        .get(endpoint)
        .map(registered -> URI.create(registered.baseUrl()))
        .filter(url -> url.getPort() > 0)
        .map(url -> SocketAddress.inetSocketAddress(url.getPort(), url.getHost()));
  }

  private void onCrash(String endpoint, RequestFingerprint fingerprint, Instant lostAt) {
    Duration age = Duration.between(lostAt, clock.instant());
    Suspicion suspicion = Suspicion.of(fingerprint, new EndpointCrash(endpoint, age, false));
    if (recordSuspicion(suspicion)) {
      publish(suspicion);
    }
  }

  private synchronized boolean recordSuspicion(Suspicion suspicion) {
    Instant now = clock.instant();
    return !completions.isRecentlyCompleted(suspicion.content(), now)
        && merge(suspicion, "seen here", now);
  }

  private void publish(Suspicion suspicion) {
    PeerMessage message = updateMessage(List.of(suspicion));
    membership.sendToRegionEntries(message);
    membership.sendToRandomMembers(message, /* acrossRegions= */ true);
  }

  /** Returns the quarantined contents. */
  synchronized List<Suspicion> quarantinedContents() {
    return ledger.allQuarantineEvidence(clock.instant());
  }

  /**
   * Lifts the quarantine of request content at all entries.
   *
   * @return whether the content was quarantined
   */
  boolean lift(RequestFingerprint fingerprint) {
    boolean lifted = clear(fingerprint, "lifted by an operator");
    if (lifted) {
      publish(Suspicion.cleared(fingerprint));
    }
    return lifted;
  }

  private synchronized boolean clear(RequestFingerprint fingerprint, String cause) {
    Instant now = clock.instant();
    return ledger.quarantineEvidence(fingerprint, now).isPresent()
        && merge(Suspicion.cleared(fingerprint), cause, now);
  }

  /**
   * Merges an update from another entry. If the update is from another region, the suspicions that
   * changed the ledger are forwarded to the entries of this region.
   */
  void onSuspicionUpdate(FleetMessage.SuspicionUpdate update) {
    List<Suspicion> changed = mergeAll(update);
    boolean fromOtherRegion =
        membership
            .regionOf(update.from())
            .filter(r -> !r.equals(membership.self().region()))
            .isPresent();
    if (fromOtherRegion && !changed.isEmpty()) {
      membership.sendToRegionEntries(updateMessage(changed));
    }
  }

  private synchronized List<Suspicion> mergeAll(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    List<Suspicion> changed = new ArrayList<>(update.suspicions());
    changed.removeIf(s -> !merge(s, update.from(), now));
    List<Suspicion> cleared =
        changed.stream()
            .map(Suspicion::content)
            .filter(fingerprint -> completions.isRecentlyCompleted(fingerprint, now))
            .filter(fingerprint -> clear(fingerprint, "completed here"))
            .map(Suspicion::cleared)
            .toList();
    changed.addAll(cleared);
    cleared.forEach(this::publish);
    return changed;
  }

  private boolean merge(Suspicion suspicion, String cause, Instant now) {
    ledger.expire(now);
    Optional<Suspicion> merged = ledger.merge(suspicion, now);
    merged.ifPresent(m -> QuarantineLog.logChange(m, cause));
    return merged.isPresent();
  }

  private PeerMessage updateMessage(List<Suspicion> suspicions) {
    return new PeerMessage.Fleet(
        new FleetMessage.SuspicionUpdate(membership.self().peerAddress(), 0, suspicions));
  }
}
