package org.lacewingcroft.control;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.GroupPolicy;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.RoutingState;
import org.lacewingcroft.misc.ClockReadings;

/**
 * The control group of a fleet: replicates the routing document and the evacuations over a number
 * of instances that is not configured in advance. The founding members are the seeds of the first
 * start; the group then grows and replaces members as {@link GroupPolicy} decides. Members are
 * identified by their peer addresses.
 */
public final class RoutingControl implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(RoutingControl.class.getName());

  /** Interval between checks whether the members of the group must change. */
  private static final long ADJUST_INTERVAL_MILLIS = 200;

  /**
   * Time for which a member must be unresponsive before a standby instance may replace it: longer
   * than an election, shorter than the time within which a replacement must take effect.
   */
  private static final long REPLACE_AFTER_MILLIS = 1_800;

  private final MemberHost host;
  private final Supplier<ClockReadings> clocks;
  private volatile ClockReadings lastReadings;

  /**
   * When a suspension of the machine was last detected, by the monotonic clock. Messages received
   * before it may be older than that clock shows.
   */
  private volatile long clocksDivergedAtMillis = Long.MIN_VALUE;

  private volatile View view = View.UNKNOWN;

  /**
   * The state of the group as known to this instance.
   *
   * @param routing the committed routing state; the last one shown, or an empty one, until the
   *     committed state is known to be current
   * @param currentAtMillis when {@code routing} was last known to be current, by the monotonic
   *     clock; empty until it is known for a time after this instance's start
   * @param inMajority whether this instance is connected to a majority of the group
   * @param leader the leader, if known
   * @param members the group's members
   * @param term the current term
   */
  public record View(
      RoutingState routing,
      OptionalLong currentAtMillis,
      boolean inMajority,
      Optional<String> leader,
      Set<String> members,
      long term) {
    private static final View UNKNOWN =
        new View(RoutingState.EMPTY, OptionalLong.empty(), false, Optional.empty(), Set.of(), 0);

    /** Returns whether {@code routing} has been current at any time since this instance started. */
    public boolean hasCaughtUp() {
      return currentAtMillis.isPresent();
    }

    /**
     * Returns this view without a leader, a majority and a current state, for an instance whose
     * data folder has failed and which therefore receives no newer state.
     */
    private View disconnected() {
      return new View(routing, OptionalLong.empty(), false, Optional.empty(), members, term);
    }
  }

  /**
   * Opens the log and starts taking part in the group, now or as soon as the data folder can be
   * used.
   *
   * @param self this instance's peer address
   * @param dataDir the data folder
   * @param founders the founding members if this instance is one of them on the first start,
   *     otherwise empty
   * @param toleratedFailures how many members may fail at the same time
   * @param send sends a message to a member
   * @param onRouting receives each newer routing state, on the driver's thread
   */
  public RoutingControl(
      String self,
      Path dataDir,
      Set<String> founders,
      int toleratedFailures,
      BiConsumer<String, ConsensusMessage> send,
      Consumer<RoutingState> onRouting) {
    this(
        self,
        dataDir,
        founders,
        toleratedFailures,
        send,
        onRouting,
        DurableFile.FORCE_TO_DISK,
        RoutingControl::systemClocks);
  }

  RoutingControl(
      String self,
      Path dataDir,
      Set<String> founders,
      int toleratedFailures,
      BiConsumer<String, ConsensusMessage> send,
      Consumer<RoutingState> onRouting,
      DurableFile.Sync sync,
      Supplier<ClockReadings> clocks) {
    this.clocks = clocks;
    this.lastReadings = clocks.get();
    host =
        new MemberHost(
            self,
            List.of(),
            dataDir,
            () -> DurableLog.openWithFounders(dataDir, founders, sync),
            () -> DurableLog.openWithFounders(dataDir, Set.of(), sync),
            new MemberHost.Listener() {
              @Override
              public void send(String to, ConsensusMessage message) {
                send.accept(to, message);
              }

              @Override
              public void onAttached(ConsensusMember member) {
                view = viewOf(member, view.routing());
                logRecovered(member);
              }

              @Override
              public void onStep(ConsensusMember member, List<LogEntry> committed) {
                publish(member, committed, onRouting);
              }

              @Override
              public void onDetached(Throwable cause) {
                view = view.disconnected();
              }
            });
    GroupPolicy policy = new GroupPolicy(2 * toleratedFailures + 1, REPLACE_AFTER_MILLIS);
    host.scheduleRepeatedly(
        ADJUST_INTERVAL_MILLIS, (member, now) -> member.adjustGroup(policy, now));
    host.start();
  }

  private static ClockReadings systemClocks() {
    return new ClockReadings(
        Instant.ofEpochMilli(ConsensusDriver.monotonicMillis()), InstantSource.system().instant());
  }

  private void readClocks() {
    ClockReadings now = clocks.get();
    if (!now.agreeSince(lastReadings)) {
      clocksDivergedAtMillis = now.monotonic().toEpochMilli();
      LOG.log(
          System.Logger.Level.WARNING,
          "control.clocks_diverged",
          "monotonic",
          now.elapsedSince(lastReadings),
          "wall",
          Duration.between(lastReadings.wall(), now.wall()));
    }
    lastReadings = now;
  }

  private static void logRecovered(ConsensusMember member) {
    LOG.log(
        System.Logger.Level.INFO,
        "control.recovered",
        "lastIndex",
        member.lastIndex(),
        "term",
        member.term(),
        "voter",
        member.voter(),
        "members",
        member.group());
  }

  /**
   * Returns the view after a step. A member that was recovered from its disk may have missed
   * changes that were acknowledged since, so its state is not shown until it has caught up.
   */
  private static View viewOf(ConsensusMember member, RoutingState lastShown) {
    return new View(
        member.caughtUp() ? member.state().routing() : lastShown,
        member.currentAtMillis(),
        member.inMajority(ConsensusDriver.monotonicMillis()),
        member.leader(),
        member.group(),
        member.term());
  }

  private void publish(
      ConsensusMember member, List<LogEntry> committed, Consumer<RoutingState> onRouting) {
    readClocks();
    View before = view;
    view = viewOf(member, before.routing());
    committed.forEach(RoutingControl::logCommitted);
    if (view.routing().revision() > before.routing().revision()) {
      onRouting.accept(view.routing());
    }
    if (view.hasCaughtUp() && !before.hasCaughtUp()) {
      LOG.log(
          System.Logger.Level.INFO,
          "control.caught_up",
          "revision",
          view.routing().revision(),
          "term",
          view.term());
    }
    if (view.inMajority() != before.inMajority()) {
      LOG.log(
          System.Logger.Level.INFO,
          view.inMajority() ? "control.majority_regained" : "control.majority_lost",
          "leader",
          view.leader().orElse("none"),
          "members",
          view.members());
    }
  }

  private static void logCommitted(LogEntry entry) {
    Command command = entry.command();
    if (command instanceof Command.RoutingChange change) {
      LOG.log(
          System.Logger.Level.INFO,
          "routing.committed",
          "version",
          change.version(),
          "index",
          entry.index(),
          "term",
          entry.term());
    } else if (!(command instanceof Command.Noop)) {
      LOG.log(
          System.Logger.Level.INFO,
          "control.committed",
          "command",
          command,
          "index",
          entry.index(),
          "term",
          entry.term());
    }
  }

  /** Returns the state of the group after the last step. */
  public View view() {
    return view;
  }

  /**
   * Returns whether the state in {@link #view()} is known to have been current at most this long
   * ago, and after the last suspension of the machine.
   */
  public boolean isCurrent(Duration maxAge) {
    OptionalLong currentAtMillis = view.currentAtMillis();
    ClockReadings now = clocks.get();
    return currentAtMillis.isPresent()
        && currentAtMillis.getAsLong() > clocksDivergedAtMillis
        && now.monotonic().toEpochMilli() - currentAtMillis.getAsLong() < maxAge.toMillis()
        && now.agreeSince(lastReadings);
  }

  /** Returns whether this instance can use its data folder. */
  public StorageState storage() {
    return host.storage();
  }

  /** Passes a message of another member to this one. */
  public void receive(String from, ConsensusMessage message) {
    host.receive(from, message);
  }

  /** Starts replicating to an instance that is not a member, if this instance is the leader. */
  public void admit(String learner) {
    if (!view.members().contains(learner)) {
      host.enqueue((member, now) -> member.addLearner(learner, now));
    }
  }

  /** Submits a command; see {@link ConsensusMember#submit}. */
  public Future<ChangeResult> submit(Command command, Duration timeout) {
    return host.propose(
        (member, proposalId, now) -> member.submit(proposalId, command, now), timeout);
  }

  @Override
  public void close() throws IOException, InterruptedException {
    host.close();
  }
}
