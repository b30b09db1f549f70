package org.lacewingcroft.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.PeerMessage;

/**
 * An immutable table of the members known to one daemon, updated by gossip.
 *
 * <p>A member is {@link MemberStatus#ALIVE} while its heartbeat counter has increased within {@link
 * #suspicionTimeoutIntervals}, which allows for the propagation time of gossip in a region of this
 * size; then it is {@link MemberStatus#SUSPECT} for the same time again, and then it is removed.
 * The last heartbeat of a removed member is retained for some time as a tombstone, so that a peer
 * that still relays its old counter does not restore it.
 */
public final class MemberTable {
  /**
   * Factor by which the timeouts of entries of other regions are longer, since digests propagate
   * slowly.
   */
  public static final int OTHER_REGION_TIMEOUT_FACTOR = 4;

  private static final int TOMBSTONE_TTL_SUSPICION_TIMEOUTS = 20;

  private record Tombstone(Heartbeat heartbeat, Instant expiresAt) {}

  private final MemberInfo self;
  private final Duration interval;
  private final Map<String, Member> byId;
  private final Map<String, Tombstone> tombstones;
  private final Map<String, RegionDigest> digestByOriginator;
  private final boolean hasUnknownMembers;
  private final int trackedCount;

  /**
   * Creates an empty table.
   *
   * @param self the daemon that maintains the table; it is not contained in the table
   * @param interval the gossip interval
   */
  public MemberTable(MemberInfo self, Duration interval) {
    this(self, interval, Map.of(), Map.of(), Map.of(), false);
  }

  private MemberTable(
      MemberInfo self,
      Duration interval,
      Map<String, Member> byId,
      Map<String, Tombstone> tombstones,
      Map<String, RegionDigest> digestByOriginator,
      boolean hasUnknownMembers) {
    this.self = self;
    this.interval = interval;
    this.byId = Collections.unmodifiableMap(new TreeMap<>(byId));
    this.trackedCount = (int) byId.values().stream().filter(m -> tracks(m.info())).count();
    this.tombstones = Map.copyOf(tombstones);
    this.digestByOriginator = Collections.unmodifiableMap(new TreeMap<>(digestByOriginator));
    this.hasUnknownMembers = hasUnknownMembers;
  }

  /** Returns the table updated by a gossip message. */
  public MemberTable withGossip(PeerMessage.Gossip gossip, Instant now) {
    Map<String, Member> members = new HashMap<>(byId);
    final Map<String, RegionDigest> digests = new HashMap<>(digestByOriginator);
    Map<String, Heartbeat> heartbeats = new HashMap<>();
    gossip.heartbeats().forEach(heartbeat -> heartbeats.put(heartbeat.nodeId(), heartbeat));
    applyMemberInfo(gossip.sender(), heartbeats, members, now);
    gossip.memberInfos().forEach(i -> applyMemberInfo(i, heartbeats, members, now));
    heartbeats.values().forEach(heartbeat -> applyHeartbeat(heartbeat, members, now));
    gossip.digests().forEach(d -> applyDigest(d, digests, members, now));
    recordRemoteSender(gossip.sender(), heartbeats, members, now);
    boolean hasUnknownMembers =
        heartbeats.values().stream().anyMatch(heartbeat -> isUnknown(heartbeat, members));
    return new MemberTable(self, interval, members, tombstones, digests, hasUnknownMembers);
  }

  private boolean isUnknown(Heartbeat heartbeat, Map<String, Member> members) {
    Tombstone tombstone = tombstones.get(heartbeat.nodeId());
    boolean tombstoned = tombstone != null && !heartbeat.newerThan(tombstone.heartbeat());
    return !members.containsKey(heartbeat.nodeId())
        && !heartbeat.nodeId().equals(self.nodeId())
        && !tombstoned;
  }

  /**
   * Returns whether the last gossip message had a heartbeat of a member that is not in the table.
   */
  public boolean hasUnknownMembers() {
    return hasUnknownMembers;
  }

  /** Returns whether this daemon tracks the heartbeats of a member itself. */
  private boolean tracks(MemberInfo info) {
    return info.region().equals(self.region()) || info.role().equals(MemberInfo.CONTROL);
  }

  /**
   * Records a sender from another region as a contact there; it is removed if no more of its gossip
   * or digests that name it arrive.
   */
  private void recordRemoteSender(
      MemberInfo sender,
      Map<String, Heartbeat> heartbeats,
      Map<String, Member> members,
      Instant now) {
    Heartbeat heartbeat = heartbeats.get(sender.nodeId());
    if (heartbeat == null || heartbeat.draining() || tracks(sender)) {
      return;
    }
    Map<String, Integer> freeSlots =
        members.values().stream()
            .filter(m -> m.info().region().equals(sender.region()))
            .map(Member::freeSlotsByModel)
            .findFirst()
            .orElse(Map.of());
    members.put(sender.nodeId(), new Member(sender, heartbeat, now, freeSlots));
  }

  private void applyMemberInfo(
      MemberInfo info,
      Map<String, Heartbeat> heartbeats,
      Map<String, Member> members,
      Instant now) {
    Heartbeat heartbeat = heartbeats.get(info.nodeId());
    if (heartbeat == null || info.nodeId().equals(self.nodeId()) || !tracks(info)) {
      return;
    }
    Member recorded = members.get(info.nodeId());
    boolean newer = recorded == null || info.incarnation() > recorded.info().incarnation();
    Tombstone tombstone = tombstones.get(info.nodeId());
    boolean tombstoned = tombstone != null && !heartbeat.newerThan(tombstone.heartbeat());
    if (newer && !tombstoned && heartbeat.incarnation() == info.incarnation()) {
      members.put(info.nodeId(), new Member(info, heartbeat, now, Map.of()));
    }
  }

  private static void applyHeartbeat(
      Heartbeat heartbeat, Map<String, Member> members, Instant now) {
    Member recorded = members.get(heartbeat.nodeId());
    boolean sameIncarnation =
        recorded != null && recorded.info().incarnation() == heartbeat.incarnation();
    if (sameIncarnation && heartbeat.newerThan(recorded.heartbeat())) {
      members.put(
          heartbeat.nodeId(),
          new Member(recorded.info(), heartbeat, now, recorded.freeSlotsByModel()));
    }
  }

  /** Applies a digest of another region if it is newer: its free capacity and its contacts. */
  private void applyDigest(
      RegionDigest digest,
      Map<String, RegionDigest> digests,
      Map<String, Member> members,
      Instant now) {
    RegionDigest recorded = digests.get(digest.originator());
    boolean stale = recorded != null && recorded.sequence() >= digest.sequence();
    if (stale || digest.region().equals(self.region())) {
      return;
    }
    digests.put(digest.originator(), digest);
    members.replaceAll(
        (id, m) ->
            m.info().region().equals(digest.region())
                ? new Member(m.info(), m.heartbeat(), m.lastSeenAt(), digest.freeSlotsByModel())
                : m);
    for (MemberInfo contact : digest.contacts()) {
      if (!tracks(contact)) {
        // A digest reports that a contact is alive, but not its heartbeat counter. A counter other
        // than 0 could supersede the contact's own heartbeats at the daemons it is relayed to.
        Heartbeat heartbeat = new Heartbeat(contact.nodeId(), contact.incarnation(), 0, false);
        members.put(
            contact.nodeId(), new Member(contact, heartbeat, now, digest.freeSlotsByModel()));
      }
    }
  }

  /** Returns the table with the given time as the last-seen time of every member. */
  public MemberTable withAllSeenAt(Instant now) {
    Map<String, Member> members = new HashMap<>();
    byId.forEach(
        (id, m) -> members.put(id, new Member(m.info(), m.heartbeat(), now, m.freeSlotsByModel())));
    return new MemberTable(
        self, interval, members, tombstones, digestByOriginator, hasUnknownMembers);
  }

  /** Returns the table without the members whose removal timeout has expired. */
  public MemberTable withoutDead(Instant now) {
    Map<String, Member> members = new HashMap<>(byId);
    Map<String, Tombstone> newTombstones = new HashMap<>(tombstones);
    newTombstones.values().removeIf(t -> now.isAfter(t.expiresAt()));
    Instant expiresAt = now.plus(suspicionTimeout().multipliedBy(TOMBSTONE_TTL_SUSPICION_TIMEOUTS));
    for (Member m : byId.values()) {
      if (status(m, now) == MemberStatus.DEAD) {
        members.remove(m.info().nodeId());
        newTombstones.put(m.info().nodeId(), new Tombstone(m.heartbeat(), expiresAt));
      }
    }
    boolean unchanged = members.size() == byId.size() && newTombstones.size() == tombstones.size();
    return unchanged
        ? this
        : new MemberTable(
            self, interval, members, newTombstones, digestByOriginator, hasUnknownMembers);
  }

  /**
   * Returns the suspicion timeout in gossip intervals, given the number of members whose heartbeats
   * are tracked.
   */
  public static int suspicionTimeoutIntervals(int members) {
    return 3 + (int) Math.ceil(2 * Math.log(Math.max(1, members)) / Math.log(2));
  }

  private Duration suspicionTimeout() {
    return interval.multipliedBy(suspicionTimeoutIntervals(trackedCount + 1));
  }

  /** Returns the status of a member at the given time. */
  public MemberStatus status(Member member, Instant now) {
    Duration elapsed = Duration.between(member.lastSeenAt(), now);
    if (!tracks(member.info())) {
      elapsed = elapsed.dividedBy(OTHER_REGION_TIMEOUT_FACTOR);
    }
    if (elapsed.compareTo(suspicionTimeout()) < 0) {
      return MemberStatus.ALIVE;
    }
    return elapsed.compareTo(suspicionTimeout().multipliedBy(2)) < 0
        ? MemberStatus.SUSPECT
        : MemberStatus.DEAD;
  }

  /** Returns all members of any status, ordered by node id. */
  public Collection<Member> all() {
    return byId.values();
  }

  /** Returns the members whose heartbeats this daemon tracks: its region and the control group. */
  public List<Member> trackedMembers() {
    return byId.values().stream().filter(m -> tracks(m.info())).collect(Collectors.toList());
  }

  /** Returns the latest digest of each other region. */
  public Collection<RegionDigest> digests() {
    Map<String, RegionDigest> newest = new TreeMap<>();
    digestByOriginator
        .values()
        .forEach(d -> newest.merge(d.region(), d, (a, b) -> a.sequence() >= b.sequence() ? a : b));
    return newest.values();
  }

  /** Returns the member with this node id, if it is in the table. */
  public Optional<Member> get(String nodeId) {
    return Optional.ofNullable(byId.get(nodeId));
  }

  /** Returns the alive members of a role in a region that are not draining, ordered by node id. */
  public List<Member> alive(String role, String region, Instant now) {
    return membersOf(role, region).stream()
        .filter(m -> !m.draining() && status(m, now) == MemberStatus.ALIVE)
        .collect(Collectors.toList());
  }

  /**
   * Returns the members of a role in a region, including suspect and draining ones, ordered by node
   * id. If the region is null, members of all regions are included.
   */
  public List<Member> membersOf(String role, String region) {
    return byId.values().stream()
        .filter(m -> m.info().role().equals(role))
        .filter(m -> region == null || m.info().region().equals(region))
        .sorted(Comparator.comparing(m -> m.info().nodeId()))
        .collect(Collectors.toList());
  }
}
