package org.lacewingcroft.fleet;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
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
  private final String self;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final Supplier<Set<String>> controls;
  private final SuspicionLedger ledger = new SuspicionLedger();
  private final RecentCompletions completions = new RecentCompletions();
  private final UnansweredRuns unanswered = new UnansweredRuns();
  private final List<Suspicion> gathered = new ArrayList<>();
  private final Map<Long, List<Suspicion>> unconfirmed =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Suspicion>> eldest) {
          return size() > MOST_UNCONFIRMED;
        }
      };
  private long nextCallId = 1;

  /**
   * Creates it with nothing quarantined.
   *
   * @param controls the control instances that the entry goes by now
   */
  RequestQuarantine(
      Vertx vertx,
      String self,
      FleetTransport transport,
      InstantSource clock,
      Supplier<Set<String>> controls) {
    this.vertx = vertx;
    this.self = self;
    this.transport = transport;
    this.clock = clock;
    this.controls = controls;
  }

  /** Returns how long a content is still quarantined, empty if it may run. */
  public Optional<Duration> remaining(RequestFingerprint content) {
    return ledger.quarantinedFor(content, clock.instant());
  }

  /** Returns how many contents are quarantined. */
  public int size() {
    return ledger.atLeast(SuspicionLedger.QUARANTINED, clock.instant()).size();
  }

  /** Notes that an endpoint has answered a content in full. */
  public void completed(RequestFingerprint content) {
    completions.completed(content, clock.instant());
  }

  /** Notes that an endpoint closed the connection on which it had a content to run. */
  public void brokeOff(EndpointRecord endpoint, RequestFingerprint content) {
    suspect(incarnation(endpoint), content);
  }

  /** Notes that this entry stopped waiting for an endpoint's answer to a content. */
  public void givenUp(EndpointRecord endpoint, RequestFingerprint content) {
    if (unanswered.givenUp(incarnation(endpoint), content, clock.instant())) {
      suspect(incarnation(endpoint), content);
    }
  }

  /**
   * Notes that an endpoint is lost: it was replaced, or does not announce itself any more.
   *
   * @param lastByteAt when this entry last had a byte of it
   */
  void ended(EndpointRecord endpoint, Instant lastByteAt) {
    String incarnation = incarnation(endpoint);
    unanswered
        .ended(incarnation, lastByteAt, clock.instant())
        .forEach(content -> suspect(incarnation, content));
  }

  private static String incarnation(EndpointRecord endpoint) {
    return endpoint.id() + '@' + endpoint.startedAtMillis();
  }

  private void suspect(String incarnation, RequestFingerprint content) {
    Instant now = clock.instant();
    if (completions.clears(content, now)) {
      return;
    }
    Suspicion suspicion = new Suspicion(content, Set.of(incarnation), Duration.ZERO);
    ledger.add(suspicion, now).ifPresent(known -> QuarantineLog.learned(known, "seen here"));
    if (gathered.isEmpty()) {
      vertx.setTimer(GATHER_MILLIS, id -> tell());
    }
    gathered.add(suspicion);
  }

  private void tell() {
    long callId = nextCallId++;
    unconfirmed.put(callId, List.copyOf(gathered));
    gathered.clear();
    send(callId);
  }

  private void send(long callId) {
    transport.sendAll(
        controls.get(), new FleetMessage.SuspicionUpdate(self, callId, unconfirmed.get(callId)));
  }

  /** Tells again what no control instance has confirmed, and forgets what is too old. */
  void repeat() {
    Instant now = clock.instant();
    ledger.expire(now);
    unanswered.expire(now);
    List.copyOf(unconfirmed.keySet()).forEach(this::send);
  }

  /** Takes what a control instance tells. */
  void heard(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    for (Suspicion suspicion : update.suspicions()) {
      ledger.add(suspicion, now).ifPresent(known -> QuarantineLog.learned(known, update.from()));
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
    List<Suspicion> known = ledger.atLeast(SuspicionLedger.QUARANTINED, clock.instant());
    if (!known.isEmpty()) {
      transport.send(pulse.from(), new FleetMessage.SuspicionUpdate(self, 0, known));
    }
  }
}
