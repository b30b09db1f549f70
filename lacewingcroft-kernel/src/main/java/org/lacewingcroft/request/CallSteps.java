package org.lacewingcroft.request;

/**
 * The steps of one call, of which exactly one is current: waiting for a target, waiting for the
 * response of an attempt, or ended. Actions deferred in a step do nothing once it is over, so that
 * a timer or a pending decision cannot act for an attempt that has ended.
 *
 * <p>Confined to the event loop thread.
 */
public final class CallSteps {
  private long current;
  private boolean ended;

  /** Begins the next step, which ends the current one. */
  public void next() {
    current++;
  }

  /** Ends the call and its current step. */
  public void end() {
    current++;
    ended = true;
  }

  /** Returns whether {@link #end} was called. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns an action that runs the given one unless the current step has ended by then. */
  public Runnable defer(Runnable action) {
    long step = current;
    return () -> {
      if (step == current) {
        action.run();
      }
    };
  }
}
