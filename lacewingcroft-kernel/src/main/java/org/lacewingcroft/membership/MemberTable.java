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
 * <p>A member is {@link MemberStatus#ALIVE} while its heartbeat counter has increased within {@link #suspicionTimeoutIntervals}, which allows for the propagation time of gossip in a region of this size; then it is {@link MemberStatus#SUSPECT} for the same time again, and then it is removed. The last heartbeat of a removed member is retained for some time as a tombstone, so that a peer that still relays its old counter does not restore it.
 */
public final class MemberTable {
  /**
   * Factor by which the timeouts of entries of other regions are longer, since digests propagate slowly.
   */
  public static final int OTHER_REGION_PATIENCE = 4;

  private static final int TOMBSTONE_SUSPICIONS = 20;

  private record Tombstone(Liveness liveness, Instant until) {}

  private final MemberInfo self;
  private final Duration interval;
  private final Map<String, Member> byId;
  private final Map<String, Tombstone> tombstones;
  private final Map<String, RegionDigest> digestByOriginator;
  private final boolean incomplete;
  private final int followedCount;

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
      boolean incomplete) {
    this.self = self;
    this.interval = interval;
    this.byId = Collections.unmodifiableMap(new TreeMap<>(byId));
    this.followedCount = (int) byId.values().stream().filter(m -> follows(m.info())).count();
    this.tombstones = Map.copyOf(tombstones);
    this.digestByOriginator = Collections.unmodifiableMap(new TreeMap<>(digestByOriginator));
    this.incomplete = incomplete;
  }

  /**
   * Returns the table updated by a gossip message.
   */
  public MemberTable heard(PeerMessage.Gossip gossip, Instant now) {
    Map<String, Member> members = new HashMap<>(byId);
    final Map<String, RegionDigest> digests = new HashMap<>(digestByOriginator);
    Map<String, Liveness> signs = new HashMap<>();
    gossip.signs().forEach(s -> signs.put(s.nodeId(), s));
    introduce(gossip.sender(), signs, members, now);
    gossip.introductions().forEach(i -> introduce(i, signs, members, now));
    signs.values().forEach(s -> advance(s, members, now));
    gossip.digests().forEach(d -> takeDigest(d, digests, members, now));
    meet(gossip.sender(), signs, members, now);
    boolean missing = signs.values().stream().anyMatch(s -> isUnknown(s, members));
    return new MemberTable(self, interval, members, tombstones, digests, missing);
  }

  private boolean isUnknown(Liveness sign, Map<String, Member> members) {
    Tombstone tombstone = tombstones.get(sign.nodeId());
    boolean buried = tombstone != null && !sign.newerThan(tombstone.liveness());
    return !members.containsKey(sign.nodeId()) && !sign.nodeId().equals(self.nodeId()) && !buried;
  }

  /**
   * Returns whether the last gossip message had a heartbeat of a member that is not in the table.
   */
  public boolean incomplete() {
    return incomplete;
  }

  /**
   * Returns whether this daemon tracks the heartbeats of a member itself.
   */
  private boolean follows(MemberInfo info) {
    return info.region().equals(self.region()) || info.role().equals(MemberInfo.CONTROL);
  }

  /**
   * Records a sender from another region as a contact there; it is removed if no more of its gossip or digests that name it arrive.
   */
  private void meet(
      MemberInfo sender, Map<String, Liveness> signs, Map<String, Member> members, Instant now) {
    Liveness sign = signs.get(sender.nodeId());
    if (sign == null || sign.leaving() || follows(sender)) {
      return;
    }
    Map<String, Integer> freeSlots =
        members.values().stream()
            .filter(m -> m.info().region().equals(sender.region()))
            .map(Member::freeSlotsByModel)
            .findFirst()
            .orElse(Map.of());
    members.put(sender.nodeId(), new Member(sender, sign, now, freeSlots));
  }

  private void introduce(
      MemberInfo info, Map<String, Liveness> signs, Map<String, Member> members, Instant now) {
    Liveness sign = signs.get(info.nodeId());
    if (sign == null || info.nodeId().equals(self.nodeId()) || !follows(info)) {
      return;
    }
    Member known = members.get(info.nodeId());
    boolean news = known == null || info.incarnation() > known.info().incarnation();
    Tombstone tombstone = tombstones.get(info.nodeId());
    boolean buried = tombstone != null && !sign.newerThan(tombstone.liveness());
    if (news && !buried && sign.incarnation() == info.incarnation()) {
      members.put(info.nodeId(), new Member(info, sign, now, Map.of()));
    }
  }

  private static void advance(Liveness sign, Map<String, Member> members, Instant now) {
    Member known = members.get(sign.nodeId());
    boolean sameRun = known != null && known.info().incarnation() == sign.incarnation();
    if (sameRun && sign.newerThan(known.liveness())) {
      members.put(sign.nodeId(), new Member(known.info(), sign, now, known.freeSlotsByModel()));
    }
  }

  /**
   * Applies a digest of another region if it is newer: its free capacity and its contacts.
   */
  private void takeDigest(
      RegionDigest digest,
      Map<String, RegionDigest> digests,
      Map<String, Member> members,
      Instant now) {
    RegionDigest held = digests.get(digest.originator());
    boolean stale = held != null && held.stamp() >= digest.stamp();
    if (stale || digest.region().equals(self.region())) {
      return;
    }
    digests.put(digest.originator(), digest);
    members.replaceAll(
        (id, m) ->
            m.info().region().equals(digest.region())
                ? new Member(m.info(), m.liveness(), m.lastSeenAt(), digest.freeSlotsByModel())
                : m);
    for (MemberInfo contact : digest.contacts()) {
      if (!follows(contact)) {
        // A digest reports that a contact is alive, but not its heartbeat counter. A counter other
        // than 0 could supersede the contact's own heartbeats at the daemons it is relayed to.
        Liveness sign = new Liveness(contact.nodeId(), contact.incarnation(), 0, false);
        members.put(contact.nodeId(), new Member(contact, sign, now, digest.freeSlotsByModel()));
      }
    }
  }

  /**
   * Returns the table with the given time as the last-seen time of every member.
   */
  public MemberTable allHeardAt(Instant now) {
    Map<String, Member> members = new HashMap<>();
    byId.forEach(
        (id, m) -> members.put(id, new Member(m.info(), m.liveness(), now, m.freeSlotsByModel())));
    return new MemberTable(self, interval, members, tombstones, digestByOriginator, incomplete);
  }

  /**
   * Returns the table without the members whose removal timeout has expired.
   */
  public MemberTable withoutDead(Instant now) {
    Map<String, Member> members = new HashMap<>(byId);
    Map<String, Tombstone> graves = new HashMap<>(tombstones);
    graves.values().removeIf(t -> now.isAfter(t.until()));
    Instant graveUntil = now.plus(suspectAfter().multipliedBy(TOMBSTONE_SUSPICIONS));
    for (Member m : byId.values()) {
      if (status(m, now) == MemberStatus.DEAD) {
        members.remove(m.info().nodeId());
        graves.put(m.info().nodeId(), new Tombstone(m.liveness(), graveUntil));
      }
    }
    boolean unchanged = members.size() == byId.size() && graves.size() == tombstones.size();
    return unchanged
        ? this
        : new MemberTable(self, interval, members, graves, digestByOriginator, incomplete);
  }

  /**
   * Returns the suspicion timeout in gossip intervals, given the number of members whose heartbeats are tracked.
   */
  public static int suspectIntervals(int members) {
    return 3 + (int) Math.ceil(2 * Math.log(Math.max(1, members)) / Math.log(2));
  }

  private Duration suspectAfter() {
    return interval.multipliedBy(suspectIntervals(followedCount + 1));
  }

  /** Returns the status of a member at the given time. */
  public MemberStatus status(Member member, Instant now) {
    Duration silence = Duration.between(member.lastSeenAt(), now);
    if (!follows(member.info())) {
      silence = silence.dividedBy(OTHER_REGION_PATIENCE);
    }
    if (silence.compareTo(suspectAfter()) < 0) {
      return MemberStatus.ALIVE;
    }
    return silence.compareTo(suspectAfter().multipliedBy(2)) < 0
        ? MemberStatus.SUSPECT
        : MemberStatus.DEAD;
  }

  /**
   * Returns all members of any status, ordered by node id.
   */
  public Collection<Member> all() {
    return byId.values();
  }

  /**
   * Returns the members whose heartbeats this daemon tracks: its region and the control group.
   */
  public List<Member> followed() {
    return byId.values().stream().filter(m -> follows(m.info())).collect(Collectors.toList());
  }

  /**
   * Returns the latest digest of each other region.
   */
  public Collection<RegionDigest> digests() {
    Map<String, RegionDigest> newest = new TreeMap<>();
    digestByOriginator
        .values()
        .forEach(d -> newest.merge(d.region(), d, (a, b) -> a.stamp() >= b.stamp() ? a : b));
    return newest.values();
  }

  /**
   * Returns the member with this node id, if it is in the table.
   */
  public Optional<Member> get(String nodeId) {
    return Optional.ofNullable(byId.get(nodeId));
  }

  /**
   * Returns the alive members of a role in a region that are not draining, ordered by node id.
   */
  public List<Member> alive(String role, String region, Instant now) {
    return known(role, region).stream()
        .filter(m -> !m.leaving() && status(m, now) == MemberStatus.ALIVE)
        .collect(Collectors.toList());
  }

  /**
   * Returns the members of a role in a region, including suspect and draining ones, ordered by node id. If the region is null, members of all regions are included.
   */
  public List<Member> known(String role, String region) {
    return byId.values().stream()
        .filter(m -> m.info().role().equals(role))
        .filter(m -> region == null || m.info().region().equals(region))
        .sorted(Comparator.comparing(m -> m.info().nodeId()))
        .collect(Collectors.toList());
  }
}
