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
 * The contents that an entry does not send to endpoints any more, because they end the endpoints
 * that run them. The entry tells the control instances under which contents endpoints broke off,
 * again until one of them has confirmed it, and hears from them which are quarantined; what it has
 * seen by itself counts at once.
 *
 * <p>Owned by the event loop.
 */
public final class RequestQuarantine {
  /** An endpoint that ends breaks off all that it runs; it is told in one message. */
  private static final long GATHER_MILLIS = 5;

  /** Messages kept until they are confirmed. */
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

  /** What was gathered until an instant; told again later, its ends are older by then. */
  private record Told(List<Suspicion> suspicions, Instant gatheredAt) {
    private List<Suspicion> at(Instant now) {
      Duration since = Duration.between(gatheredAt, now);
      return suspicions.stream().map(s -> s.agedBy(since)).toList();
    }
  }

  /**
   * Creates it with nothing quarantined.
   *
   * @param name the entry's name
   * @param self its address
   * @param controls the control instances that the entry goes by now
   * @param entries the names of all entries
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

  /**
   * Returns how long a content is still quarantined, empty if it may run. Once in a while a
   * quarantined one may.
   */
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

  /** Returns how many contents are quarantined. */
  public int size() {
    return ledger.quarantined(clock.instant()).size();
  }

  /** Notes that an endpoint has answered a content in full. */
  public void completed(RequestFingerprint content) {
    Instant now = clock.instant();
    completions.record(content, now);
    if (ledger.quarantined(content, now).isPresent()) {
      learn(Suspicion.cleared(content));
    }
  }

  /**
   * Notes that an endpoint closed the connection on which it had a content to run. That speaks
   * against the content once it turns out that the endpoint has ended.
   */
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

  /** Returns what a content has to wait for before it may be run. */
  public Optional<Future<Boolean>> pendingCrashProbe(RequestFingerprint content) {
    return pending.get(content);
  }

  /** Notes that this entry stopped waiting for an endpoint's answer to a content. */
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
   * Notes that an endpoint has ended: it refuses connections, was replaced, or does not announce
   * itself any more.
   *
   * @param lastByteAt when this entry last had a byte of it
   */
  void ended(EndpointRecord endpoint, Instant lastByteAt) {
    unanswered
        .endpointCrashed(endpoint.incarnationId(), lastByteAt, clock.instant())
        .forEach(this::suspect);
  }

  /** Notes that an endpoint that was taken for lost is back, as the same incarnation. */
  void returned(EndpointRecord endpoint) {
    unanswered.endpointRecovered(endpoint.incarnationId());
    ledger.retractCrash(endpoint.incarnationId(), clock.instant());
  }

  private void suspect(Suspicion suspicion) {
    if (!completions.isRecentlyCompleted(suspicion.content(), clock.instant())) {
      learn(suspicion);
    }
  }

  /** Takes what this entry has seen, and tells it. */
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

  /** Tells again what no control instance has confirmed, and forgets what is too old. */
  void repeat() {
    Instant now = clock.instant();
    ledger.expire(now);
    unanswered.expire(now);
    List.copyOf(unconfirmed.keySet()).forEach(this::send);
  }

  /**
   * Takes what a control instance tells. What an endpoint has answered for this entry a moment ago
   * does not end whatever runs it; those that suspect it cannot know.
   */
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

  /** Takes a control instance's confirmation. */
  void confirmed(FleetMessage.SuspicionAck ack) {
    unconfirmed.remove(ack.callId());
  }

  /** Returns the digest of the quarantined contents. */
  int digest() {
    return ledger.quarantinedDigest();
  }

  /** Gives a control instance back what it has lost by a restart. */
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
