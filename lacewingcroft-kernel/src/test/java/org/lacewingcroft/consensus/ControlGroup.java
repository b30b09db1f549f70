package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingcroft.peer.FrameCodec;

/**
 * Simulates a control group whose members exchange messages through a queue that the test controls:
 * messages are delayed, dropped, duplicated or blocked by a partition, and members are killed,
 * restarted or restarted with an empty disk. Links may be slow, and carry no message that exceeds
 * the maximum frame size. After each step it checks that no two members commit different entries at
 * the same index, that a term has only one leader, that no accepted version is replaced and that no
 * member takes a state for current that lacks what had been accepted. The clocks of the members
 * have nothing in common but their rate.
 */
final class ControlGroup {
  static final ConsensusTiming TIMING = new ConsensusTiming(50, 300);
  private static final LogLimits LIMITS =
      new LogLimits(
          20,
          LogLimits.DEFAULT.compactAfterBytes(),
          LogLimits.DEFAULT.maxUncommittedBytes(),
          LogLimits.DEFAULT.maxBatchEntries(),
          LogLimits.DEFAULT.maxBatchBytes());
  private static final int STEP_MILLIS = 10;

  private record InFlight(String from, String to, ConsensusMessage message, long deliveryMillis) {}

  private final Random random;
  private final Random clockRandom;
  private final Map<String, Long> clockOffsetMillis = new HashMap<>();
  private final TreeMap<Long, Long> acceptedVersionByMillis = new TreeMap<>();
  private final Set<String> muted = new HashSet<>();
  private final ConsensusTiming timing;
  private LogLimits limits = LIMITS;
  private final List<String> ids = new ArrayList<>();
  private final Map<String, MemoryStorage> disks = new HashMap<>();
  private final Map<String, ConsensusMember> members = new HashMap<>();
  private final Map<Long, LogEntry> committedByIndex = new HashMap<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final Map<Long, String> changeByVersion = new HashMap<>();
  private final Map<Long, ChangeResult> results = new HashMap<>();
  private final Map<Long, String> changeByProposalId = new HashMap<>();
  private final Set<String> partitioned = new HashSet<>();
  private List<InFlight> network = new ArrayList<>();
  private double dropProbability;
  private int maxDelayMillis = 1;
  private String document = "document";
  private final Map<String, Long> bytesPerMilli = new HashMap<>();
  private final Map<String, Long> linkBusyUntilMillis = new HashMap<>();
  private final Map<String, Long> dataBytesSent = new HashMap<>();
  private long nowMillis = 1_000;
  private long nextProposalId = 1;
  private final Map<String, Long> exposedVersion = new HashMap<>();
  private final Map<Long, Long> routingVersionByProposalId = new HashMap<>();
  private Optional<GroupPolicy> policy = Optional.empty();
  private int diskLosses;

  ControlGroup(int size, long seed) {
    this(size, seed, TIMING);
  }

  ControlGroup(int size, long seed, ConsensusTiming timing) {
    random = new Random(seed);
    clockRandom = new Random(~seed);
    this.timing = timing;
    for (int i = 1; i <= size; i++) {
      ids.add("control-" + i);
    }
    for (String id : ids) {
      disks.put(id, new MemoryStorage(id + "-disk-0", true));
      restart(id);
    }
  }

  /**
   * Creates a group whose members are defined by its log: the first instances are the initial
   * members, the others are on standby and are added as the policy specifies.
   */
  ControlGroup(int initialMembers, int standbys, GroupPolicy groupPolicy, long seed) {
    random = new Random(seed);
    clockRandom = new Random(~seed);
    timing = TIMING;
    policy = Optional.of(groupPolicy);
    for (int i = 1; i <= initialMembers + standbys; i++) {
      ids.add("control-" + i);
    }
    Set<String> initialIds = Set.copyOf(ids.subList(0, initialMembers));
    for (String id : ids) {
      MemoryStorage disk = new MemoryStorage(id + "-disk-0", initialIds.contains(id));
      if (initialIds.contains(id)) {
        disk.compact(new Snapshot(0, 0, ConfigState.EMPTY.withMembers(initialIds)), List.of());
      }
      disks.put(id, disk);
      restart(id);
    }
  }

  List<String> ids() {
    return ids;
  }

  /**
   * Submits a routing document to a member and returns the proposal's id; the result may follow in
   * a later step.
   */
  long submitRoutingDocument(String id, long version) {
    long proposalId = nextProposalId++;
    routingVersionByProposalId.put(proposalId, version);
    if (isRunning(id)) {
      Command change = new Command.RoutingChange(version, document);
      execute(id, member(id).submit(proposalId, change, clock(id)));
    }
    return proposalId;
  }

  /** Sets the document that is submitted from now on. */
  void setDocument(String newDocument) {
    document = newDocument;
  }

  /** Sets the limits of the members that start from now on. */
  void setLimits(LogLimits newLimits) {
    limits = newLimits;
  }

  /** Limits the throughput of the link to a member; entries and snapshots then wait for others. */
  void setThroughput(String id, long newBytesPerMilli) {
    bytesPerMilli.put(id, newBytesPerMilli);
  }

  /** Returns the size of all entries and snapshots that were sent to a member, in bytes. */
  long dataBytesSentTo(String id) {
    return dataBytesSent.getOrDefault(id, 0L);
  }

  /** Adds an instance with an empty disk, which is not yet a member. */
  void add(String id) {
    ids.add(id);
    disks.put(id, new MemoryStorage(id + "-disk-0", false));
    restart(id);
  }

  /** Removes an instance for good. */
  void remove(String id) {
    kill(id);
    ids.remove(id);
  }

  /** Returns the size of a member's log after its snapshot, in bytes. */
  long logBytes(String id) {
    ConsensusMember m = members.get(id);
    MemoryStorage disk = disks.get(id);
    return disk.sizeBytes(disk.snapshot().lastIndex() + 1, m.lastIndex() + 1);
  }

  /** Returns the highest routing version that was reported as accepted. */
  long highestAcceptedRoutingVersion() {
    return results.entrySet().stream()
        .filter(r -> r.getValue() instanceof ChangeResult.Accepted)
        .mapToLong(r -> routingVersionByProposalId.getOrDefault(r.getKey(), 0L))
        .max()
        .orElse(0);
  }

  private void adjustGroup(String id) {
    for (String other : ids) {
      if (isRunning(other) && partitioned.contains(id) == partitioned.contains(other)) {
        execute(id, member(id).addLearner(other, clock(id)));
      }
    }
    execute(id, member(id).adjustGroup(policy.orElseThrow(), clock(id)));
  }

  ConsensusMember member(String id) {
    return members.get(id);
  }

  boolean isRunning(String id) {
    return members.containsKey(id);
  }

  /** Returns whether any running member is the leader. */
  boolean hasLeader() {
    return members.values().stream().anyMatch(m -> m.role() == ConsensusMember.Role.LEADER);
  }

  /** Returns whether a member is in contact with a quorum. */
  boolean isInMajority(String id) {
    return member(id).inMajority(clock(id));
  }

  private long clock(String id) {
    return nowMillis + clockOffsetMillis.get(id);
  }

  /** Returns how long ago a member's state was last known to be current; empty if not known. */
  OptionalLong stateAgeMillis(String id) {
    OptionalLong currentAtMillis = member(id).currentAtMillis();
    return currentAtMillis.isPresent()
        ? OptionalLong.of(clock(id) - currentAtMillis.getAsLong())
        : currentAtMillis;
  }

  /** Drops the messages that a member sends until the group heals; it still receives others'. */
  void mute(String id) {
    muted.add(id);
  }

  void setLossAndDelay(double lossProbability, int maxMillis) {
    dropProbability = lossProbability;
    maxDelayMillis = maxMillis;
  }

  void kill(String id) {
    members.remove(id);
  }

  void restart(String id) {
    clockOffsetMillis.put(id, clockRandom.nextLong(1_000_000));
    members.put(
        id,
        new ConsensusMember(
            id,
            policy.isPresent() ? List.of() : ids,
            timing,
            limits,
            disks.get(id),
            new Random(random.nextLong()),
            clock(id)));
  }

  /**
   * Replaces a member's disk with an empty one, as after the loss of a disk, and restarts the
   * member.
   */
  void loseDisk(String id) {
    diskLosses++;
    disks.put(id, new MemoryStorage(id + "-disk-" + diskLosses, false));
    restart(id);
  }

  void partition(String... members) {
    partitioned.addAll(List.of(members));
  }

  void heal() {
    partitioned.clear();
    muted.clear();
    setLossAndDelay(0, 1);
  }

  /**
   * Proposes a change to a member and returns the proposal's id; the result may follow in a later
   * step.
   */
  long propose(String id, String changeId, long expectedVersion) {
    long proposalId = nextProposalId++;
    changeByProposalId.put(proposalId, changeId);
    if (isRunning(id)) {
      execute(id, member(id).propose(proposalId, command(changeId), expectedVersion, clock(id)));
    }
    return proposalId;
  }

  /**
   * Returns the change with this id: about one in three is a patch that adds an organisation, the
   * others replace the document.
   */
  static Command.Change command(String changeId) {
    return changeId.hashCode() % 3 == 0
        ? new Command.PatchChange(changeId, "organisations: [{name: " + changeId + "}]")
        : new Command.ConfigChange(changeId, "# " + changeId);
  }

  Optional<ChangeResult> result(long proposalId) {
    return Optional.ofNullable(results.get(proposalId));
  }

  void run(long millis) {
    long until = nowMillis + millis;
    while (nowMillis < until) {
      nowMillis += STEP_MILLIS;
      deliverDue();
      for (String id : ids) {
        if (isRunning(id)) {
          execute(id, member(id).tick(clock(id)));
          if (policy.isPresent()) {
            adjustGroup(id);
          }
        }
      }
    }
  }

  /**
   * Runs until a leader that is not partitioned has committed all its entries, and returns its id.
   */
  String awaitLeader() {
    for (int i = 0; i < 1_000; i++) {
      run(STEP_MILLIS);
      for (String id : ids) {
        ConsensusMember m = members.get(id);
        if (m != null
            && m.role() == ConsensusMember.Role.LEADER
            && m.commitIndex() == m.lastIndex()
            && !partitioned.contains(id)) {
          return id;
        }
      }
    }
    throw new AssertionError("no leader within 10 s");
  }

  /** Proposes a change to the leader and runs until the change is decided. */
  ChangeResult change(String changeId, long expectedVersion) {
    long proposalId = propose(awaitLeader(), changeId, expectedVersion);
    for (int i = 0; i < 500 && result(proposalId).isEmpty(); i++) {
      run(STEP_MILLIS);
    }
    return result(proposalId).orElseThrow(() -> new AssertionError("undecided: " + changeId));
  }

  /** Returns all changes that were reported as accepted, by version. */
  Map<Long, String> acceptedChanges() {
    return changeByVersion;
  }

  private void deliverDue() {
    List<InFlight> due = new ArrayList<>();
    List<InFlight> later = new ArrayList<>();
    network.forEach(m -> (m.deliveryMillis() <= nowMillis ? due : later).add(m));
    network = later;
    for (InFlight m : due) {
      boolean blocked =
          partitioned.contains(m.from()) != partitioned.contains(m.to())
              || muted.contains(m.from());
      if (isRunning(m.to()) && !blocked) {
        execute(m.to(), member(m.to()).receive(m.from(), m.message(), clock(m.to())));
      }
    }
  }

  private void execute(String id, Output out) {
    for (Output.Envelope e : out.messages()) {
      if (random.nextDouble() >= dropProbability) {
        enqueue(id, e);
        if (random.nextDouble() < dropProbability) {
          enqueue(id, e);
        }
      }
    }
    checkExposedVersion(id);
    checkCurrentState(id);
    out.committed().forEach(this::checkCommitted);
    out.decisions().forEach(this::checkDecision);
    checkLeader(id);
  }

  private void enqueue(String from, Output.Envelope e) {
    long deliveryMillis = nowMillis + 1 + random.nextInt(maxDelayMillis);
    long sizeBytes = dataBytes(e.message());
    if (sizeBytes > FrameCodec.MAX_FRAME_BYTES) {
      return;
    }
    dataBytesSent.merge(e.to(), sizeBytes, Long::sum);
    if (sizeBytes > 0 && bytesPerMilli.containsKey(e.to())) {
      long startMillis = Math.max(nowMillis, linkBusyUntilMillis.getOrDefault(e.to(), 0L));
      long endMillis = startMillis + sizeBytes / bytesPerMilli.get(e.to());
      linkBusyUntilMillis.put(e.to(), endMillis);
      deliveryMillis += endMillis - nowMillis;
    }
    network.add(new InFlight(from, e.to(), e.message(), deliveryMillis));
  }

  private static long dataBytes(ConsensusMessage message) {
    if (message instanceof ConsensusMessage.SnapshotRequest request) {
      return request.snapshot().state().routing().document().length();
    }
    return message instanceof ConsensusMessage.AppendRequest request
        ? request.entries().stream().mapToLong(MemoryStorage::sizeBytes).sum()
        : 0;
  }

  /** Checks that the version a member exposes never decreases, also across restarts. */
  private void checkExposedVersion(String id) {
    ConsensusMember m = members.get(id);
    if (m != null && m.caughtUp()) {
      long before = exposedVersion.getOrDefault(id, 0L);
      if (m.state().version() < before) {
        throw new AssertionError(id + " exposes " + m.state().version() + " after " + before);
      }
      exposedVersion.put(id, m.state().version());
    }
  }

  /** Checks that a member's state contains what was accepted before it was last current. */
  private void checkCurrentState(String id) {
    ConsensusMember m = members.get(id);
    OptionalLong ageMillis = m == null ? OptionalLong.empty() : stateAgeMillis(id);
    if (ageMillis.isPresent()) {
      Map.Entry<Long, Long> accepted =
          acceptedVersionByMillis.lowerEntry(nowMillis - ageMillis.getAsLong());
      if (accepted != null && m.state().version() < accepted.getValue()) {
        throw new AssertionError(
            "%s has version %d, current %d ms ago, after %s was accepted at %d, now %d"
                .formatted(
                    id,
                    m.state().version(),
                    ageMillis.getAsLong(),
                    accepted.getValue(),
                    accepted.getKey(),
                    nowMillis));
      }
    }
  }

  private void checkCommitted(LogEntry entry) {
    LogEntry earlier = committedByIndex.putIfAbsent(entry.index(), entry);
    if (earlier != null && !earlier.equals(entry)) {
      throw new AssertionError("index " + entry.index() + ": " + earlier + " then " + entry);
    }
  }

  private void checkDecision(Output.Decision decision) {
    results.put(decision.proposalId(), decision.result());
    if (decision.result() instanceof ChangeResult.Accepted a
        && !routingVersionByProposalId.containsKey(decision.proposalId())) {
      long highest =
          acceptedVersionByMillis.isEmpty() ? 0 : acceptedVersionByMillis.lastEntry().getValue();
      acceptedVersionByMillis.put(nowMillis, Math.max(highest, a.version()));
      String change = changeByProposalId.get(decision.proposalId());
      String earlier = changeByVersion.putIfAbsent(a.version(), change);
      if (earlier != null && !earlier.equals(change)) {
        throw new AssertionError("version " + a.version() + ": " + earlier + " and " + change);
      }
    }
  }

  private void checkLeader(String id) {
    ConsensusMember m = members.get(id);
    if (m != null && m.role() == ConsensusMember.Role.LEADER) {
      String earlier = leaderByTerm.putIfAbsent(m.term(), id);
      if (earlier != null && !earlier.equals(id)) {
        throw new AssertionError("term " + m.term() + " is led by " + earlier + " and " + id);
      }
    }
  }
}
