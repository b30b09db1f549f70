package org.lacewingcroft.control;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lacewingcroft.consensus.ChangeResult;
import org.lacewingcroft.consensus.ConsensusMember;
import org.lacewingcroft.consensus.ConsensusMessage;
import org.lacewingcroft.consensus.ConsensusTiming;
import org.lacewingcroft.consensus.LogLimits;
import org.lacewingcroft.consensus.Output;
import org.lacewingcroft.consensus.QuorumObservation;

/**
 * Runs a {@link ConsensusMember} while its data folder can be used. A folder that cannot be used,
 * at the start or later, ends neither the process nor its other roles:
 *
 * <ul>
 *   <li>If it cannot be read or written, it is opened again at intervals.
 *   <li>If synced data is damaged, its files are set aside and the instance rejoins like one whose
 *       disk was lost, but only once a {@link QuorumObservation} shows a quorum without it. While
 *       there is none, the damaged files may be needed to restore the group.
 *   <li>If a record cannot be decoded, nothing is done: another build can read it.
 * </ul>
 *
 * <p>The methods may be called from any thread.
 */
final class MemberHost implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(MemberHost.class.getName());

  /** Delay before a data folder is opened again after a failure. */
  private static final long REOPEN_DELAY_MILLIS = 1_000;

  private static final long CLOSE_TIMEOUT_SECONDS = 2;

  /**
   * Maximum wait for the first open, several times the duration of an ordinary one. The other roles
   * of an instance start without its member if the disk does not respond.
   */
  private static final long FIRST_OPEN_TIMEOUT_MILLIS = 1_000;

  /** Opens the data folder. */
  interface Opener {
    /**
     * Returns the opened log.
     *
     * @throws IOException if the data folder cannot be used
     */
    DurableLog open() throws IOException;
  }

  /** A step of the member. */
  interface Step {
    /** Runs the step. */
    Output apply(ConsensusMember member, long nowMillis);
  }

  /** A step of the member that makes a proposal. */
  interface Proposal {
    /** Makes the proposal; its decision is reported under the given id. */
    Output propose(ConsensusMember member, long proposalId, long nowMillis);
  }

  /** Receives the results of each step, and the beginning and the end of the member. */
  interface Listener extends ConsensusDriver.Listener {
    /** Called after the member was recovered from the data folder and before its first step. */
    void onAttached(ConsensusMember member);

    /**
     * Called after the member has stopped or could not be recovered, each time that this happens.
     */
    void onDetached(Throwable cause);
  }

  private record Attached(ConsensusMember member, ConsensusDriver driver) {}

  private record RepeatedStep(long periodMillis, Step step) {}

  private final String id;
  private final List<String> group;
  private final Path dataDir;
  private final Listener listener;
  private final List<RepeatedStep> repeatedSteps = new ArrayList<>();
  private final ScheduledExecutorService recovery =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread t = new Thread(task, "control-recovery");
            t.setDaemon(true);
            return t;
          });
  private final Opener laterOpener;
  private Opener opener;
  private boolean failedBefore;
  private QuorumObservation observation = new QuorumObservation(ConsensusTiming.DEFAULT);
  private boolean started;
  private boolean closed;
  private volatile Optional<Attached> attached = Optional.empty();
  private volatile StorageState storage = StorageState.OPENING;

  /**
   * Opens the data folder and recovers the member from it, now or as soon as that is possible. The
   * member takes part in the group only after {@link #start}.
   *
   * @param id the member's id
   * @param group the ids of all members if they are configured, otherwise empty
   * @param dataDir the data folder
   * @param firstOpener opens it until that has succeeded once
   * @param laterOpener opens it afterwards, when an empty folder is one whose disk was lost
   * @param listener receives the results
   */
  MemberHost(
      String id,
      List<String> group,
      Path dataDir,
      Opener firstOpener,
      Opener laterOpener,
      Listener listener) {
    this.id = id;
    this.group = group;
    this.dataDir = dataDir;
    this.opener = firstOpener;
    this.laterOpener = laterOpener;
    this.listener = listener;
    attachInTime();
  }

  private void attachInTime() {
    CompletableFuture<Void> attaching = CompletableFuture.runAsync(this::attach, recovery);
    try {
      attaching.get(FIRST_OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "control.storage_unresponsive",
          "millis",
          FIRST_OPEN_TIMEOUT_MILLIS,
          "folder",
          dataDir);
      attaching.exceptionally(
          error -> {
            onRecoveryThread(() -> detach(error.getCause()));
            return null;
          });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new CompletionException(e.getCause());
    }
  }

  /** Starts taking part in the group. */
  synchronized void start() {
    started = true;
    attached.ifPresent(this::startDriver);
  }

  /** Runs a step repeatedly, with a fixed delay between the runs; called before {@link #start}. */
  synchronized void scheduleRepeatedly(long periodMillis, Step step) {
    repeatedSteps.add(new RepeatedStep(periodMillis, step));
  }

  private void startDriver(Attached running) {
    running.driver().start();
    repeatedSteps.forEach(
        s ->
            running
                .driver()
                .scheduleRepeatedly(
                    s.periodMillis(), now -> s.step().apply(running.member(), now)));
  }

  /** Returns whether the data folder can be used. */
  StorageState storage() {
    return storage;
  }

  /** Passes a message of another member to this one. */
  void receive(String from, ConsensusMessage message) {
    Optional<Attached> running = attached;
    if (running.isPresent()) {
      ConsensusMember member = running.get().member();
      running.get().driver().enqueue(now -> member.receive(from, message, now));
    } else if (storage == StorageState.DAMAGED) {
      onRecoveryThread(() -> observe(from, message));
    }
  }

  /** Queues a step; without effect while there is no member. */
  void enqueue(Step step) {
    attached.ifPresent(a -> a.driver().enqueue(now -> step.apply(a.member(), now)));
  }

  /**
   * Submits a proposal to the member.
   *
   * @param timeout maximum wait for the decision
   * @return the decision; {@link ChangeResult.Unknown} after the timeout, {@link
   *     ChangeResult.NotLeader} while there is no member
   */
  Future<ChangeResult> propose(Proposal proposal, Duration timeout) {
    return attached
        .map(
            a ->
                a.driver()
                    .propose(
                        (proposalId, now) -> proposal.propose(a.member(), proposalId, now),
                        timeout))
        .orElseGet(() -> Future.succeededFuture(new ChangeResult.NotLeader(Optional.empty())));
  }

  private void attach() {
    DurableLog log;
    try {
      log = failedBefore ? opener.open().writeAgain() : opener.open();
    } catch (IOException | UncheckedIOException e) {
      detach(e);
      return;
    }
    opener = laterOpener;
    ConsensusMember member =
        new ConsensusMember(
            id,
            group,
            ConsensusTiming.DEFAULT,
            LogLimits.DEFAULT,
            log,
            new SplittableRandom(),
            ConsensusDriver.monotonicMillis());
    ConsensusDriver driver =
        new ConsensusDriver(member, log, listener, e -> onRecoveryThread(() -> detach(e)));
    storage = StorageState.OPEN;
    listener.onAttached(member);
    synchronized (this) {
      attached = Optional.of(new Attached(member, driver));
      if (closed) {
        driver.shutdown();
      } else if (started) {
        attached.ifPresent(this::startDriver);
      }
    }
  }

  private void detach(Throwable cause) {
    attached = Optional.empty();
    failedBefore = true;
    StorageState before = storage;
    storage = StorageState.after(cause);
    if (storage != before) {
      LOG.log(
          System.Logger.Level.ERROR,
          "control.storage_unusable",
          "state",
          storage,
          "error",
          cause,
          "folder",
          dataDir);
    }
    listener.onDetached(cause);
    if (storage == StorageState.FAILED) {
      reopenLater();
    } else {
      observation = new QuorumObservation(ConsensusTiming.DEFAULT);
    }
  }

  private void observe(String from, ConsensusMessage message) {
    if (storage == StorageState.DAMAGED
        && observation.onMessage(message, ConsensusDriver.monotonicMillis())) {
      setAsideAndAttach(from);
    }
  }

  private void setAsideAndAttach(String leader) {
    try {
      Path target = DurableLog.setAside(dataDir);
      LOG.log(
          System.Logger.Level.WARNING, "control.storage_set_aside", "to", target, "leader", leader);
    } catch (IOException e) {
      detach(e);
      return;
    }
    opener = laterOpener;
    attach();
  }

  private void reopenLater() {
    try {
      recovery.schedule(
          () -> detachIfFails(this::attach), REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException closing) {
      LOG.log(System.Logger.Level.DEBUG, "control.not_reopened", closing);
    }
  }

  /** Runs a task of the recovery, which goes on after an error. */
  private void detachIfFails(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      detach(e);
    }
  }

  private void onRecoveryThread(Runnable task) {
    try {
      recovery.execute(() -> detachIfFails(task));
    } catch (RejectedExecutionException closing) {
      LOG.log(System.Logger.Level.DEBUG, "control.not_reopened", closing);
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    Optional<Attached> running;
    synchronized (this) {
      closed = true;
      running = attached;
    }
    recovery.shutdownNow();
    if (!recovery.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      LOG.log(System.Logger.Level.WARNING, "control.recovery_not_closed");
    }
    if (running.isPresent()) {
      running.get().driver().close();
    }
  }
}
