package org.lacewingcroft.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.Output;

/**
 * Runs a {@link ConsensusMember} on one thread that owns it and its files: lets time pass, feeds it
 * messages and proposals, and carries out what each step asks for.
 *
 * <p>A failed write or sync stops the driver for good: the file's state is then unknown, so the
 * member must not acknowledge anything more. {@code onDiskFailure} is told.
 */
final class ConsensusDriver implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ConsensusDriver.class.getName());
  private static final long TICK_MILLIS = 20;
  private static final long CLOSE_SECONDS = 5;

  /** What the driver's owner does with a step's results; called on the driver's thread. */
  interface Listener {
    /** Sends a message to another member. */
    void send(String to, ConsensusMessage message);

    /** Notes the member's state after a step. */
    void stepped(ConsensusMember member, List<LogEntry> committed);
  }

  /** A proposal to the member. */
  interface Proposal {
    /** Makes the proposal under a ticket. */
    Output propose(long ticket, long nowMillis);
  }

  private final ConsensusMember member;
  private final DurableLog log;
  private final Listener listener;
  private final Consumer<Throwable> onDiskFailure;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread t = new Thread(task, "control-log");
            t.setDaemon(true);
            return t;
          });
  private final Map<Long, Promise<ChangeResult>> waiting = new HashMap<>();
  private long nextTicket;

  ConsensusDriver(
      ConsensusMember member,
      DurableLog log,
      Listener listener,
      Consumer<Throwable> onDiskFailure) {
    this.member = member;
    this.log = log;
    this.listener = listener;
    this.onDiskFailure = onDiskFailure;
  }

  static long steadyMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Begins to let time pass. */
  void start() {
    every(TICK_MILLIS, member::tick);
  }

  /** Repeats a step. */
  void every(long periodMillis, LongFunction<Output> action) {
    thread.scheduleWithFixedDelay(
        () -> step(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs a step soon; returns whether the driver still runs. */
  boolean later(LongFunction<Output> action) {
    try {
      thread.execute(() -> step(action));
      return true;
    } catch (RejectedExecutionException stopped) {
      return false;
    }
  }

  /**
   * Makes a proposal.
   *
   * @param patience how long to wait for its decision
   * @return the decision; {@link ChangeResult.Unknown} once the patience is over
   */
  Future<ChangeResult> propose(Proposal proposal, Duration patience) {
    Promise<ChangeResult> promise = Promise.promise();
    boolean taken =
        later(
            now -> {
              long ticket = nextTicket++;
              waiting.put(ticket, promise);
              thread.schedule(
                  () -> decide(ticket, new ChangeResult.Unknown()),
                  patience.toMillis(),
                  TimeUnit.MILLISECONDS);
              return proposal.propose(ticket, now);
            });
    if (!taken) {
      promise.complete(new ChangeResult.NotLeader(Optional.empty()));
    }
    return promise.future();
  }

  private void step(LongFunction<Output> action) {
    ConsensusMember.Role before = member.role();
    long termBefore = member.term();
    try {
      Output out = action.apply(steadyMillis());
      out.messages().forEach(m -> listener.send(m.to(), m.message()));
      listener.stepped(member, out.committed());
      out.decisions().forEach(d -> decide(d.proposalId(), d.result()));
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "control.stopped", e);
      thread.shutdownNow();
      closeLog();
      waiting.values().forEach(p -> p.tryComplete(new ChangeResult.Unknown()));
      onDiskFailure.accept(e);
      return;
    }
    if (member.role() != before || member.term() != termBefore) {
      LOG.log(
          System.Logger.Level.INFO,
          "control.role",
          "role",
          member.role(),
          "term",
          member.term(),
          "leader",
          member.leader().orElse("none"));
    }
  }

  private void closeLog() {
    try {
      log.close();
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "control.log_not_closed", e);
    }
  }

  private void decide(long ticket, ChangeResult result) {
    Promise<ChangeResult> promise = waiting.remove(ticket);
    if (promise != null) {
      promise.tryComplete(result);
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    thread.shutdown();
    if (!thread.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)) {
      thread.shutdownNow();
    }
    log.close();
  }
}
