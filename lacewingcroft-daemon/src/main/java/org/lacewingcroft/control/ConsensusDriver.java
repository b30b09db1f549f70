package org.lacewingcroft.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.LogEntry;
import org.lacewingcroft.consensus.Output;

/**
 * Runs a {@link ConsensusMember} on a single thread, to which the member and its files are
 * confined: calls its tick periodically, passes it messages and proposals, and carries out the
 * output of each step.
 *
 * <p>A step that throws, as after a failed write or sync, stops the driver permanently: the state
 * of the file is then unknown, so the member must not acknowledge anything more. {@code
 * onDiskFailure} is called in that case.
 */
final class ConsensusDriver implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ConsensusDriver.class.getName());
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;

  /** Receives the results of each step; called on the driver's thread. */
  interface Listener {
    /** Sends a message to another member. */
    void send(String to, ConsensusMessage message);

    /** Called after each step with the member and the entries that the step committed. */
    void onStep(ConsensusMember member, List<LogEntry> committed);
  }

  /** A call that makes a proposal to the member. */
  interface Proposal {
    /** Makes the proposal; its decision is reported under the given id. */
    Output propose(long proposalId, long nowMillis);
  }

  private final ConsensusMember member;
  private final DurableLog log;
  private final Listener listener;
  private final Consumer<Throwable> onDiskFailure;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread t = new Thread(task, "control-log");
            t.setDaemon(true);
            return t;
          });
  private final Map<Long, Promise<ChangeResult>> pendingProposals = new ConcurrentHashMap<>();
  private final AtomicLong nextProposalId = new AtomicLong();

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

  /** Returns the time of the monotonic clock, in milliseconds. */
  static long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Starts calling {@link ConsensusMember#tick} periodically. */
  void start() {
    scheduleRepeatedly(TICK_INTERVAL_MILLIS, member::tick);
  }

  /** Runs a step repeatedly, with a fixed delay between the runs. */
  void scheduleRepeatedly(long periodMillis, LongFunction<Output> action) {
    executor.scheduleWithFixedDelay(
        () -> step(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  /** Queues a step; returns false if the driver is closed or has stopped. */
  boolean enqueue(LongFunction<Output> action) {
    try {
      executor.execute(() -> step(action));
      return true;
    } catch (RejectedExecutionException stopped) {
      return false;
    }
  }

  /**
   * Submits a proposal to the member. It is decided within the timeout also if the driver's thread
   * waits for the disk, or stops before the proposal is made.
   *
   * @param timeout maximum wait for the decision
   * @return the decision; {@link ChangeResult.Unknown} after the timeout, {@link
   *     ChangeResult.NotLeader} if the driver is closed or has stopped
   */
  Future<ChangeResult> propose(Proposal proposal, Duration timeout) {
    Promise<ChangeResult> promise = Promise.promise();
    long proposalId = nextProposalId.getAndIncrement();
    pendingProposals.put(proposalId, promise);
    if (enqueue(now -> proposal.propose(proposalId, now))) {
      CompletableFuture.delayedExecutor(timeout.toMillis(), TimeUnit.MILLISECONDS, Runnable::run)
          .execute(() -> completeProposal(proposalId, new ChangeResult.Unknown()));
    } else {
      completeProposal(proposalId, new ChangeResult.NotLeader(Optional.empty()));
    }
    return promise.future();
  }

  private void step(LongFunction<Output> action) {
    ConsensusMember.Role roleBefore = member.role();
    long termBefore = member.term();
    try {
      Output output = action.apply(monotonicMillis());
      output.messages().forEach(m -> listener.send(m.to(), m.message()));
      listener.onStep(member, output.committed());
      output.decisions().forEach(d -> completeProposal(d.proposalId(), d.result()));
    } catch (RuntimeException | Error e) {
      // The executor would keep an error to itself and no longer run the periodic steps.
      LOG.log(System.Logger.Level.ERROR, "control.stopped", e);
      executor.shutdownNow();
      closeLog();
      pendingProposals.keySet().forEach(id -> completeProposal(id, new ChangeResult.Unknown()));
      onDiskFailure.accept(e);
      return;
    }
    if (member.role() != roleBefore || member.term() != termBefore) {
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

  private void completeProposal(long proposalId, ChangeResult result) {
    Promise<ChangeResult> promise = pendingProposals.remove(proposalId);
    if (promise != null) {
      promise.tryComplete(result);
    }
  }

  /** Stops a driver that has not been started. */
  void shutdown() {
    executor.shutdown();
    closeLog();
  }

  @Override
  public void close() throws IOException, InterruptedException {
    executor.shutdown();
    if (!executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      executor.shutdownNow();
    }
    log.close();
  }
}
