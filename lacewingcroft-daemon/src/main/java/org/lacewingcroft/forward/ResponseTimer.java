package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import java.time.Duration;
import org.lacewingcroft.fleet.EventLoopMonitor;
import org.lacewingcroft.request.CallSteps;

/**
 * The timer of a call that fires when its target has sent no data for some time. On a late event
 * loop it fires only after the data that had arrived by then was read, which starts it again.
 *
 * <p>Confined to the event loop thread.
 */
final class ResponseTimer {
  private static final long NONE = -1;

  private final Vertx vertx;
  private final EventLoopMonitor eventLoop;
  private final CallSteps steps;
  private long timer = NONE;

  /**
   * Creates a timer that is not started.
   *
   * @param steps the steps of the call; the timer ends with the step in which it was started
   */
  ResponseTimer(Vertx vertx, EventLoopMonitor eventLoop, CallSteps steps) {
    this.vertx = vertx;
    this.eventLoop = eventLoop;
    this.steps = steps;
  }

  /** Starts the timer; one that was started before does not fire any more. */
  void start(Duration timeout, Runnable onSilent) {
    cancel();
    Runnable action = steps.defer(onSilent);
    timer =
        vertx.setTimer(
            Math.max(1, timeout.toMillis()),
            id ->
                eventLoop.runWhenPolled(
                    () -> {
                      if (timer == id) {
                        action.run();
                      }
                    }));
  }

  void cancel() {
    vertx.cancelTimer(timer);
    timer = NONE;
  }
}
