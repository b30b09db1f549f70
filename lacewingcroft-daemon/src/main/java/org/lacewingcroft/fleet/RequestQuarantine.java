package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.peer.SocketAddresses;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.quarantine.QuarantineTrials;
import org.lacewingcroft.quarantine.RecentCompletions;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.quarantine.SuspicionLedger;
import org.lacewingcroft.quarantine.UnansweredRuns;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The request contents that an entry does not send to endpoints because they crash the endpoints that run them. The entry reports to the control instances which contents were running when endpoints crashed, repeating a report until one of them has confirmed it, and receives from them which contents are quarantined; its own observations apply immediately.
 *
 * <p>Confined to the event loop thread.
 */
public final class RequestQuarantine {
  /** Delay in which suspicions are batched: an endpoint that crashes closes the connections of all its requests at the same time, and they are reported in one message. */
  private static final long GATHER_MILLIS = 5;

  /** Maximum number of messages retained until they are confirmed. */
  private static final int MOST_UNCONFIRMED = 64;

  private final Vertx vertx;
  private final String name;
  private final String self;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final Supplier<Set<String>> controls;
  private final Supplier<List<String>> entries;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private final RecentCompletions completions = new RecentCompletions();
  private final UnansweredRuns unanswered = new UnansweredRuns();
  private final QuarantineTrials trials = new QuarantineTrials();
  private final CrashProbe probe;
  private final PendingCrashProbes pending = new PendingCrashProbes();
  private final List<Suspicion> gathered = new ArrayList<>();
  private final Map<Long, Told> unconfirmed = BoundedMap.evictingOldest(MOST_UNCONFIRMED);
  private long nextCallId = 1;

  /** A batch of suspicions and the instant to which their ages refer; a later resend has to increase the ages by the time since then. */
  private record Told(List<Suspicion> suspicions, Instant gatheredAt) {
    private List<Suspicion> at(Instant now) {
      Duration since = Duration.between(gatheredAt, now);
      return suspicions.stream().map(s -> s.agedBy(since)).toList();
    }
  }

  /**
   * Creates an empty quarantine.
   *
   * @param name the entry's name
   * @param self its peer address
   * @param controls returns the control instances that the entry follows
   * @param entries returns the names of all entries
   */
  RequestQuarantine(
      Vertx vertx,
      String name,
      String self,
      FleetTransport transport,
      InstantSource clock,
      Supplier<Set<String>> controls,
      Supplier<List<String>> entries) {
    this.vertx = vertx;
    this.name = name;
    this.self = self;
    this.transport = transport;
    this.clock = clock;
    this.controls = controls;
    this.entries = entries;
    this.probe = new CrashProbe(vertx);
  }

  /** Returns how long a content remains quarantined, or empty if it may run. Now and then a quarantined content is allowed to run as a trial. */
  public Optional<Duration> remainingQuarantine(RequestFingerprint content) {
    Instant now = clock.instant();
    Optional<Suspicion> known = ledger.quarantined(content, now);
    if (known.isEmpty()) {
      return Optional.empty();
    }
    if (trials.tryStartTrial(known.get(), name, entries.get(), now)) {
      QuarantineLog.logTrial(known.get());
      return Optional.empty();
    }
    return ledger.remainingQuarantine(content, now);
  }

  /** Returns the number of quarantined contents. */
  public int size() {
    return ledger.quarantined(clock.instant()).size();
  }

  /** Records that an endpoint has completed a response to a content. */
  public void completed(RequestFingerprint content) {
    Instant now = clock.instant();
    completions.record(content, now);
    if (ledger.quarantined(content, now).isPresent()) {
      learn(Suspicion.cleared(content));
    }
  }

  /** Records that an endpoint closed the connection on which it was running a content. This counts as evidence against the content only if the endpoint turns out to have crashed. */
  public void connectionLost(EndpointTracker endpoint, RequestFingerprint content) {
    unanswered(endpoint.record(), content, UnansweredRuns.Kind.BROKEN_OFF);
    Future<Boolean> verdict =
        probe
            .hasCrashed(SocketAddresses.parse(endpoint.record().address()))
            .onSuccess(
                hasEnded -> {
                  if (hasEnded) {
                    ended(endpoint.record(), endpoint.lastByteAt());
                  }
                });
    pending.add(content, verdict);
  }

  /** Returns the crash probe result that a content must wait for before it may run. */
  public Optional<Future<Boolean>> pendingCrashProbe(RequestFingerprint content) {
    return pending.get(content);
  }

  /** Records that this entry stopped waiting for an endpoint's response to a content. */
  public void abandoned(EndpointRecord endpoint, RequestFingerprint content) {
    unanswered(endpoint, content, UnansweredRuns.Kind.GIVEN_UP);
  }

  private void unanswered(
      EndpointRecord endpoint, RequestFingerprint content, UnansweredRuns.Kind kind) {
    unanswered
        .record(endpoint.incarnationId(), content, kind, clock.instant())
        .ifPresent(this::suspect);
  }

  /**
   * Records that an endpoint has crashed: it refuses connections, was replaced, or no longer announces itself.
   *
   * @param lastByteAt when this entry last received a byte from it
   */
  void ended(EndpointRecord endpoint, Instant lastByteAt) {
    unanswered
        .endpointCrashed(endpoint.incarnationId(), lastByteAt, clock.instant())
        .forEach(this::suspect);
  }

  /** Records that an endpoint that was presumed lost has recovered, as the same incarnation. */
  void returned(EndpointRecord endpoint) {
    unanswered.endpointRecovered(endpoint.incarnationId());
    ledger.retractCrash(endpoint.incarnationId(), clock.instant());
  }

  private void suspect(Suspicion suspicion) {
    if (!completions.isRecentlyCompleted(suspicion.content(), clock.instant())) {
      learn(suspicion);
    }
  }

  /** Applies a local observation and schedules its report. */
  private void learn(Suspicion suspicion) {
    ledger
        .merge(suspicion, clock.instant())
        .ifPresent(known -> QuarantineLog.logChange(known, "seen here"));
    if (gathered.isEmpty()) {
      vertx.setTimer(GATHER_MILLIS, id -> tell());
    }
    gathered.add(suspicion);
  }

  private void tell() {
    long callId = nextCallId++;
    unconfirmed.put(callId, new Told(List.copyOf(gathered), clock.instant()));
    gathered.clear();
    send(callId);
  }

  private void send(long callId) {
    List<Suspicion> suspicions = unconfirmed.get(callId).at(clock.instant());
    transport.sendAll(controls.get(), new FleetMessage.SuspicionUpdate(self, callId, suspicions));
  }

  /** Resends the reports that no control instance has confirmed, and removes expired evidence. */
  void repeat() {
    Instant now = clock.instant();
    ledger.expire(now);
    unanswered.expire(now);
    List.copyOf(unconfirmed.keySet()).forEach(this::send);
  }

  /** Applies suspicions from a control instance. A content that an endpoint has recently completed for this entry does not crash every endpoint that runs it, and the instances that suspect it cannot know this; such a content is reported as cleared. */
  void heard(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    for (Suspicion suspicion : update.suspicions()) {
      ledger
          .merge(suspicion, now)
          .ifPresent(known -> QuarantineLog.logChange(known, update.from()));
      RequestFingerprint content = suspicion.content();
      if (ledger.quarantined(content, now).isPresent()
          && completions.isRecentlyCompleted(content, now)) {
        learn(Suspicion.cleared(content));
      }
    }
  }

  /** Removes a report that a control instance has confirmed. */
  void confirmed(FleetMessage.SuspicionAck ack) {
    unconfirmed.remove(ack.callId());
  }

  /** Returns the digest of the quarantined contents. */
  int digest() {
    return ledger.quarantinedDigest();
  }

  /** Sends the quarantined contents to a control instance whose digest differs, for example because it lost them in a restart. */
  void compare(FleetMessage.ControlPulse pulse) {
    if (pulse.quarantineDigest() == digest()) {
      return;
    }
    List<Suspicion> known =
        ledger.withCrashesOrCleared(Suspicion.QUARANTINE_THRESHOLD, clock.instant());
    if (!known.isEmpty()) {
      transport.send(pulse.from(), new FleetMessage.SuspicionUpdate(self, 0, known));
    }
  }
}
