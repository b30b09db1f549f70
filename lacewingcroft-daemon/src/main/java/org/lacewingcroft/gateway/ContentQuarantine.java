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
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.lacewingcroft.fleet.CrashProbe;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.fleet.PendingCrashProbes;
import org.lacewingcroft.fleet.QuarantineLog;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.quarantine.EndpointCrash;
import org.lacewingcroft.quarantine.Quarantine;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * Tracks the request contents and messages, identified by their fingerprints, that this entry no
 * longer sends to any endpoint because endpoints crashed while they ran them. Entries send each
 * other the crashes that they observe; if such an update is lost, the content may crash further
 * endpoints.
 *
 * <p>Thread-safe: requests are handled on several event loops.
 */
final class ContentQuarantine {
  private final Vertx vertx;
  private final Membership membership;
  private final EndpointRegistry endpoints;
  private final CrashProbe probe;
  private final PendingCrashProbes pendingProbes = new PendingCrashProbes();
  private final InstantSource clock;
  private final Quarantine quarantine = new Quarantine();

  ContentQuarantine(
      Vertx vertx, Membership membership, EndpointRegistry endpoints, InstantSource clock) {
    this.vertx = vertx;
    this.membership = membership;
    this.endpoints = endpoints;
    this.probe = new CrashProbe(vertx);
    this.clock = clock;
  }

  /**
   * Returns how long the content of a request or one of its messages remains quarantined; empty if
   * the request may run, also as a trial that is due on this entry.
   */
  synchronized Optional<Duration> remainingQuarantine(RequestFingerprints request) {
    Instant now = clock.instant();
    Optional<Duration> remaining = quarantine.remaining(request, now);
    if (remaining.isEmpty()) {
      return Optional.empty();
    }
    List<Suspicion> tried =
        quarantine.tryStartTrial(request, membership.self().nodeId(), entryNames(), now);
    tried.forEach(QuarantineLog::logTrial);
    return tried.isEmpty() ? remaining : Optional.empty();
  }

  private List<String> entryNames() {
    Stream<MemberInfo> others =
        membership.table().membersOf(MemberInfo.ENTRY, /* region= */ null).stream()
            .map(Member::info);
    return Stream.concat(others, Stream.of(membership.self()))
        .map(MemberInfo::nodeId)
        .distinct()
        .toList();
  }

  /**
   * Records that an endpoint has returned a complete response to a request.
   *
   * @param successful whether the response is the result of the request
   */
  void recordCompletion(RequestFingerprints request, boolean successful) {
    applyAndPublish(() -> quarantine.recordCompletion(request, successful, clock.instant()));
  }

  /**
   * Records that the connection to an endpoint was lost while the endpoint may have been running
   * the request. This counts against the request only if a probe finds that the endpoint has
   * crashed.
   */
  void onConnectionLost(String endpoint, RequestFingerprints request) {
    Instant lostAt = clock.instant();
    Future<Boolean> probeResult =
        addressOf(endpoint)
            .map(probe::hasCrashed)
            .orElse(Future.succeededFuture(false))
            .onSuccess(
                crashed -> {
                  if (crashed) {
                    onCrash(endpoint, request, lostAt);
                  }
                });
    pendingProbes.add(request, probeResult);
  }

  /**
   * Returns what must complete before it is known whether the request may run: a crash probe, or
   * the time in which other entries can clear what has just been quarantined.
   */
  Optional<Future<Void>> pendingDecision(RequestFingerprints request) {
    return pendingProbes
        .get(uncompleted(request))
        .map(Future::<Void>mapEmpty)
        .or(
            () ->
                remainingConfirmation(request)
                    .map(r -> vertx.timer(Math.max(1, r.toMillis())).mapEmpty()));
  }

  private synchronized List<RequestFingerprint> uncompleted(RequestFingerprints request) {
    return quarantine.uncompleted(request, clock.instant());
  }

  private synchronized Optional<Duration> remainingConfirmation(RequestFingerprints request) {
    return quarantine.remainingConfirmation(request, clock.instant());
  }

  private Optional<SocketAddress> addressOf(String endpoint) {
    return endpoints
        .snapshot()
        .get(endpoint)
        .map(registered -> URI.create(registered.baseUrl()))
        .filter(url -> url.getPort() > 0)
        .map(url -> SocketAddress.inetSocketAddress(url.getPort(), url.getHost()));
  }

  private void onCrash(String endpoint, RequestFingerprints request, Instant lostAt) {
    Instant now = clock.instant();
    EndpointCrash crash = new EndpointCrash(endpoint, Duration.between(lostAt, now), false);
    applyAndPublish(
        () ->
            request.all().stream()
                .filter(fingerprint -> !quarantine.isRecentlyCompleted(fingerprint, now))
                .map(fingerprint -> Suspicion.of(fingerprint, crash))
                .toList());
  }

  /** Merges observations of this entry, and sends those that changed something to the others. */
  private void applyAndPublish(Supplier<List<Suspicion>> observations) {
    List<Suspicion> changed;
    synchronized (this) {
      Instant now = clock.instant();
      changed = observations.get().stream().filter(s -> merge(s, "seen here", now)).toList();
    }
    publish(changed);
  }

  private void publish(List<Suspicion> suspicions) {
    if (!suspicions.isEmpty()) {
      PeerMessage message = updateMessage(suspicions);
      membership.sendToRegionEntries(message);
      membership.sendToRandomMembers(message, /* acrossRegions= */ true);
    }
  }

  /** Returns the quarantined contents. */
  synchronized List<Suspicion> quarantinedContents() {
    return quarantine.all(clock.instant());
  }

  /**
   * Lifts the quarantine of request content at all entries.
   *
   * @return whether the content was quarantined
   */
  boolean lift(RequestFingerprint fingerprint) {
    boolean lifted = clear(fingerprint);
    if (lifted) {
      publish(List.of(Suspicion.cleared(fingerprint)));
    }
    return lifted;
  }

  private synchronized boolean clear(RequestFingerprint fingerprint) {
    Instant now = clock.instant();
    return quarantine.isQuarantined(fingerprint, now)
        && merge(Suspicion.cleared(fingerprint), "lifted by an operator", now);
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
            .flatMap(s -> quarantine.clearing(s.content(), now).stream())
            .filter(clearing -> merge(clearing, "completed here", now))
            .toList();
    changed.addAll(cleared);
    publish(cleared);
    return changed;
  }

  private boolean merge(Suspicion suspicion, String cause, Instant now) {
    quarantine.expire(now);
    Optional<Suspicion> merged = quarantine.merge(suspicion, now);
    merged.ifPresent(m -> QuarantineLog.logChange(m, cause));
    return merged.isPresent();
  }

  private PeerMessage updateMessage(List<Suspicion> suspicions) {
    return new PeerMessage.Fleet(
        new FleetMessage.SuspicionUpdate(membership.self().peerAddress(), 0, suspicions));
  }
}
