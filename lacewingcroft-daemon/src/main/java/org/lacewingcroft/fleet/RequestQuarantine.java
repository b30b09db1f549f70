package org.lacewingcroft.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
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
import org.lacewingcroft.misc.CallIds;
import org.lacewingcroft.peer.SocketAddresses;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.quarantine.IncompleteRuns;
import org.lacewingcroft.quarantine.Quarantine;
import org.lacewingcroft.quarantine.Suspicion;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * The request contents and prompt parts that an entry does not send to endpoints because they crash
 * the endpoints that run them. The entry reports to the control instances which contents and parts
 * were running when endpoints crashed, repeating a report until one of them has confirmed it, and
 * receives from them which ones are quarantined; its own observations apply after entries that have
 * completed the content or part could report so.
 *
 * <p>Confined to the event loop thread.
 */
public final class RequestQuarantine {
  /**
   * Delay in which suspicions are batched: an endpoint that crashes closes the connections of all
   * its requests at the same time, and they are reported in one message.
   */
  private static final long BATCH_DELAY_MILLIS = 5;

  /** Maximum number of messages retained until they are confirmed. */
  private static final int MAX_UNCONFIRMED = 64;

  private final Vertx vertx;
  private final String name;
  private final String selfAddress;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final Supplier<Set<String>> controls;
  private final Supplier<List<String>> entries;
  private final Quarantine quarantine = new Quarantine();
  private final IncompleteRuns incompleteRuns = new IncompleteRuns();
  private final CrashProbe probe;
  private final PendingCrashProbes pendingProbes = new PendingCrashProbes();
  private final List<Suspicion> nextBatch = new ArrayList<>();
  private final Map<Long, Batch> unconfirmed = BoundedMap.evictingOldest(MAX_UNCONFIRMED);
  private final CallIds callIds = new CallIds();

  /**
   * A batch of suspicions and the instant to which their ages refer; a later resend has to increase
   * the ages by the time since then.
   */
  private record Batch(List<Suspicion> suspicions, Instant batchedAt) {
    private List<Suspicion> agedTo(Instant now) {
      Duration since = Duration.between(batchedAt, now);
      return suspicions.stream().map(s -> s.agedBy(since)).toList();
    }
  }

  /**
   * Creates an empty quarantine.
   *
   * @param name the entry's name
   * @param selfAddress its peer address
   * @param controls returns the control instances that the entry follows
   * @param entries returns the names of all entries
   */
  RequestQuarantine(
      Vertx vertx,
      String name,
      String selfAddress,
      FleetTransport transport,
      InstantSource clock,
      Supplier<Set<String>> controls,
      Supplier<List<String>> entries) {
    this.vertx = vertx;
    this.name = name;
    this.selfAddress = selfAddress;
    this.transport = transport;
    this.clock = clock;
    this.controls = controls;
    this.entries = entries;
    this.probe = new CrashProbe(vertx);
  }

  /**
   * Returns how long the content of a request or one of its prompt parts remains quarantined, or
   * empty if the request may run. It may run although one is quarantined if a trial is due on this
   * entry, which is then recorded.
   */
  public Optional<Duration> remainingQuarantine(RequestFingerprints request) {
    Instant now = clock.instant();
    Optional<Duration> remaining = quarantine.remaining(request, now);
    if (remaining.isEmpty()) {
      return Optional.empty();
    }
    List<Suspicion> tried = quarantine.tryStartTrial(request, name, entries.get(), now);
    tried.forEach(QuarantineLog::logTrial);
    return tried.isEmpty() ? remaining : Optional.empty();
  }

  /** Returns whether the content of a request or one of its prompt parts is quarantined. */
  public boolean isQuarantined(RequestFingerprints request) {
    return quarantine.remaining(request, clock.instant()).isPresent();
  }

  /** Returns the number of quarantined request contents and prompt parts. */
  public int size() {
    return quarantine.all(clock.instant()).size();
  }

  /**
   * Records that an endpoint has completed its response to a request.
   *
   * @param successful whether the response is the result of the request; another response, such as
   *     a rejection, may have been sent without running its prompt
   */
  public void recordCompletion(RequestFingerprints request, boolean successful) {
    quarantine
        .recordCompletion(request, successful, clock.instant())
        .forEach(this::recordAndReport);
  }

  /**
   * Records that an endpoint closed the connection while it was running this request. This counts
   * as evidence against the request only if the endpoint turns out to have crashed: it refuses
   * connections while another endpoint accepts them. An entry to which all endpoints refuse
   * connections may be partitioned from them; what has crashed is then known from the control
   * instances.
   *
   * @param others other endpoints of the region
   */
  public void onConnectionLost(
      EndpointTracker endpoint, RequestFingerprints request, List<EndpointTracker> others) {
    recordIncompleteRun(endpoint.record(), request, IncompleteRuns.Kind.BROKEN_OFF);
    Future<Boolean> result =
        probe
            .hasCrashed(
                addressOf(endpoint), others.stream().map(RequestQuarantine::addressOf).toList())
            .onSuccess(
                hasCrashed -> {
                  if (hasCrashed) {
                    endpointCrashed(endpoint.record(), endpoint.lastByteAt());
                  }
                });
    pendingProbes.add(request, result);
  }

  private static SocketAddress addressOf(EndpointTracker endpoint) {
    return SocketAddresses.parse(endpoint.record().address());
  }

  /**
   * Returns what a request must wait for before it is known whether it may run: a crash probe, or
   * reports of entries that have completed its content or prompt parts.
   */
  public Optional<Future<Void>> pendingDecision(RequestFingerprints request) {
    return pendingProbes
        .get(quarantine.uncompleted(request, clock.instant()))
        .map(Future::<Void>mapEmpty)
        .or(() -> pendingConfirmation(request));
  }

  private Optional<Future<Void>> pendingConfirmation(RequestFingerprints request) {
    return quarantine
        .remainingConfirmation(request, clock.instant())
        .map(remaining -> vertx.timer(Math.max(1, remaining.toMillis())).mapEmpty());
  }

  /** Records that this entry stopped waiting for the response to this request. */
  public void abandoned(EndpointRecord endpoint, RequestFingerprints request) {
    recordIncompleteRun(endpoint, request, IncompleteRuns.Kind.GIVEN_UP);
  }

  private void recordIncompleteRun(
      EndpointRecord endpoint, RequestFingerprints request, IncompleteRuns.Kind kind) {
    Instant now = clock.instant();
    for (RequestFingerprint fingerprint : request.all()) {
      incompleteRuns
          .record(endpoint.incarnationId(), fingerprint, kind, now)
          .ifPresent(this::suspect);
    }
  }

  /**
   * Records that an endpoint has crashed: it refuses connections, was replaced, or no longer
   * announces itself.
   *
   * @param lastByteAt when this entry last received a byte from it
   */
  void endpointCrashed(EndpointRecord endpoint, Instant lastByteAt) {
    incompleteRuns
        .endpointCrashed(endpoint.incarnationId(), lastByteAt, clock.instant())
        .forEach(this::suspect);
  }

  /** Records that an endpoint that was presumed crashed has recovered, as the same incarnation. */
  void endpointRecovered(EndpointRecord endpoint) {
    incompleteRuns.endpointRecovered(endpoint.incarnationId());
    quarantine.retractCrash(endpoint.incarnationId(), clock.instant());
  }

  private void suspect(Suspicion suspicion) {
    if (!quarantine.isRecentlyCompleted(suspicion.content(), clock.instant())) {
      recordAndReport(suspicion);
    }
  }

  /** Applies a local observation and schedules its report. */
  private void recordAndReport(Suspicion suspicion) {
    merge(suspicion, "seen here");
    if (nextBatch.isEmpty()) {
      vertx.setTimer(BATCH_DELAY_MILLIS, id -> sendBatch());
    }
    nextBatch.add(suspicion);
  }

  private void merge(Suspicion suspicion, String cause) {
    quarantine
        .merge(suspicion, clock.instant())
        .ifPresent(merged -> QuarantineLog.logChange(merged, cause));
  }

  private void sendBatch() {
    long callId = callIds.next();
    unconfirmed.put(callId, new Batch(List.copyOf(nextBatch), clock.instant()));
    nextBatch.clear();
    send(callId);
  }

  private void send(long callId) {
    List<Suspicion> suspicions = unconfirmed.get(callId).agedTo(clock.instant());
    transport.sendAll(
        controls.get(), new FleetMessage.SuspicionUpdate(selfAddress, callId, suspicions));
  }

  /** Resends the reports that no control instance has confirmed, and removes expired evidence. */
  void resendUnconfirmed() {
    Instant now = clock.instant();
    quarantine.expire(now);
    incompleteRuns.expire(now);
    List.copyOf(unconfirmed.keySet()).forEach(this::send);
  }

  /**
   * Applies suspicions from a control instance. A request content or prompt part that an endpoint
   * has recently completed for this entry does not crash every endpoint that runs it, but the
   * instances that suspect it have not received this completion; it is reported as cleared.
   */
  void onSuspicionUpdate(FleetMessage.SuspicionUpdate update) {
    Instant now = clock.instant();
    for (Suspicion suspicion : update.suspicions()) {
      merge(suspicion, update.from());
      quarantine.clearing(suspicion.content(), now).ifPresent(this::recordAndReport);
    }
  }

  /** Removes a report that a control instance has confirmed. */
  void onSuspicionAck(FleetMessage.SuspicionAck ack) {
    unconfirmed.remove(ack.callId());
  }

  /** Returns the digest of the quarantined request contents. */
  int digest() {
    return quarantine.digest();
  }

  /**
   * Sends the quarantined and the cleared request contents to a control instance whose digest
   * differs, for example because it lost them in a restart.
   */
  void compare(FleetMessage.ControlPulse pulse) {
    if (pulse.quarantineDigest() == digest()) {
      return;
    }
    List<Suspicion> quarantined = quarantine.allAndCleared(clock.instant());
    if (!quarantined.isEmpty()) {
      transport.send(pulse.from(), new FleetMessage.SuspicionUpdate(selfAddress, 0, quarantined));
    }
  }
}
