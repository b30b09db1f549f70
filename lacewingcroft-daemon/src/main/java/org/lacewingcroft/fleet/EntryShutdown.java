package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * The graceful stop of an entry: it says at once that it takes no callers any more, serves those
 * that have not heard of it, and ends when their directory answers have run out and nothing is in
 * flight, or shortly before it would be killed.
 */
public final class EntryShutdown {
  private static final System.Logger LOG = System.getLogger(EntryShutdown.class.getName());

  /** How long callers may still come: three validities of a directory answer, plus its delay. */
  private static final Duration LINGER = Duration.ofMillis(4_200);

  /** Kept free before the kill: the last answers, the last log lines and the exit need it. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(900);

  private static final long CHECK_MILLIS = 50;

  private final Vertx vertx;
  private final EntryNode node;
  private final IntSupplier inFlight;
  private final Duration grace;

  /**
   * Prepares a stop.
   *
   * @param vertx the Vert.x instance
   * @param node the entry
   * @param inFlight counts the requests under way
   * @param grace how long until the kill
   */
  public EntryShutdown(Vertx vertx, EntryNode node, IntSupplier inFlight, Duration grace) {
    this.vertx = vertx;
    this.node = node;
    this.inFlight = inFlight;
    this.grace = grace;
  }

  /** Begins the stop; the future completes when the process may end. */
  public Future<Void> run() {
    node.beginShutdown();
    Promise<Void> done = Promise.promise();
    long beganNanos = System.nanoTime();
    long lingerNanos = LINGER.toNanos();
    long mostNanos = grace.minus(KILL_MARGIN).toNanos();
    vertx.setPeriodic(
        CHECK_MILLIS,
        id -> {
          long passed = System.nanoTime() - beganNanos;
          boolean idle = passed >= lingerNanos && inFlight.getAsInt() == 0;
          if (idle || passed >= mostNanos) {
            vertx.cancelTimer(id);
            LOG.log(
                System.Logger.Level.INFO,
                "entry.drained",
                "millis",
                TimeUnit.NANOSECONDS.toMillis(passed),
                "cutRequests",
                inFlight.getAsInt());
            done.tryComplete();
          }
        });
    return done.future();
  }
}
