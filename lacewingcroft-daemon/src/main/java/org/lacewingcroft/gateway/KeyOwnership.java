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
import java.util.concurrent.atomic.AtomicLong;
import org.lacewingcroft.idempotency.Claimant;
import org.lacewingcroft.idempotency.IdempotencyTable;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;

/**
 * At-most-once over the entries of a region. A key's owner is the first live entry in rendezvous
 * order of the key (the assignment of keys to peers is that of PAPER-telegramme-peer-layer-4b8c),
 * its replicas the first {@link #REPLICAS} entries known. Before a request is run its key is
 * claimed at every replica; whichever already holds a record refuses the claim and returns it, so
 * an owner that restarted with an empty table, or two daemons that both take themselves for the
 * owner, cannot run a key again.
 *
 * <p>An entry that has just started does not know its peers and claims nothing until membership has
 * settled. A replica that does not answer is asked in vain until membership removes it: the claim
 * is then unconfirmed and the request refused as not run, which is safe to retry. When the region's
 * entries change, records are sent to the replicas that became responsible for them.
 */
public final class KeyOwnership {
  /** How many entries hold a key's record, the owner among them. */
  public static final int REPLICAS = 3;

  private static final System.Logger LOG = System.getLogger(KeyOwnership.class.getName());
  private static final long CLAIM_TIMEOUT_MILLIS = 500;
  private static final Duration RETENTION = Duration.ofHours(1);

  private final Vertx vertx;
  private final Membership membership;
  private final InstantSource clock;
  private final Claimant self;
  private final IdempotencyTable table = new IdempotencyTable(RETENTION);
  private final AtomicLong nextCallId = new AtomicLong();
  private final Map<Long, PendingClaim> pending = new ConcurrentHashMap<>();
  private Set<String> knownPeers = Set.of();

  /** A claim waiting for its replicas' replies. */
  private final class PendingClaim {
    private final String key;
    private final Set<String> missing;
    private final Promise<KeyAdmission> admission = Promise.promise();

    PendingClaim(String key, Set<String> replicas) {
      this.key = key;
      this.missing = new HashSet<>(replicas);
    }

    synchronized void granted(String from) {
      missing.remove(from);
      if (missing.isEmpty()) {
        admission.tryComplete(new KeyAdmission.Run());
      }
    }

    synchronized void denied(IdempotencyTable.Entry held) {
      if (admission.tryComplete(found(held))) {
        takeBack(key);
        if (held.state() != IdempotencyTable.State.RUNNING) {
          table.merge(held, clock.instant());
        }
      }
    }

    synchronized void timedOut() {
      if (admission.tryComplete(
          new KeyAdmission.Unconfirmed("entries " + missing + " are silent"))) {
        takeBack(key);
      }
    }
  }

  /** Creates the ownership of one entry daemon. */
  public KeyOwnership(Vertx vertx, Membership membership, InstantSource clock) {
    this.vertx = vertx;
    this.membership = membership;
    this.clock = clock;
    this.self = new Claimant(membership.self().nodeId(), membership.self().incarnation());
  }

  /** Returns the key's owner if it is another live entry of the region. */
  Optional<Member> remoteOwner(String key) {
    List<Member> live = membership.table().alive(MemberInfo.ENTRY, region(), clock.instant());
    List<String> ids = new ArrayList<>();
    ids.add(self.nodeId());
    live.forEach(m -> ids.add(m.info().nodeId()));
    String owner = Rendezvous.owner(ids, id -> id, key).orElseThrow();
    return live.stream().filter(m -> m.info().nodeId().equals(owner)).findFirst();
  }

  /** Claims a key at every replica. */
  Future<KeyAdmission> admit(String key) {
    if (!membership.converged()) {
      return Future.succeededFuture(
          new KeyAdmission.Unconfirmed("this entry is still meeting its region's entries"));
    }
    Optional<IdempotencyTable.Entry> held = table.claim(key, self, clock.instant());
    if (held.isPresent()) {
      return Future.succeededFuture(found(held.get()));
    }
    List<MemberInfo> replicas = otherReplicas(key);
    if (replicas.isEmpty()) {
      return Future.succeededFuture(new KeyAdmission.Run());
    }
    long callId = nextCallId.incrementAndGet();
    Set<String> ids = new HashSet<>();
    replicas.forEach(r -> ids.add(r.nodeId()));
    PendingClaim claim = new PendingClaim(key, ids);
    pending.put(callId, claim);
    long timer = vertx.setTimer(CLAIM_TIMEOUT_MILLIS, id -> claim.timedOut());
    PeerMessage message =
        new PeerMessage.KeyClaim(callId, key, self, membership.self().peerAddress());
    replicas.forEach(r -> membership.send(r.peerAddress(), message));
    return claim
        .admission
        .future()
        .onComplete(
            done -> {
              pending.remove(callId);
              vertx.cancelTimer(timer);
            });
  }

  private KeyAdmission found(IdempotencyTable.Entry held) {
    return switch (held.state()) {
      case DONE -> new KeyAdmission.Replay(held);
      case UNKNOWN -> new KeyAdmission.OutcomeUnknown();
      default ->
          stillRuns(held.claimant())
              ? new KeyAdmission.InProgress()
              : new KeyAdmission.OutcomeUnknown();
    };
  }

  /** Returns whether the process that claimed a key is still known, so that it may yet answer. */
  private boolean stillRuns(Claimant claimant) {
    if (claimant.nodeId().equals(self.nodeId())) {
      return claimant.equals(self);
    }
    return membership
        .table()
        .get(claimant.nodeId())
        .filter(m -> m.info().incarnation() == claimant.incarnation())
        .isPresent();
  }

  /** Takes a claim of this daemon back, here and at the other replicas. */
  void takeBack(String key) {
    table.release(key, self);
    broadcast(key, new PeerMessage.KeyRelease(key, self));
  }

  /** Records the answer of a key that ran. */
  void complete(String key, int status, String contentType, byte[] body) {
    replicate(table.complete(key, self, status, contentType, body, clock.instant()));
  }

  /** Records that a key's outcome is not known. */
  void markUnknown(String key) {
    replicate(table.markUnknown(key, self, clock.instant()));
  }

  private void replicate(IdempotencyTable.Entry entry) {
    broadcast(entry.key(), new PeerMessage.IdempotencyRecord(entry));
  }

  private void broadcast(String key, PeerMessage message) {
    otherReplicas(key).forEach(r -> membership.send(r.peerAddress(), message));
  }

  /** Returns the key's replicas without this daemon, suspect members included. */
  private List<MemberInfo> otherReplicas(String key) {
    return replicasAmong(membership.table().membersOf(MemberInfo.ENTRY, region()), key).stream()
        .filter(r -> !r.nodeId().equals(self.nodeId()))
        .toList();
  }

  private List<MemberInfo> replicasAmong(List<Member> members, String key) {
    List<MemberInfo> infos = new ArrayList<>();
    infos.add(membership.self());
    members.forEach(m -> infos.add(m.info()));
    List<MemberInfo> ranked = Rendezvous.rank(infos, MemberInfo::nodeId, key);
    return ranked.subList(0, Math.min(REPLICAS, ranked.size()));
  }

  private String region() {
    return membership.self().region();
  }

  /** Takes a message from another entry; others than this class's are ignored. */
  public void receive(PeerMessage message) {
    if (message instanceof PeerMessage.IdempotencyRecord record) {
      table.merge(record.entry(), clock.instant());
    } else if (message instanceof PeerMessage.KeyRelease release) {
      table.release(release.key(), release.claimant());
    } else if (message instanceof PeerMessage.KeyClaim claim) {
      Optional<IdempotencyTable.Entry> held =
          table.grant(claim.key(), claim.claimant(), clock.instant());
      membership.send(
          claim.replyTo(), new PeerMessage.KeyClaimReply(claim.callId(), self.nodeId(), held));
    } else if (message instanceof PeerMessage.KeyClaimReply reply) {
      Optional.ofNullable(pending.get(reply.callId()))
          .ifPresent(
              claim ->
                  reply.existing().ifPresentOrElse(claim::denied, () -> claim.granted(reply.from())));
    }
  }

  /**
   * Sends records to replicas that became responsible since the last call, and expires old ones.
   */
  public synchronized void expireAndHandOver() {
    table.expire(clock.instant());
    List<Member> members = membership.table().membersOf(MemberInfo.ENTRY, region());
    Set<String> peers = new HashSet<>();
    members.forEach(m -> peers.add(m.info().nodeId() + "/" + m.info().incarnation()));
    if (peers.equals(knownPeers)) {
      return;
    }
    int sent = 0;
    for (IdempotencyTable.Entry record : table.all()) {
      for (MemberInfo replica : replicasAmong(members, record.key())) {
        String run = replica.nodeId() + "/" + replica.incarnation();
        if (!replica.nodeId().equals(self.nodeId()) && !knownPeers.contains(run)) {
          membership.send(replica.peerAddress(), new PeerMessage.IdempotencyRecord(record));
          sent++;
        }
      }
    }
    knownPeers = peers;
    if (sent > 0) {
      LOG.log(System.Logger.Level.INFO, "keys.records_handed_over", "records", sent);
    }
  }

  /** Returns the number of records held here. */
  public int recordCount() {
    return table.size();
  }
}
