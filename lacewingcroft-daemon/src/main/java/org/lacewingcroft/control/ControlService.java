package org.lacewingcroft.control;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lacewingcroft.config.ConfigPatch;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConfigState;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;

/**
 * The control role of a daemon: runs this instance's {@link ConsensusMember}, sends its messages
 * over the peer transport, and activates each committed configuration in the {@link ConfigStore}.
 */
public final class ControlService implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ControlService.class.getName());

  private final String nodeId;
  private final ConfigStore configs;
  private final Membership membership;
  private final Consumer<Throwable> onError;
  private final MemberHost host;
  private volatile Status status = Status.UNKNOWN;

  /**
   * The state of the control role as reported to operators.
   *
   * @param role follower, candidate or leader
   * @param leader the leader, if known
   * @param term the current term, which is also the fencing token of the leader's orders
   * @param commitIndex the last log index known to be committed
   * @param version the committed configuration version
   * @param voter false while the data folder is new and the group has not readmitted it
   * @param caughtUp false after the start until the newest committed version is known
   */
  public record Status(
      ConsensusMember.Role role,
      Optional<String> leader,
      long term,
      long commitIndex,
      long version,
      boolean voter,
      boolean caughtUp) {
    private static final Status UNKNOWN =
        new Status(ConsensusMember.Role.FOLLOWER, Optional.empty(), 0, 0, 0, false, false);

    /** Returns this status for an instance that takes no part in the group. */
    private Status detached() {
      return new Status(
          ConsensusMember.Role.FOLLOWER,
          Optional.empty(),
          term,
          commitIndex,
          version,
          false,
          false);
    }

    /**
     * Returns whether a daemon that holds the given version may present it as the active one: the
     * newest committed version is known, and the daemon has activated it.
     */
    public boolean isCurrent(long heldVersion) {
      return caughtUp && heldVersion >= version;
    }
  }

  /**
   * Opens the log in the data folder and recovers it, now or as soon as the data folder can be
   * used. The member takes part in the group only after {@link #start}.
   *
   * @param group the node ids of the control group, including this one
   * @param dataDir the data folder
   * @param bootstrap true only on the deployment's first start
   * @param configs the daemon's configuration, updated from the committed log
   * @param membership the membership, used to look up and send to the other members
   * @param onError called if the member stops for another reason than its data folder
   */
  public ControlService(
      List<String> group,
      Path dataDir,
      boolean bootstrap,
      ConfigStore configs,
      Membership membership,
      Consumer<Throwable> onError) {
    this.nodeId = membership.self().nodeId();
    this.configs = configs;
    this.membership = membership;
    this.onError = onError;
    this.host =
        new MemberHost(
            nodeId,
            group,
            dataDir,
            () -> DurableLog.open(dataDir, bootstrap),
            () -> DurableLog.open(dataDir, /* bootstrap= */ false),
            new HostListener());
  }

  /** Starts taking part in the group. */
  public void start() {
    host.start();
  }

  /** Returns whether this member is the leader of its group; may be called from any thread. */
  public boolean isLeader() {
    return status.leader().filter(nodeId::equals).isPresent();
  }

  /** Returns the state after the last step. */
  public Status status() {
    return status;
  }

  /** Returns whether this instance can use its data folder. */
  public StorageState storage() {
    return host.storage();
  }

  /** Passes a message of another member to this one. */
  public void receive(String from, ConsensusMessage message) {
    host.receive(from, message);
  }

  /**
   * Proposes an operator's change.
   *
   * @param change the change, already validated
   * @param expectedVersion the version the change is based on
   * @param timeout maximum wait for a quorum
   * @return the outcome; {@link ChangeResult.Unknown} after the timeout
   */
  public Future<ChangeResult> propose(
      Command.Change change, long expectedVersion, Duration timeout) {
    return host.propose(
        (member, proposalId, now) -> member.propose(proposalId, change, expectedVersion, now),
        timeout);
  }

  private final class HostListener implements MemberHost.Listener {
    @Override
    public void send(String to, ConsensusMessage message) {
      membership
          .addressOf(to)
          .ifPresent(a -> membership.send(a, new PeerMessage.Consensus(nodeId, message)));
    }

    @Override
    public void onAttached(ConsensusMember member) {
      applyCommitted(member, List.of());
      LOG.log(
          System.Logger.Level.INFO,
          "control.recovered",
          "lastIndex",
          member.lastIndex(),
          "version",
          member.state().version(),
          "term",
          member.term(),
          "voter",
          member.voter());
    }

    @Override
    public void onStep(ConsensusMember member, List<LogEntry> committed) {
      applyCommitted(member, committed);
      committed.forEach(entry -> logCommitted(member, entry));
    }

    @Override
    public void onDetached(Throwable cause) {
      status = status.detached();
      if (!(cause instanceof IOException || cause instanceof UncheckedIOException)) {
        onError.accept(cause);
      }
    }
  }

  /**
   * Updates the status and activates the committed configuration in this daemon, which then
   * notifies its peers.
   */
  private void applyCommitted(ConsensusMember member, List<LogEntry> committed) {
    ConfigState state = member.state();
    status =
        new Status(
            member.role(),
            member.leader(),
            member.term(),
            member.commitIndex(),
            state.version(),
            member.voter(),
            member.caughtUp());
    if (!member.caughtUp() || state.version() <= configs.current().version()) {
      return;
    }
    for (LogEntry entry : committed) {
      if (entry.command() instanceof Command.PatchChange change) {
        configs.offerPatches(entry.version() - 1, List.of(ConfigPatch.parse(change.patch())));
      }
    }
    if (state.version() > configs.current().version()) {
      configs.offer(state.version(), state.document().text());
    }
  }

  private static void logCommitted(ConsensusMember member, LogEntry entry) {
    if (entry.command() instanceof Command.Change change
        && member.role() == ConsensusMember.Role.LEADER) {
      LOG.log(
          System.Logger.Level.INFO,
          "config.accepted",
          "change",
          change.changeId(),
          "version",
          entry.version(),
          "term",
          entry.term());
    } else if (entry.command() instanceof Command.StorageRegistration registration) {
      LOG.log(
          System.Logger.Level.INFO,
          "control.member_readmitted",
          "member",
          registration.memberId(),
          "storage",
          registration.storageId());
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    host.close();
  }
}
