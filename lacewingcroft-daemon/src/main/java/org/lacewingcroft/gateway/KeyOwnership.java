package org.lacewingcroft.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.lacewingcroft.idempotency.Claimant;
import org.lacewingcroft.idempotency.IdempotencyTable;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.misc.CallIds;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;

/**
 * Ensures that a request with an idempotency key is run at most once by the entries of a region.
 *
 * <p>Keys are assigned to entries by rendezvous hashing: a key's owner is the first live entry in
 * the rendezvous order of the key; its replicas are the first {@link #REPLICAS} known entries.
 * Before a request is run, its key is claimed at every replica. A replica that already holds a
 * record of the key denies the claim and returns the record, so that neither an owner that
 * restarted with an empty table nor two daemons that both act as the owner can run a key again
 * (source of the assignment: PAPER-telegramme-peer-layer-4b8c).
 *
 * <p>An entry that has just started has not discovered its peers and claims no key until membership
 * has converged. While a replica does not reply, and until membership removes it, claims remain
 * unconfirmed and their requests are refused as not run, which is safe to retry. When the region's
 * entries change, records are sent to the replicas that became responsible for them.
 */
public final class KeyOwnership {
  /** The number of entries that hold a key's record, including the owner. */
  public static final int REPLICAS = 3;

  private static final System.Logger LOG = System.getLogger(KeyOwnership.class.getName());
  private static final long CLAIM_TIMEOUT_MILLIS = 500;
  private static final Duration RECORD_RETENTION = Duration.ofHours(1);

  private final Vertx vertx;
  private final Membership membership;
  private final InstantSource clock;
  private final Claimant self;
  private final IdempotencyTable table = new IdempotencyTable(RECORD_RETENTION);
  private final CallIds callIds = new CallIds();
  private final Map<Long, PendingClaim> pendingClaims = new ConcurrentHashMap<>();
  private Set<String> knownPeerIncarnations = Set.of();

  /** A claim that waits for the replies of the other replicas. */
  private final class PendingClaim {
    private final String key;
    private final Set<String> awaitedReplicas;
    private final Promise<KeyAdmission> admission = Promise.promise();

    PendingClaim(String key, Set<String> replicas) {
      this.key = key;
      this.awaitedReplicas = new HashSet<>(replicas);
    }

    synchronized void onGranted(String from) {
      awaitedReplicas.remove(from);
      if (awaitedReplicas.isEmpty()) {
        admission.tryComplete(new KeyAdmission.Run());
      }
    }

    synchronized void onDenied(IdempotencyTable.Entry record) {
      if (admission.tryComplete(admissionFor(record))) {
        release(key);
        if (record.state() != IdempotencyTable.State.RUNNING) {
          table.merge(record, clock.instant());
        }
      }
    }

    synchronized void onTimeout() {
      if (admission.tryComplete(
          new KeyAdmission.Unconfirmed("entries " + awaitedReplicas + " are silent"))) {
        release(key);
      }
    }
  }

  /** Creates the key ownership of one entry daemon. */
  public KeyOwnership(Vertx vertx, Membership membership, InstantSource clock) {
    this.vertx = vertx;
    this.membership = membership;
    this.clock = clock;
    this.self = new Claimant(membership.self().nodeId(), membership.self().incarnation());
  }

  /** Returns the key's owner if it is another live entry of the region, else empty. */
  Optional<Member> remoteOwner(String key) {
    List<Member> live = membership.table().alive(MemberInfo.ENTRY, region(), clock.instant());
    List<String> ids = new ArrayList<>();
    ids.add(self.nodeId());
    live.forEach(m -> ids.add(m.info().nodeId()));
    String owner = Rendezvous.owner(ids, id -> id, key).orElseThrow();
    return live.stream().filter(m -> m.info().nodeId().equals(owner)).findFirst();
  }

  /**
   * Claims a key at every replica.
   *
   * @return the result; {@link KeyAdmission.Unconfirmed} if a replica does not reply in time
   */
  Future<KeyAdmission> admit(String key) {
    if (!membership.converged()) {
      return Future.succeededFuture(
          new KeyAdmission.Unconfirmed("this entry is still meeting its region's entries"));
    }
    Optional<IdempotencyTable.Entry> existingRecord = table.claim(key, self, clock.instant());
    if (existingRecord.isPresent()) {
      return Future.succeededFuture(admissionFor(existingRecord.get()));
    }
    List<MemberInfo> replicas = otherReplicas(key);
    if (replicas.isEmpty()) {
      return Future.succeededFuture(new KeyAdmission.Run());
    }
    long callId = callIds.next();
    Set<String> ids = new HashSet<>();
    replicas.forEach(r -> ids.add(r.nodeId()));
    PendingClaim claim = new PendingClaim(key, ids);
    pendingClaims.put(callId, claim);
    long timer = vertx.setTimer(CLAIM_TIMEOUT_MILLIS, id -> claim.onTimeout());
    PeerMessage message =
        new PeerMessage.KeyClaim(callId, key, self, membership.self().peerAddress());
    replicas.forEach(r -> membership.send(r.peerAddress(), message));
    return claim
        .admission
        .future()
        .onComplete(
            done -> {
              pendingClaims.remove(callId);
              vertx.cancelTimer(timer);
            });
  }

  private KeyAdmission admissionFor(IdempotencyTable.Entry record) {
    return switch (record.state()) {
      case DONE -> new KeyAdmission.Replay(record);
      case UNKNOWN -> new KeyAdmission.OutcomeUnknown();
      default ->
          isClaimantAlive(record.claimant())
              ? new KeyAdmission.InProgress()
              : new KeyAdmission.OutcomeUnknown();
    };
  }

  /**
   * Returns whether the process that claimed a key is still a known member, so that it may still
   * complete the request.
   */
  private boolean isClaimantAlive(Claimant claimant) {
    if (claimant.nodeId().equals(self.nodeId())) {
      return claimant.equals(self);
    }
    return membership
        .table()
        .get(claimant.nodeId())
        .filter(m -> m.info().incarnation() == claimant.incarnation())
        .isPresent();
  }

  /** Releases a claim of this daemon, locally and at the other replicas. */
  void release(String key) {
    table.release(key, self);
    sendToReplicas(key, new PeerMessage.KeyRelease(key, self));
  }

  /** Records the response to a key's request, locally and at the other replicas. */
  void complete(String key, int status, String contentType, byte[] body) {
    replicate(table.complete(key, self, status, contentType, body, clock.instant()));
  }

  /** Records that a key's outcome is unknown, locally and at the other replicas. */
  void markUnknown(String key) {
    replicate(table.markUnknown(key, self, clock.instant()));
  }

  private void replicate(IdempotencyTable.Entry record) {
    sendToReplicas(record.key(), new PeerMessage.IdempotencyRecord(record));
  }

  private void sendToReplicas(String key, PeerMessage message) {
    otherReplicas(key).forEach(r -> membership.send(r.peerAddress(), message));
  }

  /** Returns the key's replicas except this daemon, including suspect members. */
  private List<MemberInfo> otherReplicas(String key) {
    return selectReplicas(membership.table().membersOf(MemberInfo.ENTRY, region()), key).stream()
        .filter(r -> !r.nodeId().equals(self.nodeId()))
        .toList();
  }

  private List<MemberInfo> selectReplicas(List<Member> members, String key) {
    List<MemberInfo> infos = new ArrayList<>();
    infos.add(membership.self());
    members.forEach(m -> infos.add(m.info()));
    List<MemberInfo> ranked = Rendezvous.rank(infos, MemberInfo::nodeId, key);
    return ranked.subList(0, Math.min(REPLICAS, ranked.size()));
  }

  private String region() {
    return membership.self().region();
  }

  /** Handles a message about keys from another entry; ignores messages of other types. */
  public void receive(PeerMessage message) {
    if (message instanceof PeerMessage.IdempotencyRecord record) {
      table.merge(record.entry(), clock.instant());
    } else if (message instanceof PeerMessage.KeyRelease release) {
      table.release(release.key(), release.claimant());
    } else if (message instanceof PeerMessage.KeyClaim claim) {
      Optional<IdempotencyTable.Entry> existingRecord =
          table.grant(claim.key(), claim.claimant(), clock.instant());
      membership.send(
          claim.replyTo(),
          new PeerMessage.KeyClaimReply(claim.callId(), self.nodeId(), existingRecord));
    } else if (message instanceof PeerMessage.KeyClaimReply reply) {
      Optional.ofNullable(pendingClaims.get(reply.callId()))
          .ifPresent(
              claim ->
                  reply
                      .existing()
                      .ifPresentOrElse(claim::onDenied, () -> claim.onGranted(reply.from())));
    }
  }

  /**
   * Removes expired records and sends the others to the replicas that became responsible for them
   * since the last call.
   */
  public synchronized void expireAndHandOver() {
    table.expire(clock.instant());
    List<Member> members = membership.table().membersOf(MemberInfo.ENTRY, region());
    Set<String> peerIncarnations = new HashSet<>();
    members.forEach(m -> peerIncarnations.add(m.info().nodeId() + "/" + m.info().incarnation()));
    if (peerIncarnations.equals(knownPeerIncarnations)) {
      return;
    }
    int sentRecords = 0;
    for (IdempotencyTable.Entry record : table.all()) {
      for (MemberInfo replica : selectReplicas(members, record.key())) {
        String incarnation = replica.nodeId() + "/" + replica.incarnation();
        if (!replica.nodeId().equals(self.nodeId())
            && !knownPeerIncarnations.contains(incarnation)) {
          membership.send(replica.peerAddress(), new PeerMessage.IdempotencyRecord(record));
          sentRecords++;
        }
      }
    }
    knownPeerIncarnations = peerIncarnations;
    if (sentRecords > 0) {
      LOG.log(System.Logger.Level.INFO, "keys.records_handed_over", "records", sentRecords);
    }
  }

  /** Returns the number of records held by this daemon. */
  public int recordCount() {
    return table.size();
  }
}
