package org.lacewingcroft.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.PeerMessage;

/**
 * An immutable table of the daemons one daemon knows, fed by heartbeats and gossip.
 *
 * <p>A member is {@link MemberStatus#ALIVE} while heard from within {@code suspectAfter}, then
 * {@link MemberStatus#SUSPECT} until {@code removeAfter}, then removed. A heartbeat from an older
 * incarnation of a node id than the one known is ignored, so a restarted daemon cannot be mistaken
 * for its predecessor.
 */
public final class MemberTable {
  private final Map<String, Member> byId;
  private final Duration suspectAfter;
  private final Duration removeAfter;

  /**
   * Creates an empty table.
   *
   * @param suspectAfter silence after which a member is suspect
   * @param removeAfter silence after which a member is removed
   */
  public MemberTable(Duration suspectAfter, Duration removeAfter) {
    this(Map.of(), suspectAfter, removeAfter);
  }

  private MemberTable(Map<String, Member> byId, Duration suspectAfter, Duration removeAfter) {
    this.byId = Map.copyOf(byId);
    this.suspectAfter = suspectAfter;
    this.removeAfter = removeAfter;
  }

  /** Returns the table after a heartbeat from a member, and the members it gossiped. */
  public MemberTable heard(PeerMessage.Heartbeat heartbeat, Instant now, String selfId) {
    Map<String, Member> next = new HashMap<>(byId);
    MemberInfo sender = heartbeat.sender();
    Member known = next.get(sender.nodeId());
    if (known == null || known.info().incarnation() <= sender.incarnation()) {
      next.put(
          sender.nodeId(),
          new Member(
              sender,
              now,
              heartbeat.leaving(),
              heartbeat.configVersion(),
              heartbeat.freeSlotsByModel()));
    }
    for (MemberInfo gossiped : heartbeat.known()) {
      if (!gossiped.nodeId().equals(selfId) && !next.containsKey(gossiped.nodeId())) {
        next.put(gossiped.nodeId(), new Member(gossiped, now, false, 0, Map.of()));
      }
    }
    return new MemberTable(next, suspectAfter, removeAfter);
  }

  /** Returns the table without members silent for longer than the removal timeout. */
  public MemberTable withoutDead(Instant now) {
    Map<String, Member> next =
        byId.values().stream()
            .filter(m -> status(m, now) != MemberStatus.DEAD)
            .collect(Collectors.toMap(m -> m.info().nodeId(), m -> m));
    return next.size() == byId.size() ? this : new MemberTable(next, suspectAfter, removeAfter);
  }

  /** Returns the status of a member at the given time. */
  public MemberStatus status(Member member, Instant now) {
    Duration silence = Duration.between(member.lastHeardAt(), now);
    if (silence.compareTo(suspectAfter) < 0) {
      return MemberStatus.ALIVE;
    }
    return silence.compareTo(removeAfter) < 0 ? MemberStatus.SUSPECT : MemberStatus.DEAD;
  }

  /** Returns every member, whatever its status. */
  public Collection<Member> all() {
    return byId.values();
  }

  /** Returns the member with this id, if known. */
  public Optional<Member> get(String nodeId) {
    return Optional.ofNullable(byId.get(nodeId));
  }

  /** Returns the alive members of a role in a region that are not leaving, ordered by node id. */
  public List<Member> alive(String role, String region, Instant now) {
    return known(role, region).stream()
        .filter(m -> !m.leaving() && status(m, now) == MemberStatus.ALIVE)
        .collect(Collectors.toList());
  }

  /** Returns the members of a role in a region, suspect and leaving ones too, by node id. */
  public List<Member> known(String role, String region) {
    return byId.values().stream()
        .filter(m -> m.info().role().equals(role))
        .filter(m -> region == null || m.info().region().equals(region))
        .sorted(Comparator.comparing(m -> m.info().nodeId()))
        .collect(Collectors.toList());
  }
}
