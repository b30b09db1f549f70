package org.lacewingcroft.peer;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.lacewingcroft.membership.Gossiper;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.membership.MemberTable;

/**
 * The membership of one daemon: sends the messages that its {@link Gossiper} selects in every
 * gossip interval, and records received gossip in an immutable {@link MemberTable} behind an {@link
 * AtomicReference}.
 */
public final class Membership {
  private static final System.Logger LOG = System.getLogger(Membership.class.getName());

  private final MemberInfo self;
  private final PeerTransport transport;
  private final InstantSource clock;
  private final Gossiper gossiper;
  private final Random random = new Random();
  private final Duration interval;
  private final AtomicReference<Optional<Instant>> firstGossipAt =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<Instant>> lastRoundAt =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<MemberTable> table;

  /**
   * Creates the membership of one daemon.
   *
   * @param self the description of this daemon
   * @param seeds peer addresses to gossip to before any member is known
   * @param transport the peer transport
   * @param clock the time source
   * @param interval the gossip interval
   */
  public Membership(
      MemberInfo self,
      List<String> seeds,
      PeerTransport transport,
      InstantSource clock,
      Duration interval) {
    this.self = self;
    this.transport = transport;
    this.clock = clock;
    this.interval = interval;
    this.gossiper = new Gossiper(self, seeds, random);
    this.table = new AtomicReference<>(new MemberTable(self, interval));
  }

  /** Returns this daemon's description. */
  public MemberInfo self() {
    return self;
  }

  /** Returns the current table. */
  public MemberTable table() {
    return table.get();
  }

  /**
   * Records gossip received from a peer, and replies to a peer that requests members of its region.
   *
   * @param configVersion the configuration version that is active on this daemon
   */
  public void onGossip(PeerMessage.Gossip gossip, long configVersion) {
    MemberTable current = table.updateAndGet(t -> t.withGossip(gossip, clock.instant()));
    firstGossipAt.updateAndGet(recorded -> recorded.or(() -> Optional.of(clock.instant())));
    gossiper
        .respond(gossip, configVersion, current)
        .ifPresent(reply -> transport.send(reply.address(), reply.gossip()));
  }

  /**
   * Returns whether this daemon has exchanged gossip without interruption for long enough to know
   * the members of its region. Until then it must not act as if the members in its table were all,
   * for example by admitting keys that another entry owns.
   */
  public boolean converged() {
    return !isStalled()
        && firstGossipAt
            .get()
            .filter(first -> !first.plus(suspicionTimeout()).isAfter(clock.instant()))
            .isPresent();
  }

  /**
   * Returns whether this daemon has sent no gossip for so long that others suspect it, such as when
   * its instance was frozen.
   */
  private boolean isStalled() {
    return lastRoundAt
        .get()
        .filter(at -> at.plus(suspicionTimeout()).isBefore(clock.instant()))
        .isPresent();
  }

  private Duration suspicionTimeout() {
    return interval.multipliedBy(
        MemberTable.suspicionTimeoutIntervals(table().trackedMembers().size() + 1));
  }

  /** Sends this interval's gossip. */
  public void sendRound(Gossiper.SelfReport report) {
    if (isStalled()) {
      resetAfterStall();
    }
    lastRoundAt.set(Optional.of(clock.instant()));
    MemberTable current = table.updateAndGet(t -> t.withoutDead(clock.instant()));
    for (Gossiper.Outgoing message : gossiper.nextMessages(report, current, clock.instant())) {
      transport.send(message.address(), message.gossip());
    }
  }

  /**
   * Restarts failure detection after a stall: the time without heartbeats of every other member is
   * measured from now on, and this daemon has to converge again.
   */
  private void resetAfterStall() {
    LOG.log(System.Logger.Level.WARNING, "membership.broke_off", "node", self.nodeId());
    firstGossipAt.set(Optional.empty());
    table.updateAndGet(t -> t.withAllSeenAt(clock.instant()));
  }

  /** Returns the peer address of a member, or empty if it is unknown. */
  public Optional<String> addressOf(String nodeId) {
    return table.get().get(nodeId).map(m -> m.info().peerAddress());
  }

  /** Returns the region of the member with a peer address, or empty if it is unknown. */
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

  /** Sends a message to the known entries of this daemon's region. */
  public void sendToRegionEntries(PeerMessage message) {
    for (Member m : table.get().membersOf(MemberInfo.ENTRY, self.region())) {
      transport.send(m.info().peerAddress(), message);
    }
  }

  /**
   * Spreads a message by gossip: sends it to {@link Gossiper#FANOUT} random members of the region
   * and, optionally, to one random member of each other region.
   *
   * @param acrossRegions whether to send the message to other regions too
   */
  public void sendToRandomMembers(PeerMessage message, boolean acrossRegions) {
    List<Member> inRegion = new ArrayList<>();
    List<Member> inOtherRegions = new ArrayList<>();
    table
        .get()
        .all()
        .forEach(m -> (m.info().region().equals(self.region()) ? inRegion : inOtherRegions).add(m));
    Collections.shuffle(inRegion, random);
    inRegion.stream()
        .limit(Gossiper.FANOUT)
        .forEach(m -> transport.send(m.info().peerAddress(), message));
    if (acrossRegions) {
      List<String> reachedRegions = new ArrayList<>();
      Collections.shuffle(inOtherRegions, random);
      for (Member m : inOtherRegions) {
        if (!reachedRegions.contains(m.info().region())) {
          reachedRegions.add(m.info().region());
          transport.send(m.info().peerAddress(), message);
        }
      }
    }
  }
}
