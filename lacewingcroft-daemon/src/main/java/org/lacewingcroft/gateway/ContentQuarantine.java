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
 * Tracks the request contents that this entry no longer sends to any endpoint, because endpoints
 * crashed while they ran them. Entries send each other the crashes that they observe; a lost update
 * can cost further endpoint crashes.
 *
 * <p>Thread-safe: requests are handled on several event loops.
 */
final class ContentQuarantine {
  private final Membership membership;
  private final EndpointRegistry endpoints;
  private final CrashProbe probe;
  private final PendingCrashProbes pending = new PendingCrashProbes();
  private final InstantSource clock;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private final RecentCompletions completions = new RecentCompletions();

  ContentQuarantine(
      Vertx vertx, Membership membership, EndpointRegistry endpoints, InstantSource clock) {
    this.membership = membership;
    this.endpoints = endpoints;
    this.probe = new CrashProbe(vertx);
    this.clock = clock;
  }

  /** Returns how long a content remains quarantined; empty if it may run. */
  synchronized Optional<Duration> remaining(RequestFingerprint content) {
    return ledger.remainingQuarantine(content, clock.instant());
  }

  /** Records that an endpoint has returned the complete response to a content. */
  synchronized void completed(RequestFingerprint content) {
    completions.record(content, clock.instant());
  }

  /**
   * Records that an endpoint closed the connection on which it had a content to run. This counts
   * against the content only if a probe finds that the endpoint has crashed.
   */
  void brokeOff(String endpoint, RequestFingerprint content) {
    Instant brokeOffAt = clock.instant();
    Future<Boolean> verdict =
        addressOf(endpoint)
            .map(probe::hasCrashed)
            .orElse(Future.succeededFuture(false))
            .onSuccess(
                hasEnded -> {
                  if (hasEnded) {
                    ended(endpoint, content, brokeOffAt);
                  }
                });
    pending.add(content, verdict);
  }

  /** Returns the crash probe that must complete before a content may be run, if there is one. */
  Optional<Future<Boolean>> pending(RequestFingerprint content) {
    return pending.get(content);
  }

  private Optional<SocketAddress> addressOf(String endpoint) {
    return endpoints
        .snapshot()
        .get(endpoint)
        .map(known -> URI.create(known.baseUrl()))
        .filter(url -> url.getPort() > 0)
        .map(url -> SocketAddress.inetSocketAddress(url.getPort(), url.getHost()));
  }

  private void ended(String endpoint, RequestFingerprint content, Instant brokeOffAt) {
    Duration age = Duration.between(brokeOffAt, clock.instant());
    Suspicion suspicion = Suspicion.of(content, new EndpointCrash(endpoint, age, false));
    if (suspect(suspicion)) {
      tell(suspicion);
    }
  }

  private synchronized boolean suspect(Suspicion suspicion) {
    Instant now = clock.instant();
    return !completions.isRecentlyCompleted(suspicion.content(), now)
        && learn(suspicion, "seen here", now);
  }

  private void tell(Suspicion suspicion) {
    PeerMessage update = update(List.of(suspicion));
    membership.sendToRegionEntries(update);
    membership.sendToRandomMembers(update, /* acrossRegions= */ true);
  }

  /** Returns the quarantined contents. */
  synchronized List<Suspicion> quarantined() {
    return ledger.quarantined(clock.instant());
  }

  /**
   * Lifts the quarantine of a content at all entries.
   *
   * @return whether the content was quarantined
   */
  boolean lift(RequestFingerprint content) {
    boolean lifted = clear(content, "lifted by an operator");
    if (lifted) {
      tell(Suspicion.cleared(content));
    }
    return lifted;
  }

  private synchronized boolean clear(RequestFingerprint content, String cause) {
    Instant now = clock.instant();
    return ledger.quarantined(content, now).isPresent()
        && learn(Suspicion.cleared(content), cause, now);
  }

  /**
   * Merges an update from another entry. What was new in an update from another region is sent on to
   * the entries of this region.
   */
  void heard(FleetMessage.SuspicionUpdate update) {
    List<Suspicion> learned = learn(update);
    boolean fromElsewhere =
        membership
            .regionOf(update.from())
            .filter(r -> !r.equals(membership.self().region()))
            .isPresent();
    if (fromElsewhere && !learned.isEmpty()) {
      membership.sendToRegionEntries(update(learned));
    }
  }

  private synchronized List<Suspicion> learn(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    List<Suspicion> learned = new ArrayList<>(update.suspicions());
    learned.removeIf(s -> !learn(s, update.from(), now));
    List<Suspicion> refuted =
        learned.stream()
            .map(Suspicion::content)
            .filter(content -> completions.isRecentlyCompleted(content, now))
            .filter(content -> clear(content, "answered here"))
            .map(Suspicion::cleared)
            .toList();
    learned.addAll(refuted);
    refuted.forEach(this::tell);
    return learned;
  }

  private boolean learn(Suspicion suspicion, String cause, Instant now) {
    ledger.expire(now);
    Optional<Suspicion> known = ledger.merge(suspicion, now);
    known.ifPresent(k -> QuarantineLog.logChange(k, cause));
    return known.isPresent();
  }

  private PeerMessage update(List<Suspicion> suspicions) {
    return new PeerMessage.Fleet(
        new FleetMessage.SuspicionUpdate(membership.self().peerAddress(), 0, suspicions));
  }
}
