package org.lacewingcroft.fleet;

import io.netty.channel.SingleThreadEventLoop;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.lacewingcroft.limit.EventLoopLoad;

/**
 * Reports the iterations of an entry's event loop to an {@link EventLoopLoad}, and defers actions
 * while the event loop is late until it has polled for input again.
 *
 * <p>Confined to the event loop thread.
 */
public final class EventLoopMonitor {
  private static final System.Logger LOG = System.getLogger(EventLoopMonitor.class.getName());

  /** Minimum interval between two log lines about a late event loop. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  private final Context context;
  private final SingleThreadEventLoop eventLoop;
  private final InstantSource clock;
  private final EventLoopLoad load;
  private final List<Runnable> deferred = new ArrayList<>();
  private Instant polledAfter = Instant.MIN;
  private Instant loggedAt;
  private long refusedSinceLog;
  private long disconnectedSinceLog;

  /** Creates a monitor of the event loop of a context. */
  public EventLoopMonitor(Context context, InstantSource clock) {
    this.context = context;
    this.eventLoop = (SingleThreadEventLoop) ((ContextInternal) context).nettyEventLoop();
    this.clock = clock;
    this.load = new EventLoopLoad(clock);
    this.loggedAt = clock.instant();
  }

  /** Returns the measured load. */
  public EventLoopLoad load() {
    return load;
  }

  /** Records activity; called by handlers of requests, responses and messages. */
  public void activity() {
    if (load.activity()) {
      eventLoop.executeAfterEventLoopIteration(this::onIterationEnd);
    }
  }

  /** Runs the periodic check, at each {@link EventLoopLoad#CHECK_INTERVAL}. */
  public void check() {
    activity();
    load.check();
    Instant now = clock.instant();
    boolean late = load.currentDelay().compareTo(EventLoopLoad.MIN_DELAY) >= 0;
    boolean anyAffected = refusedSinceLog + disconnectedSinceLog > 0;
    if ((late || anyAffected) && now.isAfter(loggedAt.plus(LOG_INTERVAL))) {
      loggedAt = now;
      LOG.log(
          System.Logger.Level.INFO,
          "event_loop.late",
          "delayMillis",
          load.currentDelay().toMillis(),
          "utilization",
          load.utilization(),
          "refused",
          refusedSinceLog,
          "disconnectedBeforeStart",
          disconnectedSinceLog);
      refusedSinceLog = 0;
      disconnectedSinceLog = 0;
    }
  }

  /** Counts a request that was refused because of the late event loop, for the log. */
  public void recordRefused() {
    refusedSinceLog++;
  }

  /** Counts a request whose caller had disconnected before its start, for the log. */
  public void recordDisconnected() {
    disconnectedSinceLog++;
  }

  /** Returns a lower bound of the time at which data that is read now arrived. */
  public Instant unreadSince() {
    activity();
    return load.unreadSince();
  }

  /**
   * Runs an action immediately if the event loop is not late. Otherwise runs it in the next
   * iteration, after the connections that peers have closed by then have been read as closed; their
   * channels are then inactive, and their close handlers run later in the same iteration. If that
   * iteration is late too when the action's turn comes, it waits for one more, and no longer: under
   * sustained overload every iteration is late.
   */
  public void runWhenPolled(Runnable action) {
    activity();
    Instant current = polledAfter.isAfter(load.unreadSince()) ? polledAfter : load.unreadSince();
    if (Duration.between(current, clock.instant()).compareTo(EventLoopLoad.MIN_DELAY) < 0) {
      action.run();
    } else {
      deferred.add(() -> runOrDeferOnce(action));
    }
  }

  private void runOrDeferOnce(Runnable action) {
    if (Duration.between(polledAfter, clock.instant()).compareTo(EventLoopLoad.MIN_DELAY) < 0) {
      action.run();
    } else {
      activity();
      deferred.add(action);
    }
  }

  private void onIterationEnd() {
    load.iterationEnded();
    if (deferred.isEmpty()) {
      return;
    }
    Instant endedAt = clock.instant();
    List<Runnable> actions = List.copyOf(deferred);
    deferred.clear();
    for (Runnable action : actions) {
      context.runOnContext(
          v -> {
            polledAfter = endedAt;
            action.run();
          });
    }
  }
}
