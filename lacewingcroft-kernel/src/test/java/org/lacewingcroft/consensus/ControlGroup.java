package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * A control group whose members exchange messages through a queue that a test orders: messages are
 * delivered late, dropped, repeated or held back by a partition, and members are killed, restarted
 * and robbed of their disks. It checks after each step that no two members commit different entries
 * at an index, that a term has one leader and that no accepted version is replaced.
 */
final class ControlGroup {
  static final ConsensusTiming TIMING = new ConsensusTiming(50, 300, 20);
  private static final int STEP_MILLIS = 10;

  private record InFlight(String from, String to, ConsensusMessage message, long dueMillis) {}

  private final Random random;
  private final ConsensusTiming timing;
  private final List<String> ids = new ArrayList<>();
  private final Map<String, MemoryStorage> disks = new HashMap<>();
  private final Map<String, ConsensusMember> members = new HashMap<>();
  private final Map<Long, LogEntry> committedByIndex = new HashMap<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final Map<Long, String> changeByVersion = new HashMap<>();
  private final Map<Long, ChangeResult> results = new HashMap<>();
  private final Map<Long, String> changeByTicket = new HashMap<>();
  private final Set<String> cutOff = new HashSet<>();
  private List<InFlight> network = new ArrayList<>();
  private double dropShare;
  private int maxDelayMillis = 1;
  private long nowMillis = 1_000;
  private long nextTicket = 1;
  private final Map<String, Long> shownVersion = new HashMap<>();
  private final Map<Long, Long> routeByTicket = new HashMap<>();
  private Optional<GroupPolicy> policy = Optional.empty();
  private int wipes;

  ControlGroup(int size, long seed) {
    this(size, seed, TIMING);
  }

  ControlGroup(int size, long seed, ConsensusTiming timing) {
    random = new Random(seed);
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
   * A group that its log names: the first members found it, the others stand by and are taken in as
   * the policy says.
   */
  ControlGroup(int founders, int standingBy, GroupPolicy groupPolicy, long seed) {
    random = new Random(seed);
    timing = TIMING;
    policy = Optional.of(groupPolicy);
    for (int i = 1; i <= founders + standingBy; i++) {
      ids.add("control-" + i);
    }
    Set<String> founding = Set.copyOf(ids.subList(0, founders));
    for (String id : ids) {
      MemoryStorage disk = new MemoryStorage(id + "-disk-0", founding.contains(id));
      if (founding.contains(id)) {
        disk.compact(new Snapshot(0, 0, ConfigState.EMPTY.withMembers(founding)), List.of());
      }
      disks.put(id, disk);
      restart(id);
    }
  }

  List<String> ids() {
    return ids;
  }

  /** Submits a routing document at a member; the result comes with a later step. */
  long route(String id, long version) {
    long ticket = nextTicket++;
    routeByTicket.put(ticket, version);
    if (runs(id)) {
      Command change = new Command.RoutingChange(version, "document " + version);
      carryOut(id, member(id).submit(ticket, change, nowMillis));
    }
    return ticket;
  }

  /** Returns the highest routing version that was answered as accepted. */
  long acceptedRoute() {
    return results.entrySet().stream()
        .filter(r -> r.getValue() instanceof ChangeResult.Accepted)
        .mapToLong(r -> routeByTicket.getOrDefault(r.getKey(), 0L))
        .max()
        .orElse(0);
  }

  private void adjust(String id) {
    for (String other : ids) {
      if (runs(other) && cutOff.contains(id) == cutOff.contains(other)) {
        carryOut(id, member(id).addLearner(other, nowMillis));
      }
    }
    carryOut(id, member(id).adjustGroup(policy.orElseThrow(), nowMillis));
  }

  ConsensusMember member(String id) {
    return members.get(id);
  }

  boolean runs(String id) {
    return members.containsKey(id);
  }

  /** Returns whether some member that runs leads. */
  boolean hasLeader() {
    return members.values().stream().anyMatch(m -> m.role() == ConsensusMember.Role.LEADER);
  }

  void lossy(double share, int delayMillis) {
    dropShare = share;
    maxDelayMillis = delayMillis;
  }

  void kill(String id) {
    members.remove(id);
  }

  void restart(String id) {
    members.put(
        id,
        new ConsensusMember(
            id,
            policy.isPresent() ? List.of() : ids,
            timing,
            disks.get(id),
            new Random(random.nextLong()),
            nowMillis));
  }

  /** Replaces a member's disk by an empty one, as after a disk loss, and restarts it. */
  void wipe(String id) {
    wipes++;
    disks.put(id, new MemoryStorage(id + "-disk-" + wipes, false));
    restart(id);
  }

  void cutOff(String... members) {
    cutOff.addAll(List.of(members));
  }

  void heal() {
    cutOff.clear();
    lossy(0, 1);
  }

  /** Proposes a change at a member; the result comes with a later step. */
  long propose(String id, String changeId, long expectedVersion) {
    long ticket = nextTicket++;
    changeByTicket.put(ticket, changeId);
    if (runs(id)) {
      carryOut(id, member(id).propose(ticket, command(changeId), expectedVersion, nowMillis));
    }
    return ticket;
  }

  /** Every third change is a patch that adds an organisation, the others replace the document. */
  static Command.Change command(String changeId) {
    return changeId.hashCode() % 3 == 0
        ? new Command.PatchChange(changeId, "organisations: [{name: " + changeId + "}]")
        : new Command.ConfigChange(changeId, "# " + changeId);
  }

  Optional<ChangeResult> result(long ticket) {
    return Optional.ofNullable(results.get(ticket));
  }

  void run(long millis) {
    long until = nowMillis + millis;
    while (nowMillis < until) {
      nowMillis += STEP_MILLIS;
      deliverDue();
      for (String id : ids) {
        if (runs(id)) {
          carryOut(id, member(id).tick(nowMillis));
          if (policy.isPresent()) {
            adjust(id);
          }
        }
      }
    }
  }

  /** Runs until some member leads with its term's first entry committed; returns it. */
  String awaitLeader() {
    for (int i = 0; i < 1_000; i++) {
      run(STEP_MILLIS);
      for (String id : ids) {
        ConsensusMember m = members.get(id);
        if (m != null
            && m.role() == ConsensusMember.Role.LEADER
            && m.commitIndex() == m.lastIndex()
            && !cutOff.contains(id)) {
          return id;
        }
      }
    }
    throw new AssertionError("no leader within 10 s");
  }

  /** Proposes at the leader and runs until it is decided. */
  ChangeResult change(String changeId, long expectedVersion) {
    long ticket = propose(awaitLeader(), changeId, expectedVersion);
    for (int i = 0; i < 500 && result(ticket).isEmpty(); i++) {
      run(STEP_MILLIS);
    }
    return result(ticket).orElseThrow(() -> new AssertionError("undecided: " + changeId));
  }

  /** Every change answered as accepted, by version. */
  Map<Long, String> acceptedChanges() {
    return changeByVersion;
  }

  private void deliverDue() {
    List<InFlight> due = new ArrayList<>();
    List<InFlight> later = new ArrayList<>();
    network.forEach(m -> (m.dueMillis() <= nowMillis ? due : later).add(m));
    network = later;
    for (InFlight m : due) {
      boolean cut = cutOff.contains(m.from()) != cutOff.contains(m.to());
      if (runs(m.to()) && !cut) {
        carryOut(m.to(), member(m.to()).receive(m.from(), m.message(), nowMillis));
      }
    }
  }

  private void carryOut(String id, Output out) {
    for (Output.Envelope e : out.messages()) {
      if (random.nextDouble() >= dropShare) {
        post(id, e);
        if (random.nextDouble() < dropShare) {
          post(id, e);
        }
      }
    }
    checkShownVersion(id);
    out.committed().forEach(this::checkCommitted);
    out.decisions().forEach(this::checkDecision);
    checkLeader(id);
  }

  private void post(String from, Output.Envelope e) {
    long due = nowMillis + 1 + random.nextInt(maxDelayMillis);
    network.add(new InFlight(from, e.to(), e.message(), due));
  }

  /** What a member shows never steps back, over restarts too. */
  private void checkShownVersion(String id) {
    ConsensusMember m = members.get(id);
    if (m != null && m.caughtUp()) {
      long before = shownVersion.getOrDefault(id, 0L);
      if (m.state().version() < before) {
        throw new AssertionError(id + " shows " + m.state().version() + " after " + before);
      }
      shownVersion.put(id, m.state().version());
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
        && !routeByTicket.containsKey(decision.proposalId())) {
      String change = changeByTicket.get(decision.proposalId());
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
