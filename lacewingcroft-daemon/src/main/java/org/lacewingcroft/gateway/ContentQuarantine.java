package org.lacewingcroft.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.fleet.QuarantineLog;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.quarantine.RecentCompletions;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.quarantine.SuspicionLedger;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The contents that this entry sends to no endpoint any more, because endpoints broke off under
 * them. Entries tell each other what they see; news that get lost cost further ends of endpoints.
 *
 * <p>Thread-safe: requests are handled on several event loops.
 */
final class ContentQuarantine {
  private final Membership membership;
  private final InstantSource clock;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private final RecentCompletions completions = new RecentCompletions();

  ContentQuarantine(Membership membership, InstantSource clock) {
    this.membership = membership;
    this.clock = clock;
  }

  /** Returns how long a content is still quarantined, empty if it may run. */
  synchronized Optional<Duration> remaining(RequestFingerprint content) {
    return ledger.quarantinedFor(content, clock.instant());
  }

  /** Notes that an endpoint has answered a content in full. */
  synchronized void completed(RequestFingerprint content) {
    completions.completed(content, clock.instant());
  }

  /** Notes that an endpoint closed the connection on which it had a content to run. */
  void brokeOff(String endpoint, RequestFingerprint content) {
    Suspicion suspicion = new Suspicion(content, Set.of(endpoint), Duration.ZERO);
    if (suspect(suspicion)) {
      PeerMessage update = update(List.of(suspicion));
      membership.tellRegionsEntries(update);
      membership.spread(update, /* acrossRegions= */ true);
    }
  }

  private synchronized boolean suspect(Suspicion suspicion) {
    Instant now = clock.instant();
    return !completions.clears(suspicion.content(), now) && learn(suspicion, "seen here", now);
  }

  /** Takes what another entry has seen; what comes from another region is told in this one. */
  void heard(FleetMessage.SuspicionUpdate update) {
    List<Suspicion> learned = learn(update);
    boolean fromElsewhere =
        membership
            .regionOf(update.from())
            .filter(r -> !r.equals(membership.self().region()))
            .isPresent();
    if (fromElsewhere && !learned.isEmpty()) {
      membership.tellRegionsEntries(update(learned));
    }
  }

  private synchronized List<Suspicion> learn(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    List<Suspicion> learned = new ArrayList<>(update.suspicions());
    learned.removeIf(s -> !learn(s, update.from(), now));
    return learned;
  }

  private boolean learn(Suspicion suspicion, String cause, Instant now) {
    ledger.expire(now);
    Optional<Suspicion> known = ledger.add(suspicion, now);
    known.ifPresent(k -> QuarantineLog.learned(k, cause));
    return known.isPresent();
  }

  private PeerMessage update(List<Suspicion> suspicions) {
    return new PeerMessage.Fleet(
        new FleetMessage.SuspicionUpdate(membership.self().peerAddress(), 0, suspicions));
  }
}
