package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * The graceful shutdown of an entry: it immediately reports that it no longer accepts requests,
 * still serves callers whose directory response lists it, and finishes when those responses have
 * expired and no request is in flight, or shortly before the process would be killed.
 */
public final class EntryShutdown {
  private static final System.Logger LOG = System.getLogger(EntryShutdown.class.getName());

  /**
   * Time for which callers may still send requests: three times the TTL of a directory response,
   * plus its delay.
   */
  private static final Duration CALLER_DRAIN_PERIOD = Duration.ofMillis(4_200);

  /** Reserved before the kill for the last responses, the last log lines and the process exit. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(900);

  private static final long CHECK_INTERVAL_MILLIS = 50;

  private final Vertx vertx;
  private final EntryNode node;
  private final IntSupplier inFlight;
  private final Duration shutdownGrace;

  /**
   * Prepares a shutdown.
   *
   * @param vertx the Vert.x instance
   * @param node the entry
   * @param inFlight returns the number of requests in flight
   * @param shutdownGrace time until the process is killed
   */
  public EntryShutdown(Vertx vertx, EntryNode node, IntSupplier inFlight, Duration shutdownGrace) {
    this.vertx = vertx;
    this.node = node;
    this.inFlight = inFlight;
    this.shutdownGrace = shutdownGrace;
  }

  /** Starts the shutdown; the future completes when the process may exit. */
  public Future<Void> run() {
    node.beginShutdown();
    Promise<Void> done = Promise.promise();
    long startNanos = System.nanoTime();
    long callerDrainNanos = CALLER_DRAIN_PERIOD.toNanos();
    long maxNanos = shutdownGrace.minus(KILL_MARGIN).toNanos();
    vertx.setPeriodic(
        CHECK_INTERVAL_MILLIS,
        id -> {
          long elapsedNanos = System.nanoTime() - startNanos;
          boolean idle = elapsedNanos >= callerDrainNanos && inFlight.getAsInt() == 0;
          if (idle || elapsedNanos >= maxNanos) {
            vertx.cancelTimer(id);
            LOG.log(
                System.Logger.Level.INFO,
                "entry.drained",
                "millis",
                TimeUnit.NANOSECONDS.toMillis(elapsedNanos),
                "cutRequests",
                inFlight.getAsInt());
            done.tryComplete();
          }
        });
    return done.future();
  }
}
