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
 * Selects the daemons to which one daemon sends gossip in each gossip interval, and creates the
 * messages.
 *
 * <p>Within its region a daemon sends to {@link #FANOUT} members; a heartbeat reaches all n members
 * of the region in about log(n) intervals, so the cost per daemon does not grow with the size of
 * the region. Between regions, only {@link #DELEGATES} entries of each region send gossip: in each
 * interval, each delegate sends a digest of its own region to {@link #REGION_FANOUT} members of
 * other regions, and members relay the digests of other regions that they have received. The {@link
 * MemberInfo} of a member is sent for some intervals after its start and occasionally later; the
 * latest heartbeats are sent for a random sample of members. Seeds are contacted while no member of
 * the region is known and at regular intervals after that, so that partitions of the membership
 * that lost contact merge again.
 */
public final class Gossiper {
  /**
   * Maximum number of members of the daemon's own region to which it sends gossip in an interval.
   */
  public static final int FANOUT = 2;

  /** Maximum number of members of other regions to which a delegate sends gossip in an interval. */
  public static final int REGION_FANOUT = 2;

  /** Number of entries of a region that send its digests to other regions. */
  public static final int DELEGATES = 2;

  private static final int NEW_MEMBER_INTERVALS = 8;
  private static final int INTERVALS_PER_SEED_CONTACT = 8;
  private static final int MAX_MEMBERS_PER_RESPONSE = 4;
  private static final int HEARTBEAT_SAMPLE_SIZE = 20;
  private static final int INTERVALS_PER_RANDOM_MEMBER_INFO = 4;

  private final MemberInfo self;
  private final List<String> seeds;
  private final Random random;
  private long heartbeatCounter;
  private long digestSequence;

  /**
   * One message to send.
   *
   * @param address the receiver's peer address
   * @param gossip the message
   */
  public record Outgoing(String address, PeerMessage.Gossip gossip) {}

  /**
   * The status that a daemon reports about itself in one interval.
   *
   * @param draining whether it is shutting down and accepts no new requests
   * @param configVersion its active configuration version
   * @param freeSlotsByModel its region's free capacity by model, in request slots
   */
  public record SelfReport(
      boolean draining, long configVersion, Map<String, Integer> freeSlotsByModel) {}

  /**
   * Creates the gossiper of one daemon.
   *
   * @param self the daemon's description of itself
   * @param seeds peer addresses through which other members are discovered
   * @param random selects receivers and samples of members
   */
  public Gossiper(MemberInfo self, List<String> seeds, Random random) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.random = random;
    this.digestSequence = self.incarnation();
  }

  /** Returns the messages to send in this interval. */
  public List<Outgoing> nextMessages(SelfReport report, MemberTable table, Instant now) {
    heartbeatCounter++;
    Set<String> receivers = new LinkedHashSet<>();
    List<Member> trackedMembers = table.trackedMembers();
    regionReceivers(trackedMembers).forEach(m -> receivers.add(m.info().peerAddress()));
    final List<RegionDigest> otherDigests = new ArrayList<>(table.digests());
    Optional<RegionDigest> ownDigest = Optional.empty();
    if (isDelegate(table, now)) {
      ownDigest = Optional.of(ownDigest(report, table, now));
      otherRegionReceivers(table, now).forEach(m -> receivers.add(m.info().peerAddress()));
    }
    Set<String> replyAddresses = new LinkedHashSet<>();
    boolean isolated = trackedMembers.stream().noneMatch(this::isInRegion);
    if (!seeds.isEmpty() && (isolated || heartbeatCounter % INTERVALS_PER_SEED_CONTACT == 0)) {
      replyAddresses.add(seeds.get(random.nextInt(seeds.size())));
    }
    if (table.hasUnknownMembers()) {
      replyAddresses.addAll(receivers);
    }
    receivers.addAll(replyAddresses);
    receivers.remove(self.peerAddress());
    List<Outgoing> outgoing = new ArrayList<>();
    for (String address : receivers) {
      Optional<RegionDigest> relayedDigest = pick(otherDigests, 1).stream().findFirst();
      boolean inRegion =
          relayedDigest.isPresent()
              && trackedMembers.stream()
                  .filter(this::isInRegion)
                  .anyMatch(m -> m.info().peerAddress().equals(address));
      Optional<RegionDigest> digest = inRegion ? relayedDigest : ownDigest.or(() -> relayedDigest);
      outgoing.add(
          new Outgoing(
              address, message(report, trackedMembers, digest, replyAddresses.contains(address))));
    }
    return outgoing;
  }

  private boolean isInRegion(Member m) {
    return m.info().region().equals(self.region());
  }

  /**
   * Responds to a daemon that requests members of its region with a sample of those known here.
   *
   * @return the response, or empty if the message requests no reply or no members are known
   */
  public Optional<Outgoing> respond(
      PeerMessage.Gossip request, long configVersion, MemberTable table) {
    MemberInfo requester = request.sender();
    List<Member> members =
        pick(
            table.all().stream()
                .filter(m -> m.info().region().equals(requester.region()))
                .filter(m -> !m.info().nodeId().equals(requester.nodeId()))
                .toList(),
            MAX_MEMBERS_PER_RESPONSE);
    if (!request.replyRequested() || members.isEmpty()) {
      return Optional.empty();
    }
    List<Heartbeat> heartbeats = new ArrayList<>();
    heartbeats.add(new Heartbeat(self.nodeId(), self.incarnation(), heartbeatCounter, false));
    members.forEach(m -> heartbeats.add(m.heartbeat()));
    List<MemberInfo> infos = members.stream().map(Member::info).toList();
    return Optional.of(
        new Outgoing(
            requester.peerAddress(),
            new PeerMessage.Gossip(self, configVersion, heartbeats, infos, List.of(), false)));
  }

  /**
   * Returns the receivers in the region: the next member in the order of node ids, so that every
   * member receives gossip in every interval, and others at random. For a control daemon, the other
   * control daemons of all regions are candidates too.
   */
  private List<Member> regionReceivers(List<Member> trackedMembers) {
    List<Member> ring =
        trackedMembers.stream()
            .filter(this::isInRegion)
            .sorted(Comparator.comparing(m -> m.info().nodeId()))
            .toList();
    List<Member> receivers = new ArrayList<>();
    ring.stream()
        .filter(m -> m.info().nodeId().compareTo(self.nodeId()) > 0)
        .findFirst()
        .or(() -> ring.stream().findFirst())
        .ifPresent(receivers::add);
    List<Member> candidates =
        trackedMembers.stream()
            .filter(m -> isInRegion(m) || self.role().equals(m.info().role()))
            .filter(m -> !receivers.contains(m))
            .toList();
    receivers.addAll(pick(candidates, FANOUT - receivers.size()));
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
    long precedingEntries =
        table.alive(self.role(), self.region(), now).stream()
            .filter(m -> m.info().nodeId().compareTo(self.nodeId()) < 0)
            .count();
    return self.role().equals(MemberInfo.ENTRY) && precedingEntries < DELEGATES;
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
    digestSequence++;
    return new RegionDigest(
        self.region(), self.nodeId(), digestSequence, contacts, report.freeSlotsByModel());
  }

  private PeerMessage.Gossip message(
      SelfReport report,
      List<Member> trackedMembers,
      Optional<RegionDigest> digest,
      boolean replyRequested) {
    List<MemberInfo> memberInfos = memberInfos(trackedMembers);
    List<Heartbeat> heartbeats = new ArrayList<>();
    heartbeats.add(
        new Heartbeat(self.nodeId(), self.incarnation(), heartbeatCounter, report.draining()));
    pick(trackedMembers, HEARTBEAT_SAMPLE_SIZE).forEach(m -> heartbeats.add(m.heartbeat()));
    trackedMembers.stream()
        .filter(m -> memberInfos.contains(m.info()) && !heartbeats.contains(m.heartbeat()))
        .forEach(m -> heartbeats.add(m.heartbeat()));
    return new PeerMessage.Gossip(
        self,
        report.configVersion(),
        heartbeats,
        memberInfos,
        digest.stream().toList(),
        replyRequested);
  }

  /**
   * Returns the descriptions of the recently started members, or of all members if this daemon has
   * recently started, and in some intervals of one other member at random.
   */
  private List<MemberInfo> memberInfos(List<Member> trackedMembers) {
    List<MemberInfo> infos = new ArrayList<>();
    trackedMembers.stream()
        .filter(
            m ->
                m.heartbeat().counter() <= NEW_MEMBER_INTERVALS
                    || heartbeatCounter <= NEW_MEMBER_INTERVALS)
        .sorted(Comparator.comparingLong((Member m) -> m.heartbeat().counter()))
        .map(Member::info)
        .forEach(infos::add);
    trackedMembers.stream()
        .skip(trackedMembers.isEmpty() ? 0 : random.nextInt(trackedMembers.size()))
        .findFirst()
        .filter(m -> heartbeatCounter % INTERVALS_PER_RANDOM_MEMBER_INFO == 0)
        .map(Member::info)
        .filter(m -> !infos.contains(m))
        .ifPresent(infos::add);
    return infos;
  }
}
