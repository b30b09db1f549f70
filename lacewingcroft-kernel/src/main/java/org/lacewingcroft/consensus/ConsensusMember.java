package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One member of the control group as a pure state machine: leader election by terms and replication
 * of the configuration log to a quorum, with no clock, thread or socket of its own. A driver feeds
 * it the time, the messages received and operators' proposals, and carries out the {@link Output}
 * of each step.
 *
 * <p>Beyond the textbook algorithm it has four guards. A pre-vote keeps a member that was cut off
 * from forcing an election when it returns. A leader that hears no quorum for an election timeout
 * steps down, so a leader that is cut off silently stops accepting. A member whose data folder is
 * new (a lost disk) neither votes nor counts towards a quorum until a quorum of the others has
 * committed its {@link Command.StorageRegistration}: it may have voted or acknowledged entries that
 * it no longer remembers. And an operator's change is compared with the version after the last
 * entry, committed or not, so that two changes racing with equal expected versions cannot both win.
 *
 * <p>Not thread-safe. Steps write to the {@link LogStorage} before they return messages, so
 * whatever a message acknowledges is on disk.
 */
public final class ConsensusMember {
  private static final int ENTRIES_PER_MESSAGE = 64;

  /** Silence after which a leader stops sending to an instance outside the group, in ms. */
  private static final long LEARNER_PATIENCE_MILLIS = 10_000;

  /** What a member is doing. */
  public enum Role {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether a campaign could win. */
    PRE_CANDIDATE,
    /** Campaigns in its term. */
    CANDIDATE,
    /** Leads its term. */
    LEADER
  }

  private record Waiting(long ticket, long index, ChangeResult resultOnCommit) {}

  /** Turns in an election timeout, in which the members of a group that starts campaign. */
  private static final int ELECTION_TURNS = 6;

  /** Part of an election timeout, as a divisor, that a member leaves to one that asks first. */
  private static final int GIVE_WAY_SHARE = 4;

  private final String id;
  private final Set<String> namedGroup;
  private final ConsensusTiming timing;
  private final LogStorage storage;
  private final RandomGenerator random;
  private final long session;
  private final ReplicatedLog log;
  private final Set<String> votes = new HashSet<>();
  private final Map<String, Progress> followers = new HashMap<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private HardState hardState;
  private Role role = Role.FOLLOWER;
  private Optional<String> leader = Optional.empty();
  private long leaderHeardMillis;
  private long electionDueMillis;
  private long termStartIndex;
  private boolean caughtUp;

  /**
   * Recovers a member from its storage.
   *
   * @param id this member's id
   * @param group the ids of all members, this one included, the same at every member; empty if the
   *     log names them (a {@link Command.GroupChange}, or the snapshot of the first start)
   * @param timing the timeouts
   * @param storage the durable log
   * @param random draws the election timeouts
   * @param nowMillis the steady clock's reading
   */
  public ConsensusMember(
      String id,
      List<String> group,
      ConsensusTiming timing,
      LogStorage storage,
      RandomGenerator random,
      long nowMillis) {
    if (!group.isEmpty() && !group.contains(id)) {
      throw new IllegalArgumentException("the control group " + group + " does not name " + id);
    }
    this.id = id;
    this.namedGroup = Set.copyOf(group);
    this.timing = timing;
    this.storage = storage;
    this.random = random;
    this.session = random.nextLong();
    this.log = new ReplicatedLog(storage);
    this.hardState = storage.hardState();
    this.leaderHeardMillis = nowMillis - 2 * timing.electionMillis();
    if (group().equals(Set.of(id))) {
      this.electionDueMillis = nowMillis;
    } else {
      this.electionDueMillis = nowMillis + firstElectionMillis();
    }
  }

  /**
   * The wait of a member that has just started. It would hear of a living leader within a
   * heartbeat; after a restart of the whole group nobody leads, and waiting only prolongs the
   * outage. So the members campaign in the order of their names, each after the one before could
   * have won: drawn at random between a quarter and the whole of the timeout, the first of five
   * campaigned after 300 ms in the mean, and now after 100 ms with a timeout of 800 ms.
   */
  private long firstElectionMillis() {
    long turnMillis = timing.electionMillis() / ELECTION_TURNS;
    long turn = group().stream().sorted().toList().indexOf(id);
    long jitterMillis = random.nextLong(Math.max(1, turnMillis / 2));
    return turn < 0
        ? timing.electionMillis() + jitterMillis
        : turnMillis / 2 + turnMillis * turn + jitterMillis;
  }

  /** Returns the group's members, as the settings or else the log's last entries name them. */
  public Set<String> group() {
    return namedGroup.isEmpty() ? log.members() : namedGroup;
  }

  private List<String> others() {
    return group().stream().filter(m -> !m.equals(id)).sorted().toList();
  }

  private int quorum() {
    return group().size() / 2 + 1;
  }

  /** Returns what this member is doing. */
  public Role role() {
    return role;
  }

  /** Returns the leader this member knows, itself included. */
  public Optional<String> leader() {
    return leader;
  }

  /** Returns the current term, which is also the fencing token of the leader's orders. */
  public long term() {
    return hardState.term();
  }

  /** Returns whether this member may vote; see {@link HardState#voter()}. */
  public boolean voter() {
    return hardState.voter();
  }

  /** Returns the index up to which the log is known to be committed. */
  public long commitIndex() {
    return log.commitIndex();
  }

  /** Returns the index of the last entry held. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /**
   * Returns whether the committed state is current: since it started, this member has committed an
   * entry of the term it follows or leads and all that its leader had committed, and it is a voter.
   * Before that the state may be older than what was in force here, and must not be shown: the one
   * recovered from disk lags, and a member that lost its disk may follow a leader long deposed.
   */
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Returns the state after the committed entries. */
  public ConfigState state() {
    return log.state();
  }

  /** Lets time pass: campaigns, sends heartbeats or steps down when due. */
  public Output tick(long nowMillis) {
    Output out = new Output();
    if (role == Role.LEADER) {
      if (!hearsQuorum(nowMillis)) {
        follow(hardState.term(), Optional.empty(), nowMillis, out);
        return out;
      }
      followers.forEach((member, p) -> replicateWhenDue(member, p, nowMillis, out));
    } else if (nowMillis >= electionDueMillis) {
      restartElectionTimer(nowMillis);
      if (hardState.voter() && group().contains(id)) {
        startPreVote(nowMillis, out);
      }
    }
    return out;
  }

  /**
   * Proposes an operator's change.
   *
   * @param ticket names the proposal in the {@link Output.Decision} that answers it, which may come
   *     with a later step
   * @param change the change, already checked
   * @param expectedVersion the version the change is based on
   * @param nowMillis the steady clock's reading
   */
  public Output propose(long ticket, Command.Change change, long expectedVersion, long nowMillis) {
    Output out = new Output();
    if (role != Role.LEADER) {
      out.decide(ticket, new ChangeResult.NotLeader(leader));
      return out;
    }
    Optional<Long> earlier = log.state().versionOf(change.changeId());
    long uncommitted = log.uncommittedIndexOf(change.changeId());
    if (earlier.isPresent()) {
      decideAt(ticket, termStartIndex, new ChangeResult.Accepted(earlier.get(), true));
    } else if (uncommitted > 0) {
      long version = log.entry(uncommitted).version();
      decideAt(
          ticket, Math.max(uncommitted, termStartIndex), new ChangeResult.Accepted(version, true));
    } else if (expectedVersion != log.lastVersion()) {
      decideAt(ticket, log.lastIndex(), new ChangeResult.Conflict(log.lastVersion()));
    } else {
      LogEntry entry = log.append(hardState.term(), change);
      decideAt(ticket, entry.index(), new ChangeResult.Accepted(entry.version(), false));
      replicateNow(nowMillis, out);
    }
    advanceCommit(nowMillis, out);
    return out;
  }

  /**
   * Proposes a command that needs no expected version. A routing document whose version is not
   * higher than the newest held is answered as accepted without an entry, once that newest one is
   * committed.
   *
   * @param ticket names the proposal in the {@link Output.Decision} that answers it
   * @param command the command, already checked; a {@link Command.Noop} proves that this member
   *     still leads, as a read of the newest state needs
   * @param nowMillis the steady clock's reading
   */
  public Output submit(long ticket, Command command, long nowMillis) {
    Output out = new Output();
    if (role != Role.LEADER) {
      out.decide(ticket, new ChangeResult.NotLeader(leader));
      return out;
    }
    ChangeResult accepted = new ChangeResult.Accepted(log.lastVersion(), false);
    boolean overtaken =
        command instanceof Command.RoutingChange c && c.version() <= log.lastRoutingVersion();
    if (overtaken) {
      decideAt(ticket, log.lastIndex(), new ChangeResult.Accepted(log.lastVersion(), true));
    } else {
      decideAt(ticket, log.append(hardState.term(), command).index(), accepted);
      replicateNow(nowMillis, out);
    }
    advanceCommit(nowMillis, out);
    return out;
  }

  /** Begins to replicate to an instance that is no member yet, if this member leads. */
  public Output addLearner(String learner, long nowMillis) {
    Output out = new Output();
    if (role == Role.LEADER && !learner.equals(id) && !followers.containsKey(learner)) {
      Progress p = new Progress(log.lastIndex() + 1, nowMillis);
      followers.put(learner, p);
      replicate(learner, p, nowMillis, out);
    }
    return out;
  }

  /** Changes the group as the policy says, if this member leads and no change is pending. */
  public Output adjustGroup(GroupPolicy policy, long nowMillis) {
    Output out = new Output();
    boolean settled =
        role == Role.LEADER
            && namedGroup.isEmpty()
            && log.commitIndex() >= termStartIndex
            && !log.groupChangePending();
    if (!settled) {
      return out;
    }
    followers
        .entrySet()
        .removeIf(
            f ->
                !group().contains(f.getKey())
                    && nowMillis - f.getValue().lastHeardMillis > LEARNER_PATIENCE_MILLIS);
    policy
        .next(group(), followerViews(nowMillis))
        .ifPresent(
            members -> {
              log.append(hardState.term(), new Command.GroupChange(members));
              replicateNow(nowMillis, out);
              advanceCommit(nowMillis, out);
            });
    return out;
  }

  private List<FollowerView> followerViews(long nowMillis) {
    return followers.entrySet().stream()
        .map(
            f ->
                new FollowerView(
                    f.getKey(),
                    nowMillis - f.getValue().lastHeardMillis,
                    f.getValue().matchIndex >= log.commitIndex(),
                    f.getValue().voter))
        .toList();
  }

  /**
   * Returns whether this member is in touch with a majority: it leads and hears a quorum, or it has
   * heard such a leader within an election timeout.
   */
  public boolean inMajority(long nowMillis) {
    return role == Role.LEADER ? hearsQuorum(nowMillis) : leaderIsAlive(nowMillis);
  }

  /** Takes a message from another member. */
  public Output receive(String from, ConsensusMessage message, long nowMillis) {
    Output out = new Output();
    boolean raisesTerm =
        !(message instanceof ConsensusMessage.VoteRequest v && v.preVote())
            && !(message instanceof ConsensusMessage.VoteResponse r && r.preVote() && r.granted());
    if (message instanceof ConsensusMessage.VoteRequest && leaderIsAlive(nowMillis)) {
      return out;
    }
    if (raisesTerm && message.term() > hardState.term()) {
      follow(message.term(), Optional.empty(), nowMillis, out);
    }
    if (message instanceof ConsensusMessage.VoteRequest request) {
      answerVote(from, request, nowMillis, out);
    } else if (message instanceof ConsensusMessage.VoteResponse response) {
      countVote(from, response, nowMillis, out);
    } else if (message instanceof ConsensusMessage.AppendRequest request) {
      takeEntries(from, request, nowMillis, out);
    } else if (message instanceof ConsensusMessage.SnapshotRequest request) {
      takeSnapshot(from, request, nowMillis, out);
    } else if (message instanceof ConsensusMessage.AppendResponse response) {
      takeResponse(from, response, nowMillis, out);
    }
    return out;
  }

  private boolean leaderIsAlive(long nowMillis) {
    return role == Role.LEADER
        || leader.isPresent() && nowMillis - leaderHeardMillis < timing.electionMillis();
  }

  private void restartElectionTimer(long nowMillis) {
    electionDueMillis =
        nowMillis + random.nextLong(timing.electionMillis(), 2 * timing.electionMillis());
  }

  private void save(HardState next) {
    if (!next.equals(hardState)) {
      storage.save(next);
      hardState = next;
    }
  }

  private void follow(long term, Optional<String> newLeader, long nowMillis, Output out) {
    if (term > hardState.term()) {
      save(hardState.withVote(term, Optional.empty()));
    }
    if (role != Role.FOLLOWER) {
      restartElectionTimer(nowMillis);
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    votes.clear();
    followers.clear();
    waiting.forEach(w -> out.decide(w.ticket(), new ChangeResult.Unknown()));
    waiting.clear();
  }

  private void startPreVote(long nowMillis, Output out) {
    role = Role.PRE_CANDIDATE;
    leader = Optional.empty();
    askForVotes(hardState.term() + 1, true, nowMillis, out);
  }

  private void startCampaign(long nowMillis, Output out) {
    role = Role.CANDIDATE;
    save(hardState.withVote(hardState.term() + 1, Optional.of(id)));
    restartElectionTimer(nowMillis);
    askForVotes(hardState.term(), false, nowMillis, out);
  }

  private void askForVotes(long term, boolean preVote, long nowMillis, Output out) {
    votes.clear();
    votes.add(id);
    for (String member : others()) {
      out.send(
          member, new ConsensusMessage.VoteRequest(term, log.lastIndex(), log.lastTerm(), preVote));
    }
    countedVotes(nowMillis, out);
  }

  private void countedVotes(long nowMillis, Output out) {
    if (votes.stream().filter(group()::contains).count() < quorum()) {
      return;
    }
    if (role == Role.PRE_CANDIDATE) {
      startCampaign(nowMillis, out);
    } else if (role == Role.CANDIDATE) {
      lead(nowMillis, out);
    }
  }

  private void answerVote(
      String from, ConsensusMessage.VoteRequest request, long nowMillis, Output out) {
    boolean eligible = hardState.voter() && log.coveredBy(request.lastTerm(), request.lastIndex());
    if (request.preVote()) {
      boolean granted = eligible && request.term() > hardState.term();
      long term = granted ? request.term() : hardState.term();
      if (granted) {
        giveWay(from, request, nowMillis);
      }
      out.send(from, new ConsensusMessage.VoteResponse(term, granted, true));
      return;
    }
    boolean free = hardState.votedFor().map(from::equals).orElse(true);
    boolean granted = eligible && request.term() == hardState.term() && free;
    if (granted) {
      save(hardState.withVote(hardState.term(), Optional.of(from)));
      restartElectionTimer(nowMillis);
    }
    out.send(from, new ConsensusMessage.VoteResponse(hardState.term(), granted, false));
  }

  /**
   * Lets another member that may win campaign first, since two candidates in one term split the
   * vote. A member that only waits holds back its own campaign; of two that ask at once with equal
   * logs, the one later by name stops asking. With two of five disks lost and 55 ms one way, a
   * group that starts has a leader after 0.86 s in 99 of 100 simulated starts, before after 2.0 s;
   * one that loses its leader has another after 1.6 s, before after 3.4 s.
   */
  private void giveWay(String from, ConsensusMessage.VoteRequest request, long nowMillis) {
    boolean equalLogs =
        request.lastTerm() == log.lastTerm() && request.lastIndex() == log.lastIndex();
    boolean outranked = !equalLogs || from.compareTo(id) < 0;
    if (role == Role.PRE_CANDIDATE && outranked) {
      role = Role.FOLLOWER;
      votes.clear();
    }
    if (role == Role.FOLLOWER) {
      electionDueMillis =
          Math.max(electionDueMillis, nowMillis + timing.electionMillis() / GIVE_WAY_SHARE);
    }
  }

  private void countVote(
      String from, ConsensusMessage.VoteResponse response, long nowMillis, Output out) {
    boolean expected =
        response.preVote()
            ? role == Role.PRE_CANDIDATE && response.term() == hardState.term() + 1
            : role == Role.CANDIDATE && response.term() == hardState.term();
    if (expected && response.granted()) {
      votes.add(from);
      countedVotes(nowMillis, out);
    }
  }

  private void lead(long nowMillis, Output out) {
    role = Role.LEADER;
    leader = Optional.of(id);
    votes.clear();
    for (String member : others()) {
      followers.put(member, new Progress(log.lastIndex() + 1, nowMillis));
    }
    Command first = namedGroup.isEmpty() ? new Command.GroupChange(group()) : new Command.Noop();
    termStartIndex = log.append(hardState.term(), first).index();
    replicateNow(nowMillis, out);
    advanceCommit(nowMillis, out);
  }

  private boolean hearsQuorum(long nowMillis) {
    long heard =
        others().stream()
            .map(followers::get)
            .filter(p -> p != null && nowMillis - p.lastHeardMillis < 2 * timing.electionMillis())
            .count();
    return heard + 1 >= quorum();
  }

  private void replicateNow(long nowMillis, Output out) {
    followers.forEach(
        (member, p) -> {
          if (!p.awaitingResponse) {
            replicate(member, p, nowMillis, out);
          }
        });
  }

  private void replicateWhenDue(String member, Progress p, long nowMillis, Output out) {
    long pauseMillis =
        p.nextIndex < log.firstIndex() ? timing.electionMillis() : timing.heartbeatMillis();
    if (nowMillis - p.lastSentMillis >= pauseMillis) {
      replicate(member, p, nowMillis, out);
    }
  }

  private void replicate(String member, Progress p, long nowMillis, Output out) {
    p.awaitingResponse = true;
    p.lastSentMillis = nowMillis;
    p.sentCommitIndex = log.commitIndex();
    if (p.nextIndex < log.firstIndex()) {
      out.send(member, new ConsensusMessage.SnapshotRequest(hardState.term(), log.snapshot()));
      return;
    }
    long previous = p.nextIndex - 1;
    out.send(
        member,
        new ConsensusMessage.AppendRequest(
            hardState.term(),
            previous,
            log.termAt(previous),
            log.from(p.nextIndex, ENTRIES_PER_MESSAGE),
            log.commitIndex(),
            p.session));
  }

  private void heardLeader(String from, long nowMillis, Output out) {
    follow(hardState.term(), Optional.of(from), nowMillis, out);
    leaderHeardMillis = nowMillis;
    restartElectionTimer(nowMillis);
  }

  private void takeEntries(
      String from, ConsensusMessage.AppendRequest request, long nowMillis, Output out) {
    if (request.term() < hardState.term()) {
      respond(from, false, log.lastIndex(), out);
      return;
    }
    heardLeader(from, nowMillis, out);
    boolean matches =
        request.previousIndex() <= log.commitIndex()
            || log.termAt(request.previousIndex()) == request.previousTerm();
    if (!matches) {
      respond(from, false, Math.min(log.lastIndex(), request.previousIndex() - 1), out);
      return;
    }
    log.merge(request.entries());
    long matchIndex = request.previousIndex() + request.entries().size();
    commit(Math.min(request.commitIndex(), matchIndex), out);
    if (request.echoedSession() == session) {
      noteCaughtUp(request.commitIndex());
    }
    respond(from, true, matchIndex, out);
  }

  private void takeSnapshot(
      String from, ConsensusMessage.SnapshotRequest request, long nowMillis, Output out) {
    if (request.term() < hardState.term()) {
      respond(from, false, log.lastIndex(), out);
      return;
    }
    heardLeader(from, nowMillis, out);
    log.install(request.snapshot());
    becomeVoterIfReadmitted();
    respond(from, true, request.snapshot().lastIndex(), out);
  }

  private void respond(String to, boolean accepted, long matchIndex, Output out) {
    out.send(
        to,
        new ConsensusMessage.AppendResponse(
            hardState.term(),
            accepted,
            matchIndex,
            hardState.storageId(),
            hardState.voter(),
            session));
  }

  private void takeResponse(
      String from, ConsensusMessage.AppendResponse response, long nowMillis, Output out) {
    Progress p = followers.get(from);
    if (role != Role.LEADER || p == null || response.term() < hardState.term()) {
      return;
    }
    Optional<String> registered = log.lastRegistrationOf(from);
    boolean sameStorage = registered.map(response.storageId()::equals).orElse(response.voter());
    if (response.voter() && !sameStorage) {
      return;
    }
    p.lastHeardMillis = nowMillis;
    p.awaitingResponse = false;
    p.voter = response.voter();
    p.session = response.session();
    if (response.accepted()) {
      p.matchIndex = Math.max(p.matchIndex, response.matchIndex());
      p.nextIndex = p.matchIndex + 1;
    } else {
      p.nextIndex = Math.max(1, Math.min(p.nextIndex - 1, response.matchIndex() + 1));
      p.matchIndex = Math.min(p.matchIndex, p.nextIndex - 1);
    }
    if (!sameStorage) {
      log.append(hardState.term(), new Command.StorageRegistration(from, response.storageId()));
    }
    advanceCommit(nowMillis, out);
    boolean behind = p.nextIndex <= log.lastIndex() || p.sentCommitIndex < log.commitIndex();
    if (!p.awaitingResponse && behind) {
      replicate(from, p, nowMillis, out);
    }
  }

  /** Commits what a quorum of voters holds, once an entry of this term is among it. */
  private void advanceCommit(long nowMillis, Output out) {
    long[] held =
        java.util.stream.LongStream.concat(
                java.util.stream.LongStream.of(log.lastIndex()),
                others().stream()
                    .map(followers::get)
                    .mapToLong(p -> p != null && p.voter ? p.matchIndex : 0))
            .sorted()
            .toArray();
    long quorumIndex = held.length < quorum() ? 0 : held[held.length - quorum()];
    if (quorumIndex > log.commitIndex() && log.termAt(quorumIndex) == hardState.term()) {
      commit(quorumIndex, out);
      noteCaughtUp(quorumIndex);
      replicateNow(nowMillis, out);
    }
    resolveWaiting(out);
  }

  private void commit(long index, Output out) {
    out.commit(log.commitTo(index));
    becomeVoterIfReadmitted();
    log.compactOver(timing.compactAfterEntries());
  }

  private void noteCaughtUp(long leaderCommitIndex) {
    caughtUp |=
        log.commitIndex() >= leaderCommitIndex && log.termAt(log.commitIndex()) == hardState.term();
  }

  private void becomeVoterIfReadmitted() {
    String registered = log.state().storageIdByMember().get(id);
    if (!hardState.voter() && hardState.storageId().equals(registered)) {
      save(hardState.asVoter());
    }
  }

  private void decideAt(long ticket, long index, ChangeResult result) {
    waiting.add(new Waiting(ticket, index, result));
  }

  private void resolveWaiting(Output out) {
    for (Iterator<Waiting> it = waiting.iterator(); it.hasNext(); ) {
      Waiting w = it.next();
      if (w.index() <= log.commitIndex()) {
        out.decide(w.ticket(), w.resultOnCommit());
        it.remove();
      }
    }
  }
}
