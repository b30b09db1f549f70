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
 * An immutable table of the daemons one daemon knows, fed by gossip.
 *
 * <p>A member is {@link MemberStatus#ALIVE} while its counter has risen within {@link
 * #suspicionTimeoutIntervals}, which allows for the time gossip takes in a region of this size; then {@link
 * MemberStatus#SUSPECT} for as long again, then removed. What was known of a removed member is kept
 * for a while, so that a peer that still passes on its old counter does not bring it back.
 */
public final class MemberTable {
  /** How many times longer entries of other regions may be silent; digests travel slowly. */
  public static final int OTHER_REGION_PATIENCE = 4;

  private static final int TOMBSTONE_SUSPICIONS = 20;

  private record Tombstone(Heartbeat liveness, Instant until) {}

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
   * @param self the daemon whose table it is; it is not in the table itself
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

  /** Returns the table after a gossip message. */
  public MemberTable withGossip(PeerMessage.Gossip gossip, Instant now) {
    Map<String, Member> members = new HashMap<>(byId);
    final Map<String, RegionDigest> digests = new HashMap<>(digestByOriginator);
    Map<String, Heartbeat> signs = new HashMap<>();
    gossip.heartbeats().forEach(s -> signs.put(s.nodeId(), s));
    introduce(gossip.sender(), signs, members, now);
    gossip.memberInfos().forEach(i -> introduce(i, signs, members, now));
    signs.values().forEach(s -> advance(s, members, now));
    gossip.digests().forEach(d -> takeDigest(d, digests, members, now));
    meet(gossip.sender(), signs, members, now);
    boolean missing = signs.values().stream().anyMatch(s -> isUnknown(s, members));
    return new MemberTable(self, interval, members, tombstones, digests, missing);
  }

  private boolean isUnknown(Heartbeat sign, Map<String, Member> members) {
    Tombstone tombstone = tombstones.get(sign.nodeId());
    boolean buried = tombstone != null && !sign.newerThan(tombstone.liveness());
    return !members.containsKey(sign.nodeId()) && !sign.nodeId().equals(self.nodeId()) && !buried;
  }

  /** Returns whether the last gossip gave a sign of life of a member this daemon does not know. */
  public boolean incomplete() {
    return incomplete;
  }

  /** Returns whether this daemon follows the signs of life of a member itself. */
  private boolean follows(MemberInfo info) {
    return info.region().equals(self.region()) || info.role().equals(MemberInfo.CONTROL);
  }

  /** Keeps a sender of another region as a contact there, while it is heard of. */
  private void meet(
      MemberInfo sender, Map<String, Heartbeat> signs, Map<String, Member> members, Instant now) {
    Heartbeat sign = signs.get(sender.nodeId());
    if (sign == null || sign.draining() || follows(sender)) {
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
      MemberInfo info, Map<String, Heartbeat> signs, Map<String, Member> members, Instant now) {
    Heartbeat sign = signs.get(info.nodeId());
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

  private static void advance(Heartbeat sign, Map<String, Member> members, Instant now) {
    Member known = members.get(sign.nodeId());
    boolean sameRun = known != null && known.info().incarnation() == sign.incarnation();
    if (sameRun && sign.newerThan(known.liveness())) {
      members.put(sign.nodeId(), new Member(known.info(), sign, now, known.freeSlotsByModel()));
    }
  }

  /** Takes over a newer digest of another region: its free capacity and its contacts. */
  private void takeDigest(
      RegionDigest digest,
      Map<String, RegionDigest> digests,
      Map<String, Member> members,
      Instant now) {
    RegionDigest held = digests.get(digest.originator());
    boolean stale = held != null && held.sequence() >= digest.sequence();
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
        // A digest says that a contact lives, but not by which counter: one made up here would
        // outrank the contact's own signs of life wherever it is passed on.
        Heartbeat sign = new Heartbeat(contact.nodeId(), contact.incarnation(), 0, false);
        members.put(contact.nodeId(), new Member(contact, sign, now, digest.freeSlotsByModel()));
      }
    }
  }

  /** Returns the table with every member's silence counted from the given time on. */
  public MemberTable withAllSeenAt(Instant now) {
    Map<String, Member> members = new HashMap<>();
    byId.forEach(
        (id, m) -> members.put(id, new Member(m.info(), m.liveness(), now, m.freeSlotsByModel())));
    return new MemberTable(self, interval, members, tombstones, digestByOriginator, incomplete);
  }

  /** Returns the table without members silent for longer than the removal timeout. */
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

  /** Returns after how many intervals of silence a member of a region of this size is suspect. */
  public static int suspicionTimeoutIntervals(int members) {
    return 3 + (int) Math.ceil(2 * Math.log(Math.max(1, members)) / Math.log(2));
  }

  private Duration suspectAfter() {
    return interval.multipliedBy(suspicionTimeoutIntervals(followedCount + 1));
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

  /** Returns every member, whatever its status, by node id. */
  public Collection<Member> all() {
    return byId.values();
  }

  /**
   * Returns the members whose signs of life this daemon follows: its region and the control group.
   */
  public List<Member> trackedMembers() {
    return byId.values().stream().filter(m -> follows(m.info())).collect(Collectors.toList());
  }

  /** Returns the newest digest of each other region. */
  public Collection<RegionDigest> digests() {
    Map<String, RegionDigest> newest = new TreeMap<>();
    digestByOriginator
        .values()
        .forEach(d -> newest.merge(d.region(), d, (a, b) -> a.sequence() >= b.sequence() ? a : b));
    return newest.values();
  }

  /** Returns the member with this id, if known. */
  public Optional<Member> get(String nodeId) {
    return Optional.ofNullable(byId.get(nodeId));
  }

  /** Returns the alive members of a role in a region that are not leaving, ordered by node id. */
  public List<Member> alive(String role, String region, Instant now) {
    return membersOf(role, region).stream()
        .filter(m -> !m.leaving() && status(m, now) == MemberStatus.ALIVE)
        .collect(Collectors.toList());
  }

  /** Returns the members of a role in a region, suspect and leaving ones too, by node id. */
  public List<Member> membersOf(String role, String region) {
    return byId.values().stream()
        .filter(m -> m.info().role().equals(role))
        .filter(m -> region == null || m.info().region().equals(region))
        .sorted(Comparator.comparing(m -> m.info().nodeId()))
        .collect(Collectors.toList());
  }
}
