package org.lacewingcroft.fleet;

import io.vertx.core.Vertx;
import java.io.IOException;
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

  private final String selfAddress;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final Supplier<List<String>> otherControls;
  private final Supplier<List<String>> entries;
  private final Vertx vertx;
  private final SuspicionStore store;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private int savedDigest;
  private boolean saving;

  /**
   * Creates the exchange and loads the evidence stored on disk.
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
    load();
  }

  /** Loads the stored evidence. It is optional: an unreadable file does not prevent the start. */
  private void load() {
    Instant now = clock.instant();
    try {
      store
          .load()
          .forEach(
              s ->
                  ledger
                      .merge(s, now)
                      .ifPresent(merged -> QuarantineLog.logChange(merged, "disk")));
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "quarantine.not_loaded", e);
    }
    savedDigest = ledger.recurringDigest();
  }

  /**
   * Saves the recurring contents (those that have crashed several endpoints) and the cleared ones
   * if the recurring ones have changed, without blocking the event loop.
   */
  private void save() {
    int digest = ledger.recurringDigest();
    if (saving || digest == savedDigest) {
      return;
    }
    saving = true;
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
        .onComplete(v -> saving = false);
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
