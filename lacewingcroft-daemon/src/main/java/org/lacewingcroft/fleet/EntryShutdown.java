package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown of an entry: it immediately reports that it no longer accepts requests,
 * admits requests of callers whose directory response lists it for a while, refuses those that are
 * not started when this ends, and finishes when those responses have expired and no request is in
 * flight, or shortly before the process would be killed.
 */
public final class EntryShutdown {
  /** The requests that an entry has started and not finished. */
  public interface RequestsInFlight {
    /**
     * Returns the number of requests in flight, with those that are admitted and not started, and
     * those whose response is complete and not yet written.
     */
    int inFlight();

    /** Refuses the requests that are admitted and not started: their bodies are incomplete. */
    void refuseUnstarted();

    /** Ends the requests in flight by closing the connections of their senders. */
    void abortInFlight();
  }

  private static final System.Logger LOG = System.getLogger(EntryShutdown.class.getName());

  /**
   * Time for which callers may still send requests: three times the TTL of a directory response,
   * plus its delay.
   */
  private static final Duration CALLER_DRAIN_PERIOD = Duration.ofMillis(4_200);

  /**
   * Part of the time until the kill in which new requests are admitted. The rest is left for them
   * to complete; a caller whose request is refused later sends it to another entry.
   */
  private static final double ADMISSION_SHARE = 0.375;

  /** Reserved before the kill for the last responses, the last log lines and the process exit. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(900);

  private static final long CHECK_INTERVAL_MILLIS = 50;

  private final Vertx vertx;
  private final EntryNode node;
  private final RequestsInFlight requests;
  private final Duration shutdownGrace;

  /**
   * Prepares a shutdown.
   *
   * @param vertx the Vert.x instance
   * @param node the entry
   * @param requests the requests in flight
   * @param shutdownGrace time until the process is killed
   */
  public EntryShutdown(
      Vertx vertx, EntryNode node, RequestsInFlight requests, Duration shutdownGrace) {
    this.vertx = vertx;
    this.node = node;
    this.requests = requests;
    this.shutdownGrace = shutdownGrace;
  }

  /** Starts the shutdown; the future completes when the process may exit. */
  public Future<Void> run() {
    node.beginShutdown();
    Promise<Void> done = Promise.promise();
    long startNanos = System.nanoTime();
    long callerDrainNanos = CALLER_DRAIN_PERIOD.toNanos();
    vertx.setTimer(
        Math.max(1, Math.round(ADMISSION_SHARE * shutdownGrace.toMillis())), id -> endAdmission());
    long maxNanos = shutdownGrace.minus(KILL_MARGIN).toNanos();
    vertx.setPeriodic(
        CHECK_INTERVAL_MILLIS,
        id -> {
          long elapsedNanos = System.nanoTime() - startNanos;
          boolean idle = elapsedNanos >= callerDrainNanos && requests.inFlight() == 0;
          if (idle || elapsedNanos >= maxNanos) {
            vertx.cancelTimer(id);
            LOG.log(
                System.Logger.Level.INFO,
                "entry.drained",
                "millis",
                TimeUnit.NANOSECONDS.toMillis(elapsedNanos),
                "cutRequests",
                requests.inFlight());
            endAdmission();
            requests.abortInFlight();
            done.tryComplete();
          }
        });
    return done.future();
  }

  private void endAdmission() {
    node.endAdmission();
    requests.refuseUnstarted();
  }
}
