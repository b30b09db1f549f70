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
 * The membership of one daemon: gossips in every interval as its {@link Gossiper} decides, and
 * keeps what it hears as an immutable {@link MemberTable} behind an {@link AtomicReference}.
 */
public final class Membership {
  private static final System.Logger LOG = System.getLogger(Membership.class.getName());

  private final MemberInfo self;
  private final PeerTransport transport;
  private final InstantSource clock;
  private final Gossiper gossiper;
  private final Random random = new Random();
  private final Duration interval;
  private final AtomicReference<Optional<Instant>> firstHeardAt =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<Instant>> lastBeatAt =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<MemberTable> table;

  /**
   * Creates the membership of one daemon.
   *
   * @param self how this daemon describes itself
   * @param seeds peer addresses to gossip to before anything is known
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
   * Records gossip received from a peer, and answers one that looks for members of its region.
   *
   * @param configVersion the version in force here
   */
  public void onGossip(PeerMessage.Gossip gossip, long configVersion) {
    MemberTable current = table.updateAndGet(t -> t.withGossip(gossip, clock.instant()));
    firstHeardAt.updateAndGet(seen -> seen.or(() -> Optional.of(clock.instant())));
    gossiper
        .respond(gossip, configVersion, current)
        .ifPresent(answer -> transport.send(answer.address(), answer.gossip()));
  }

  /**
   * Returns whether this daemon has taken part without a break for long enough to know its region's
   * members. Until then it must not take itself for the only one responsible for anything.
   */
  public boolean converged() {
    return !brokeOff()
        && firstHeardAt
            .get()
            .filter(first -> !first.plus(suspicionTime()).isAfter(clock.instant()))
            .isPresent();
  }

  /**
   * Returns whether this daemon has not run for so long that others suspect it, as when its
   * instance is frozen.
   */
  private boolean brokeOff() {
    return lastBeatAt
        .get()
        .filter(at -> at.plus(suspicionTime()).isBefore(clock.instant()))
        .isPresent();
  }

  private Duration suspicionTime() {
    return interval.multipliedBy(MemberTable.suspicionTimeoutIntervals(table().trackedMembers().size() + 1));
  }

  /** Sends this interval's gossip. */
  public void beat(Gossiper.SelfReport report) {
    if (brokeOff()) {
      startAnew();
    }
    lastBeatAt.set(Optional.of(clock.instant()));
    MemberTable current = table.updateAndGet(t -> t.withoutDead(clock.instant()));
    for (Gossiper.Outgoing message : gossiper.nextMessages(report, current, clock.instant())) {
      transport.send(message.address(), message.gossip());
    }
  }

  /** After a break, judges the others' silence from now on and settles again. */
  private void startAnew() {
    LOG.log(System.Logger.Level.WARNING, "membership.broke_off", "node", self.nodeId());
    firstHeardAt.set(Optional.empty());
    table.updateAndGet(t -> t.withAllSeenAt(clock.instant()));
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

  /** Sends a message to the entries known in this daemon's region. */
  public void sendToRegionEntries(PeerMessage message) {
    for (Member m : table.get().membersOf(MemberInfo.ENTRY, self.region())) {
      transport.send(m.info().peerAddress(), message);
    }
  }

  /**
   * Spreads a message as a rumour: to a few random members of the region, and to one contact of
   * each other region if asked to.
   *
   * @param acrossRegions whether other regions are told too
   */
  public void sendToRandomMembers(PeerMessage message, boolean acrossRegions) {
    List<Member> inRegion = new ArrayList<>();
    List<Member> elsewhere = new ArrayList<>();
    table
        .get()
        .all()
        .forEach(m -> (m.info().region().equals(self.region()) ? inRegion : elsewhere).add(m));
    Collections.shuffle(inRegion, random);
    inRegion.stream()
        .limit(Gossiper.FANOUT)
        .forEach(m -> transport.send(m.info().peerAddress(), message));
    if (acrossRegions) {
      List<String> told = new ArrayList<>();
      Collections.shuffle(elsewhere, random);
      for (Member m : elsewhere) {
        if (!told.contains(m.info().region())) {
          told.add(m.info().region());
          transport.send(m.info().peerAddress(), message);
        }
      }
    }
  }
}
