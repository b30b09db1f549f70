package org.lacewingcroft.control;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.Command;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.ConsensusTiming;
import org.lacewingcroft.consensus.GroupPolicy;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.RoutingState;

/**
 * The control group of a fleet: replicates the routing document and the evacuations over instances
 * whose number is not told beforehand. The founders are the first start's seeds; the group then
 * grows and replaces members as {@link GroupPolicy} decides. Members are named by their peer
 * addresses.
 */
public final class RoutingControl implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(RoutingControl.class.getName());

  /** How often the group's membership is looked at. */
  private static final long ADJUST_MILLIS = 200;

  /**
   * Silence after which an instance that stands by may take a member's place: longer than an
   * election, shorter than the time in which a replacement must be of use.
   */
  private static final long REPLACE_AFTER_MILLIS = 1_800;

  private final ConsensusMember member;
  private final ConsensusDriver driver;
  private volatile View view;

  /**
   * The group as this instance sees it.
   *
   * @param routing the committed routing state
   * @param inMajority whether a majority of the group is in touch
   * @param leader the leader, if known
   * @param members the group's members
   * @param term the current term
   */
  public record View(
      RoutingState routing,
      boolean inMajority,
      Optional<String> leader,
      Set<String> members,
      long term) {

    /** Returns the view of an instance whose data folder failed: it knows nothing newer. */
    private View outOfTouch() {
      return new View(routing, false, Optional.empty(), members, term);
    }
  }

  /**
   * Opens the log and begins to take part.
   *
   * @param self this instance's peer address
   * @param dataDir the data folder
   * @param founders the founding members if this is one of them on the first start, else empty
   * @param toleratedLosses how many members may be lost at once
   * @param send carries a message to a member
   * @param onRouting told of each newer routing state, on the group's thread
   * @param onDiskFailure called once, on the group's thread, if the data folder fails; this object
   *     then takes no part any more and its data folder may be opened again
   * @throws IOException if the log cannot be opened
   */
  public RoutingControl(
      String self,
      Path dataDir,
      Set<String> founders,
      int toleratedLosses,
      BiConsumer<String, ConsensusMessage> send,
      Consumer<RoutingState> onRouting,
      Consumer<Throwable> onDiskFailure)
      throws IOException {
    this(
        self,
        DurableLog.openFounded(dataDir, founders),
        toleratedLosses,
        send,
        onRouting,
        onDiskFailure);
  }

  RoutingControl(
      String self,
      DurableLog log,
      int toleratedLosses,
      BiConsumer<String, ConsensusMessage> send,
      Consumer<RoutingState> onRouting,
      Consumer<Throwable> onDiskFailure) {
    member =
        new ConsensusMember(
            self,
            List.of(),
            ConsensusTiming.DEFAULT,
            log,
            new SplittableRandom(),
            ConsensusDriver.steadyMillis());
    view = viewOf(member);
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
    driver =
        new ConsensusDriver(
            member,
            log,
            new ConsensusDriver.Listener() {
              @Override
              public void send(String to, ConsensusMessage message) {
                send.accept(to, message);
              }

              @Override
              public void stepped(ConsensusMember stepped, List<LogEntry> committed) {
                publish(committed, onRouting);
              }
            },
            failure -> {
              view = view.outOfTouch();
              onDiskFailure.accept(failure);
            });
    driver.start();
    GroupPolicy policy = new GroupPolicy(2 * toleratedLosses + 1, REPLACE_AFTER_MILLIS);
    driver.every(ADJUST_MILLIS, now -> member.adjustGroup(policy, now));
  }

  private static View viewOf(ConsensusMember member) {
    return new View(
        member.state().routing(),
        member.inMajority(ConsensusDriver.steadyMillis()),
        member.leader(),
        member.group(),
        member.term());
  }

  private void publish(List<LogEntry> committed, Consumer<RoutingState> onRouting) {
    View before = view;
    view = viewOf(member);
    committed.forEach(RoutingControl::logCommitted);
    if (view.routing().revision() > before.routing().revision()) {
      onRouting.accept(view.routing());
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

  /** Returns the group as of the last step. */
  public View view() {
    return view;
  }

  /** Takes a message of another member. */
  public void receive(String from, ConsensusMessage message) {
    driver.later(now -> member.receive(from, message, now));
  }

  /** Begins to replicate to an instance that is no member, if this one leads. */
  public void admit(String learner) {
    if (!view.members().contains(learner)) {
      driver.later(now -> member.addLearner(learner, now));
    }
  }

  /** Submits a command; see {@link ConsensusMember#submit}. */
  public Future<ChangeResult> submit(Command command, Duration patience) {
    return driver.propose((ticket, now) -> member.submit(ticket, command, now), patience);
  }

  @Override
  public void close() throws IOException, InterruptedException {
    driver.close();
  }
}
