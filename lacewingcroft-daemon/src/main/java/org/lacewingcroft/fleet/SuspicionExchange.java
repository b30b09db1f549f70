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
 * What a control instance knows of contents under which endpoints broke off. It gathers what the
 * entries see: each of them sees only the endpoints' ends under its own requests, and the same
 * content may come to another one each time. New evidence goes to the other control instances at
 * once, a content that is quarantined by it to the entries; digests find what got lost on the way.
 *
 * <p>Owned by the event loop.
 */
final class SuspicionExchange {
  private static final System.Logger LOG = System.getLogger(SuspicionExchange.class.getName());

  private final String self;
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
   * Creates it knowing what its disk has kept.
   *
   * @param otherControls the other control instances
   * @param entries the entries that go by this one
   */
  SuspicionExchange(
      Vertx vertx,
      String self,
      FleetTransport transport,
      InstantSource clock,
      Supplier<List<String>> otherControls,
      Supplier<List<String>> entries,
      SuspicionStore store) {
    this.vertx = vertx;
    this.store = store;
    this.self = self;
    this.transport = transport;
    this.clock = clock;
    this.otherControls = otherControls;
    this.entries = entries;
    load();
  }

  /** What the disk has kept is a help, and no reason not to start. */
  private void load() {
    Instant now = clock.instant();
    try {
      store
          .load()
          .forEach(s -> ledger.merge(s, now).ifPresent(k -> QuarantineLog.logChange(k, "disk")));
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "quarantine.not_loaded", e);
    }
    savedDigest = ledger.recurringDigest();
  }

  /** Writes the recurring contents if they have changed; the disk may take its time. */
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

  /** Takes what an entry or another control instance tells. */
  void heard(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    List<Suspicion> learned = new ArrayList<>();
    for (Suspicion suspicion : update.suspicions()) {
      ledger.merge(suspicion, now).ifPresent(learned::add);
    }
    learned.forEach(known -> QuarantineLog.logChange(known, update.from()));
    save();
    tell(entries.get(), learned.stream().filter(SuspicionExchange::concernsEntries).toList());
    // What another control instance tells, it tells all of them.
    if (update.callId() != 0) {
      tell(otherControls.get(), learned);
      transport.send(update.from(), new FleetMessage.SuspicionAck(update.callId()));
    }
  }

  private static boolean concernsEntries(Suspicion suspicion) {
    return suspicion.isQuarantined() || suspicion.clearedAge().isPresent();
  }

  private void tell(List<String> peers, List<Suspicion> suspicions) {
    if (!suspicions.isEmpty()) {
      transport.sendAll(peers, new FleetMessage.SuspicionUpdate(self, 0, suspicions));
    }
  }

  /** Tells an entry of the quarantined contents if it reports others. */
  void compare(FleetMessage.EntryReport report) {
    if (report.quarantineDigest() != quarantineDigest()) {
      tell(
          List.of(report.entry().peerAddress()),
          ledger.withCrashesOrCleared(Suspicion.QUARANTINE_THRESHOLD, clock.instant()));
    }
  }

  /** Tells another control instance of the recurring contents if it knows others. */
  void compare(FleetMessage.ControlHello hello) {
    if (hello.recurringDigest() != recurringDigest()) {
      tell(
          List.of(hello.from()),
          ledger.withCrashesOrCleared(SuspicionLedger.RECURRING_THRESHOLD, clock.instant()));
    }
  }

  /** Takes back what was held against contents because this endpoint had ended: it is back. */
  void returned(EndpointRecord endpoint) {
    ledger.retractCrash(endpoint.incarnationId(), clock.instant());
  }

  /** Forgets what is too old, and keeps the rest on disk. */
  void maintain() {
    ledger.expire(clock.instant());
    save();
  }

  int quarantineDigest() {
    return ledger.quarantinedDigest();
  }

  int recurringDigest() {
    return ledger.recurringDigest();
  }

  /** Returns how many contents are quarantined. */
  int size() {
    return ledger.quarantined(clock.instant()).size();
  }
}
