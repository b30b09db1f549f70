package org.lacewingcroft.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.PeerMessage;

/**
 * Decides, interval by interval, to whom one daemon gossips and what it says.
 *
 * <p>In its region a daemon sends to {@link #FANOUT} members; a sign of life reaches all in about
 * log(n) intervals, so the cost of a daemon does not grow with the number it sends to. Across
 * regions only the region's {@link #DELEGATES} speak: each tells {@link #REGION_FANOUT} other
 * regions an interval about its own, and members pass on what they know of the rest. Members that
 * started lately are introduced in full for some intervals; of the others only the freshest signs
 * of life are sent. Seeds are asked until others are known, and now and then after that, so that
 * parts that lost each other meet again.
 */
public final class Gossiper {
  /** Members of the own region gossiped to in an interval. */
  public static final int FANOUT = 2;

  /** Other regions a delegate gossips to in an interval. */
  public static final int REGION_FANOUT = 2;

  /** How many members of a region speak for it to others. */
  public static final int DELEGATES = 2;

  private static final int INTRODUCTION_ROUNDS = 8;
  private static final int SEED_EVERY = 8;
  private static final int MEMBERS_ANSWERED = 4;
  private static final int SIGNS_PER_MESSAGE = 20;
  private static final int RANDOM_INTRODUCTION_EVERY = 4;

  private final MemberInfo self;
  private final List<String> seeds;
  private final Random random;
  private long counter;
  private long stamp;

  /**
   * One message to send.
   *
   * @param address the receiver's peer address
   * @param gossip the message
   */
  public record Outgoing(String address, PeerMessage.Gossip gossip) {}

  /** What a daemon says of itself in one interval. */
  public record SelfReport(
      boolean draining, long configVersion, Map<String, Integer> freeSlotsByModel) {}

  /**
   * Creates the gossiper of one daemon.
   *
   * @param self how the daemon describes itself
   * @param seeds peer addresses asked while nobody is known
   * @param random picks receivers
   */
  public Gossiper(MemberInfo self, List<String> seeds, Random random) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.random = random;
    this.stamp = self.incarnation();
  }

  /** Returns this interval's messages. */
  public List<Outgoing> nextMessages(SelfReport report, MemberTable table, Instant now) {
    counter++;
    Set<String> receivers = new LinkedHashSet<>();
    List<Member> followed = table.trackedMembers();
    regionReceivers(followed).forEach(m -> receivers.add(m.info().peerAddress()));
    final List<RegionDigest> known = new ArrayList<>(table.digests());
    Optional<RegionDigest> own = Optional.empty();
    if (isDelegate(table, now)) {
      own = Optional.of(ownDigest(report, table, now));
      otherRegionReceivers(table, now).forEach(m -> receivers.add(m.info().peerAddress()));
    }
    Set<String> asked = new LinkedHashSet<>();
    boolean alone = followed.stream().noneMatch(this::isInRegion);
    if (!seeds.isEmpty() && (alone || counter % SEED_EVERY == 0)) {
      asked.add(seeds.get(random.nextInt(seeds.size())));
    }
    if (table.incomplete()) {
      asked.addAll(receivers);
    }
    receivers.addAll(asked);
    receivers.remove(self.peerAddress());
    List<Outgoing> outgoing = new ArrayList<>();
    for (String address : receivers) {
      Optional<RegionDigest> passedOn = pick(known, 1).stream().findFirst();
      boolean inRegion =
          passedOn.isPresent()
              && followed.stream()
                  .filter(this::isInRegion)
                  .anyMatch(m -> m.info().peerAddress().equals(address));
      Optional<RegionDigest> told = inRegion ? passedOn : own.or(() -> passedOn);
      outgoing.add(new Outgoing(address, message(report, followed, told, asked.contains(address))));
    }
    return outgoing;
  }

  private boolean isInRegion(Member m) {
    return m.info().region().equals(self.region());
  }

  /**
   * Answers a daemon that looks for members of its region with those known here.
   *
   * @return the answer, or empty if there is nothing to tell
   */
  public Optional<Outgoing> respond(
      PeerMessage.Gossip asking, long configVersion, MemberTable table) {
    MemberInfo asker = asking.sender();
    List<Member> wanted =
        pick(
            table.all().stream()
                .filter(m -> m.info().region().equals(asker.region()))
                .filter(m -> !m.info().nodeId().equals(asker.nodeId()))
                .toList(),
            MEMBERS_ANSWERED);
    if (!asking.replyRequested() || wanted.isEmpty()) {
      return Optional.empty();
    }
    List<Heartbeat> signs = new ArrayList<>();
    signs.add(new Heartbeat(self.nodeId(), self.incarnation(), counter, false));
    wanted.forEach(m -> signs.add(m.liveness()));
    List<MemberInfo> infos = wanted.stream().map(Member::info).toList();
    return Optional.of(
        new Outgoing(
            asker.peerAddress(),
            new PeerMessage.Gossip(self, configVersion, signs, infos, List.of(), false)));
  }

  /**
   * Returns the receivers in the region: the next member in the order of node ids, so that
   * everybody hears somebody in every interval, and others at random. For a control daemon the
   * other members of its group count as its region's.
   */
  private List<Member> regionReceivers(List<Member> followed) {
    List<Member> ring =
        followed.stream()
            .filter(this::isInRegion)
            .sorted(Comparator.comparing(m -> m.info().nodeId()))
            .toList();
    List<Member> receivers = new ArrayList<>();
    ring.stream()
        .filter(m -> m.info().nodeId().compareTo(self.nodeId()) > 0)
        .findFirst()
        .or(() -> ring.stream().findFirst())
        .ifPresent(receivers::add);
    List<Member> rest =
        followed.stream()
            .filter(m -> isInRegion(m) || self.role().equals(m.info().role()))
            .filter(m -> !receivers.contains(m))
            .toList();
    receivers.addAll(pick(rest, FANOUT - receivers.size()));
    return receivers;
  }

  private List<Member> otherRegionReceivers(MemberTable table, Instant now) {
    List<Member> others =
        table.all().stream()
            .filter(m -> !m.info().region().equals(self.region()))
            .filter(m -> table.status(m, now) != MemberStatus.DEAD)
            .toList();
    return pick(others, REGION_FANOUT);
  }

  private <T> List<T> pick(List<T> candidates, int count) {
    List<T> shuffled = new ArrayList<>(candidates);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, Math.min(count, shuffled.size()));
  }

  private boolean isDelegate(MemberTable table, Instant now) {
    long before =
        table.alive(self.role(), self.region(), now).stream()
            .filter(m -> m.info().nodeId().compareTo(self.nodeId()) < 0)
            .count();
    return self.role().equals(MemberInfo.ENTRY) && before < DELEGATES;
  }

  private RegionDigest ownDigest(SelfReport report, MemberTable table, Instant now) {
    List<MemberInfo> contacts = new ArrayList<>();
    if (!report.draining()) {
      contacts.add(self);
    }
    pick(table.alive(MemberInfo.ENTRY, self.region(), now), RegionDigest.MAX_CONTACTS).stream()
        .map(Member::info)
        .filter(m -> contacts.size() < RegionDigest.MAX_CONTACTS)
        .forEach(contacts::add);
    stamp++;
    return new RegionDigest(
        self.region(), self.nodeId(), stamp, contacts, report.freeSlotsByModel());
  }

  private PeerMessage.Gossip message(
      SelfReport report, List<Member> followed, Optional<RegionDigest> digest, boolean asking) {
    List<MemberInfo> introductions = introductions(followed);
    List<Heartbeat> signs = new ArrayList<>();
    signs.add(new Heartbeat(self.nodeId(), self.incarnation(), counter, report.draining()));
    pick(followed, SIGNS_PER_MESSAGE).forEach(m -> signs.add(m.liveness()));
    followed.stream()
        .filter(m -> introductions.contains(m.info()) && !signs.contains(m.liveness()))
        .forEach(m -> signs.add(m.liveness()));
    return new PeerMessage.Gossip(
        self, report.configVersion(), signs, introductions, digest.stream().toList(), asking);
  }

  /** Returns the members that started last, while news, and one other at random. */
  private List<MemberInfo> introductions(List<Member> followed) {
    List<MemberInfo> infos = new ArrayList<>();
    followed.stream()
        .filter(
            m -> m.liveness().counter() <= INTRODUCTION_ROUNDS || counter <= INTRODUCTION_ROUNDS)
        .sorted(Comparator.comparingLong((Member m) -> m.liveness().counter()))
        .map(Member::info)
        .forEach(infos::add);
    followed.stream()
        .skip(followed.isEmpty() ? 0 : random.nextInt(followed.size()))
        .findFirst()
        .filter(m -> counter % RANDOM_INTRODUCTION_EVERY == 0)
        .map(Member::info)
        .filter(m -> !infos.contains(m))
        .ifPresent(infos::add);
    return infos;
  }
}
