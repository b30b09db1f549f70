package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.quarantine.SuspicionLedger;

/**
 * The evidence that a control instance has on request contents and prompt parts that crash
 * endpoints. It merges the observations of the entries: each entry sees only crashes during its own
 * requests, and the same content or part may reach a different entry each time. New evidence is
 * sent to the other control instances immediately, and to the entries if a content or part recurs
 * or is cleared: those that have completed it can clear it before it is quarantined, and one that
 * observes the next crash can quarantine it at once. Digests detect lost messages.
 *
 * <p>Confined to the event loop thread.
 */
final class SuspicionExchange {
  private static final System.Logger LOG = System.getLogger(SuspicionExchange.class.getName());

  /** Maximum wait for the stored evidence at a start. */
  private static final long LOAD_TIMEOUT_MILLIS = 1_000;

  private final String selfAddress;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final Supplier<List<String>> otherControls;
  private final Supplier<List<String>> entries;
  private final Vertx vertx;
  private final SuspicionStore store;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private int savedDigest;
  private boolean storeInUse;

  /**
   * Creates the exchange, without evidence until {@link #load}.
   *
   * @param otherControls returns the other control instances
   * @param entries returns the entries that follow this instance
   */
  SuspicionExchange(
      Vertx vertx,
      String selfAddress,
      FleetTransport transport,
      InstantSource clock,
      Supplier<List<String>> otherControls,
      Supplier<List<String>> entries,
      SuspicionStore store) {
    this.vertx = vertx;
    this.store = store;
    this.selfAddress = selfAddress;
    this.transport = transport;
    this.clock = clock;
    this.otherControls = otherControls;
    this.entries = entries;
  }

  /**
   * Loads the stored evidence. It is optional: neither an unreadable file nor a disk that does not
   * respond prevents the start.
   *
   * @return completes once the evidence is loaded, or after a timeout; never fails
   */
  Future<Void> load() {
    // What is stored must not be replaced before it is loaded.
    storeInUse = true;
    Promise<Void> done = Promise.promise();
    final long timer = vertx.setTimer(LOAD_TIMEOUT_MILLIS, id -> done.tryComplete());
    vertx
        .executeBlocking(store::load)
        .onComplete(
            (stored, error) -> {
              if (error == null) {
                mergeStored(stored);
              } else {
                LOG.log(System.Logger.Level.WARNING, "quarantine.not_loaded", error);
              }
              storeInUse = false;
              vertx.cancelTimer(timer);
              done.tryComplete();
            });
    return done.future();
  }

  private void mergeStored(List<Suspicion> stored) {
    Instant now = clock.instant();
    boolean unchanged = ledger.recurringDigest() == savedDigest;
    for (Suspicion suspicion : stored) {
      ledger.merge(suspicion, now).ifPresent(merged -> QuarantineLog.logChange(merged, "disk"));
    }
    if (unchanged) {
      savedDigest = ledger.recurringDigest();
    }
  }

  /**
   * Saves the recurring contents (those that have crashed several endpoints) and the cleared ones
   * if the recurring ones have changed, without blocking the event loop.
   */
  private void save() {
    int digest = ledger.recurringDigest();
    if (storeInUse || digest == savedDigest) {
      return;
    }
    storeInUse = true;
    List<Suspicion> recurring =
        ledger.withCrashesOrCleared(SuspicionLedger.RECURRING_THRESHOLD, clock.instant());
    vertx
        .<Void>executeBlocking(
            () -> {
              store.save(recurring);
              return null;
            })
        .onSuccess(v -> savedDigest = digest)
        .onFailure(e -> LOG.log(System.Logger.Level.WARNING, "quarantine.not_saved", e))
        .onComplete(v -> storeInUse = false);
  }

  /** Applies suspicions from an entry or another control instance. */
  void onSuspicionUpdate(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    List<Suspicion> changed = new ArrayList<>();
    for (Suspicion suspicion : update.suspicions()) {
      ledger.merge(suspicion, now).ifPresent(changed::add);
    }
    changed.forEach(merged -> QuarantineLog.logChange(merged, update.from()));
    save();
    send(entries.get(), changed.stream().filter(SuspicionExchange::concernsEntries).toList());
    // Suspicions from another control instance are not forwarded to the others: the sender has sent
    // them to all of them.
    if (update.callId() != 0) {
      send(otherControls.get(), changed);
      transport.send(update.from(), new FleetMessage.SuspicionAck(update.callId()));
    }
  }

  private static boolean concernsEntries(Suspicion suspicion) {
    return suspicion.independentCrashes() >= SuspicionLedger.RECURRING_THRESHOLD
        || suspicion.clearedAge().isPresent();
  }

  private void send(List<String> peers, List<Suspicion> suspicions) {
    if (!suspicions.isEmpty()) {
      transport.sendAll(peers, new FleetMessage.SuspicionUpdate(selfAddress, 0, suspicions));
    }
  }

  /** Sends an entry the quarantined and cleared contents if the digest in its report differs. */
  void compare(FleetMessage.EntryReport report) {
    if (report.quarantineDigest() != quarantineDigest()) {
      send(
          List.of(report.entry().peerAddress()),
          ledger.withCrashesOrCleared(Suspicion.QUARANTINE_THRESHOLD, clock.instant()));
    }
  }

  /**
   * Sends another control instance the recurring and cleared contents if the digest in its message
   * differs.
   */
  void compare(FleetMessage.ControlHello hello) {
    if (hello.recurringDigest() != recurringDigest()) {
      send(
          List.of(hello.from()),
          ledger.withCrashesOrCleared(SuspicionLedger.RECURRING_THRESHOLD, clock.instant()));
    }
  }

  /** Retracts the evidence that this endpoint crashed, since it has recovered. */
  void endpointRecovered(EndpointRecord endpoint) {
    ledger.retractCrash(endpoint.incarnationId(), clock.instant());
  }

  /** Removes expired evidence and saves the recurring contents. */
  void expireAndSave() {
    ledger.expire(clock.instant());
    save();
  }

  int quarantineDigest() {
    return ledger.quarantinedDigest();
  }

  int recurringDigest() {
    return ledger.recurringDigest();
  }

  /** Returns the number of quarantined contents. */
  int size() {
    return ledger.allQuarantineEvidence(clock.instant()).size();
  }
}
