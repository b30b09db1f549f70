package org.lacewingcroft.peer;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.membership.MemberTable;

/**
 * Heartbeat membership: every interval this daemon sends a {@link PeerMessage.Heartbeat} to each
 * member it knows and to its seeds; each heartbeat names up to {@link #GOSSIP_FANOUT} other
 * members, so daemons discover each other from one seed.
 *
 * <p>The table is an immutable {@link MemberTable} behind an {@link AtomicReference}.
 */
public final class Membership {
  /** How many known members a heartbeat names. */
  public static final int GOSSIP_FANOUT = 8;

  private final MemberInfo self;
  private final List<String> seeds;
  private final PeerTransport transport;
  private final InstantSource clock;
  private final AtomicReference<MemberTable> table;

  /**
   * Creates the membership of one daemon.
   *
   * @param self how this daemon describes itself
   * @param seeds peer addresses to heartbeat before anything is known
   * @param transport the peer transport
   * @param clock the time source
   * @param heartbeatInterval the heartbeat interval; suspicion after 3, removal after 10
   */
  public Membership(
      MemberInfo self,
      List<String> seeds,
      PeerTransport transport,
      InstantSource clock,
      Duration heartbeatInterval) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.transport = transport;
    this.clock = clock;
    this.table =
        new AtomicReference<>(
            new MemberTable(heartbeatInterval.multipliedBy(3), heartbeatInterval.multipliedBy(10)));
  }

  /** Returns this daemon's description. */
  public MemberInfo self() {
    return self;
  }

  /** Returns the current table. */
  public MemberTable table() {
    return table.get();
  }

  /** Records a heartbeat received from a peer. */
  public void onHeartbeat(PeerMessage.Heartbeat heartbeat) {
    if (heartbeat.sender().nodeId().equals(self.nodeId())) {
      return;
    }
    table.updateAndGet(t -> t.heard(heartbeat, clock.instant(), self.nodeId()));
  }

  /**
   * Sends one round of heartbeats.
   *
   * @param leaving whether this daemon shuts down gracefully
   * @param configVersion the version in force here
   * @param freeSlots this region's free capacity by model, as this daemon sees it
   */
  public void beat(boolean leaving, long configVersion, Map<String, Integer> freeSlots) {
    MemberTable t = table.updateAndGet(x -> x.withoutDead(clock.instant()));
    List<MemberInfo> known =
        t.all().stream().map(Member::info).collect(Collectors.toCollection(ArrayList::new));
    Collections.shuffle(known);
    List<MemberInfo> gossip = known.subList(0, Math.min(GOSSIP_FANOUT, known.size()));
    PeerMessage.Heartbeat heartbeat =
        new PeerMessage.Heartbeat(self, leaving, configVersion, freeSlots, gossip);
    Set<String> targets = new HashSet<>(seeds);
    for (MemberInfo m : known) {
      targets.add(m.peerAddress());
    }
    targets.remove(self.peerAddress());
    for (String address : targets) {
      transport.send(address, heartbeat);
    }
  }

  /** Returns the peer address of a member, if it is known. */
  public Optional<String> addressOf(String nodeId) {
    return table.get().get(nodeId).map(m -> m.info().peerAddress());
  }

  /** Returns the region of the member that listens on a peer address, if it is known. */
  public Optional<String> regionOf(String peerAddress) {
    return table.get().all().stream()
        .map(Member::info)
        .filter(m -> m.peerAddress().equals(peerAddress))
        .map(MemberInfo::region)
        .findFirst();
  }

  /** Sends a message to one peer address. */
  public void send(String peerAddress, PeerMessage message) {
    transport.send(peerAddress, message);
  }

  /** Sends a message to every known member of the given role, or all members if role is null. */
  public void broadcast(String role, String region, PeerMessage message) {
    for (Member m : table.get().all()) {
      boolean roleMatches = role == null || m.info().role().equals(role);
      boolean regionMatches = region == null || m.info().region().equals(region);
      if (roleMatches && regionMatches) {
        transport.send(m.info().peerAddress(), message);
      }
    }
  }
}
