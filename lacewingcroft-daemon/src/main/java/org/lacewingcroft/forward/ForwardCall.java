package org.lacewingcroft.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.fleet.RelayPartners;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.EndpointTracker.Outcome;
import org.lacewingcroft.placement.Placement;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.stream.EventSplitter;

/**
 * One caller's request on its way: placed, sent, sent once more elsewhere where that is safe, and
 * answered exactly once.
 *
 * <p>What is safe: a request that no endpoint ran may always go elsewhere; one that an endpoint may
 * have run goes elsewhere only if it is idempotent, within its route's attempts and the shared
 * budget. A stream goes on after the last whole event that the caller has. The status of a refusal
 * that promises "not run" is used only if no endpoint can have run the request.
 *
 * <p>Owned by the event loop.
 */
final class ForwardCall {
  /** How often a request that waits for the first endpoints looks for them. */
  private static final long LEARNING_POLL_MILLIS = 50;

  /** Targets tried at most while none has run the request. */
  private static final int MAX_TARGETS = 4;

  /** Silence at which an idempotent request goes elsewhere, besides twice what was expected. */
  private static final Duration SILENCE = Duration.ofMillis(900);

  /** How many times as long a request waits for an endpoint that answers others meanwhile. */
  private static final int PATIENCE_FACTOR = 3;

  /** How long before the caller's deadline our own answer goes out, so that it arrives. */
  private static final Duration ANSWER_LEAD = Duration.ofMillis(20);

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int WRONG_INSTANCE = 421;
  private static final int SERVER_ERROR = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Statuses that promise that the request has not run. */
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private final ForwardContext context;
  private final ForwardRequest request;
  private final CallerAnswer answer;
  private final boolean relayed;
  private final RequestLog log;
  private final QuotaCharge charge;
  private final Set<String> passedOver = new HashSet<>();
  private final Set<String> passedOverRegions = new HashSet<>();
  private Optional<UpstreamAttempt> current = Optional.empty();
  private int targets;
  private int runs;
  private int turnedAway;
  private boolean mayHaveRun;
  private boolean streaming;
  private boolean done;
  private OptionalLong lastEventId;
  private Optional<EndpointError> endpointError = Optional.empty();
  private String servedBy = "none";
  private long firstByteMillis = -1;
  private long dueTimer;
  private long silenceTimer;

  /** An endpoint's own server error, which is the answer unless another endpoint has a better. */
  private record EndpointError(
      UpstreamAttempt attempt, int status, List<Map.Entry<String, String>> headers, Buffer body) {}

  /**
   * Creates the call.
   *
   * @param relayed whether another entry sent the request
   * @param charge what it has taken of a quota
   */
  ForwardCall(
      ForwardContext context,
      ForwardRequest request,
      CallerAnswer answer,
      boolean relayed,
      QuotaCharge charge) {
    this.charge = charge;
    this.context = context;
    this.request = request;
    this.answer = answer;
    this.relayed = relayed;
    this.log = new RequestLog(request);
    this.lastEventId = request.lastEventId();
  }

  void start() {
    Duration left = Duration.between(context.now(), request.answerDue()).minus(ANSWER_LEAD);
    dueTimer = context.vertx().setTimer(Math.max(1, left.toMillis()), id -> due());
    context.open().incrementAndGet();
    answer.onLeft(this::callerLeft);
    if (!relayed) {
      context.node().recordFirstSend(request.handling().service());
    }
    place();
  }

  private void place() {
    if (done) {
      return;
    }
    Optional<Future<Boolean>> pending =
        context.node().quarantine().pendingCrashProbe(request.fingerprint());
    if (pending.isPresent()) {
      pending.get().onComplete(known -> place());
      return;
    }
    // Whatever runs a quarantined content ends, with all requests that run beside it.
    Optional<Duration> quarantined =
        context.node().quarantine().remainingQuarantine(request.fingerprint());
    if (quarantined.isPresent()) {
      refuseQuarantined(quarantined.get());
      return;
    }
    PlacementRequest wanted = request.placement(context.now(), passedOver);
    Placement placement =
        context.node().place(wanted, !relayed, request.handling().regions(), passedOverRegions);
    context.metrics().placements.labelValues(placement.where()).inc();
    if (placement instanceof Placement.ToEndpoint here) {
      sendHere(here, wanted);
    } else if (placement instanceof Placement.ToRegion elsewhere) {
      relay(elsewhere, wanted);
    } else if (placement instanceof Placement.Refused refused) {
      if (refused.reason() == Placement.Reason.NO_ENDPOINT && worthWaiting()) {
        context.vertx().setTimer(LEARNING_POLL_MILLIS, id -> place());
      } else {
        refuse(refused);
      }
    }
  }

  private void sendHere(Placement.ToEndpoint here, PlacementRequest wanted) {
    EndpointTracker endpoint = here.endpoint();
    EndpointTracker.InFlightRequest ticket =
        endpoint.startRequest(
            wanted,
            here.fetch().map(Placement.PrefixFetch::tokens).orElse(0L),
            context.kvCapacity(wanted.service()),
            context.now());
    context.node().requestSent(endpoint, ticket.prefillTokens());
    log.placed(
        here,
        ticket.prefillTokens(),
        targets + 1,
        context.node().routing().revision(),
        context.now());
    send(UpstreamTarget.endpoint(here, ticket), here.expectedMillis());
  }

  /** A request that finds an entry just started waits for its endpoints within its objective. */
  private boolean worthWaiting() {
    Duration waited = Duration.between(request.arrivedAt(), context.now());
    return targets == 0
        && context.node().discoveringEndpoints()
        && waited.compareTo(request.handling().objective()) < 0;
  }

  private void relay(Placement.ToRegion elsewhere, PlacementRequest wanted) {
    List<EntryInfo> entries =
        context.node().relayEntriesOf(elsewhere.region()).stream()
            .filter(e -> !passedOver.contains(e.name()))
            .toList();
    if (entries.isEmpty()) {
      relayNowhere(elsewhere.region());
      return;
    }
    List<EntryInfo> partners = RelayPartners.of(entries, context.node().name());
    int turn = Math.floorMod(request.id().hashCode() + targets, partners.size());
    EntryInfo entry = partners.get(turn);
    context.node().requestRelayed(elsewhere.region(), wanted);
    log.relayed(entry, elsewhere, targets + 1, context.node().routing().revision());
    send(UpstreamTarget.entry(entry), elsewhere.expectedMillis());
  }

  /** A region's load may be heard of before its entries are: then it is not passed over yet. */
  private void relayNowhere(String region) {
    if (context.node().entriesOf(region).isEmpty() && worthWaiting()) {
      context.vertx().setTimer(LEARNING_POLL_MILLIS, id -> place());
    } else {
      passedOverRegions.add(region);
      place();
    }
  }

  private void refuse(Placement.Refused refused) {
    log.refused(refused, passedOver, context.node().routing().revision());
    String reason =
        switch (refused.reason()) {
          case OVERLOADED -> "every endpoint that may run this is overloaded";
          case PACED -> "every endpoint that may run this takes no more requests for now";
          case NO_ENDPOINT -> "no endpoint that may run this is in reach";
        };
    if (mayHaveRun) {
      finish(BAD_GATEWAY, reason + "; an earlier try may have run", Optional.empty());
    } else {
      finish(UNAVAILABLE, reason, Optional.of(refused.retryAfter()));
    }
  }

  private void refuseQuarantined(Duration remaining) {
    log.quarantined(remaining);
    context.metrics().placements.labelValues("quarantined").inc();
    String reason = "endpoints that ran this content broke off, one after the other";
    if (mayHaveRun) {
      finish(BAD_GATEWAY, reason, Optional.empty());
    } else {
      finish(UNAVAILABLE, reason, Optional.of(remaining));
    }
  }

  private void send(UpstreamTarget target, double expectedMillis) {
    targets++;
    Attempt attempt = new Attempt(target);
    current = Optional.of(attempt.upstream);
    attempt.upstream.start(context.connections(), request, headersFor(target));
    watchSilence(attempt, expectedMillis);
  }

  private List<Map.Entry<String, String>> headersFor(UpstreamTarget target) {
    HeaderNames names = context.names();
    Instant now = context.now();
    long leftMillis = Math.max(1, Duration.between(now, request.answerDue()).toMillis());
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    lastEventId.ifPresent(id -> headers.add(Map.entry(names.lastEventId(), Long.toString(id))));
    if (target.endpoint().isPresent()) {
      headers.add(Map.entry(names.deadlineMillis(), Long.toString(leftMillis)));
      headers.add(Map.entry(names.expectInstance(), target.name()));
      request
          .handling()
          .organisation()
          .ifPresent(name -> headers.add(Map.entry(names.organisation(), name)));
      target
          .fetch()
          .map(f -> f.source().record().address())
          .ifPresent(source -> headers.add(Map.entry(names.prefixSource(), source)));
      if (request.promptTokens() > 0) {
        int priority =
            Math.max(0, Math.min(EndpointTracker.PRIORITIES - 1, request.handling().priority()));
        headers.add(Map.entry(names.priority(), Integer.toString(priority)));
      }
    } else {
      long callerMillis = Math.max(1, Duration.between(now, request.callerDeadline()).toMillis());
      headers.add(Map.entry(names.deadlineMillis(), Long.toString(callerMillis)));
      headers.addAll(context.relayHeaders(request, leftMillis));
    }
    return headers;
  }

  /**
   * Moves an idempotent request on when its target says nothing for much longer than expected. An
   * endpoint that meanwhile answers others is slow, not dead: starting anew elsewhere would only
   * add to the load, so it gets {@link #PATIENCE_FACTOR} times as long.
   */
  private void watchSilence(Attempt attempt, double expectedMillis) {
    context.vertx().cancelTimer(silenceTimer);
    if (!request.handling().idempotent() || relayed) {
      return;
    }
    long millis = SILENCE.toMillis() + Math.round(2 * Math.min(5_000, expectedMillis));
    watchSilence(attempt, millis, PATIENCE_FACTOR);
  }

  private void watchSilence(Attempt attempt, long millis, int roundsLeft) {
    silenceTimer =
        context
            .vertx()
            .setTimer(
                millis,
                id -> {
                  boolean over = done || current.filter(attempt.upstream::equals).isEmpty();
                  if (over || !mayRunAfter(attempt)) {
                    return;
                  }
                  boolean answersOthers =
                      attempt
                          .upstream
                          .target()
                          .endpoint()
                          .filter(e -> !e.isSuspect(context.now()))
                          .isPresent();
                  if (answersOthers && roundsLeft > 1) {
                    watchSilence(attempt, millis, roundsLeft - 1);
                  } else {
                    giveUp(attempt.upstream, Outcome.FAILED);
                    broken(attempt, "silent for " + millis * (PATIENCE_FACTOR - roundsLeft + 1));
                  }
                });
  }

  /** Returns whether one more endpoint may run the request if this attempt fails. */
  private boolean mayRunAfter(Attempt attempt) {
    int runsThen = runs + (attempt.counted ? 0 : 1);
    return request.handling().idempotent()
        && !relayed
        && runsThen < request.handling().maxAttempts();
  }

  /** The answers of one attempt. */
  private final class Attempt implements UpstreamAttempt.Listener {
    private final UpstreamAttempt upstream;
    private boolean counted;
    private int status;
    private List<Map.Entry<String, String>> headers = List.of();
    private Optional<EventSplitter> events = Optional.empty();
    private Buffer whole = Buffer.buffer();
    private String refusal = "";

    /** Endpoints that turned the request away in this attempt. */
    private int refusals;

    private Attempt(UpstreamTarget target) {
      upstream = new UpstreamAttempt(target, context.names(), context.clock(), this);
    }

    /** Counts this attempt as a run, once. */
    private void count() {
      if (!counted) {
        counted = true;
        runs++;
        mayHaveRun = true;
      }
    }

    @Override
    public void head(int newStatus, HttpClientResponse response) {
      status = newStatus;
      if (firstByteMillis < 0) {
        firstByteMillis = Duration.between(request.arrivedAt(), context.now()).toMillis();
      }
      headers = ForwardRequest.endToEnd(response.headers(), ForwardContext.RELAY_HEADERS);
      refusal = refusalOf(response);
      refusals = refusalsOf(response);
      String echoed = response.getHeader(context.names().requestId());
      boolean success = status >= OK && status < MULTIPLE_CHOICES;
      if (echoed != null && !echoed.equals(request.id())) {
        spoiled("answered request " + echoed);
        return;
      }
      noteStatements(response);
      if (success && response.getHeader(context.names().signature()) == null) {
        spoiled("answered " + status + " without signature");
      } else if (success && request.handling().stream()) {
        count();
        upstream.target().endpoint().ifPresent(ForwardCall.this::prefixRead);
        events = Optional.of(new EventSplitter(lastEventId));
        if (!streaming) {
          streaming = true;
          if (context.node().isStopping()) {
            answer.closeAfterwards();
          }
          answer.beginStream(status, headers);
        }
      }
    }

    /** Another incarnation that answers at the address speaks for itself only. */
    private void noteStatements(HttpClientResponse response) {
      UpstreamTarget target = upstream.target();
      if (status != WRONG_INSTANCE && target.endpoint().isPresent()) {
        Instant sentAt = target.ticket().orElseThrow().sentAt();
        context.statements().read(target.endpoint().get(), status, response, sentAt);
      }
    }

    private String refusalOf(HttpClientResponse response) {
      if (upstream.target().entry().isPresent()) {
        return response.getHeader(CallerAnswer.NOT_RUN_HEADER) != null ? "entry" : "";
      }
      String notRun = response.getHeader(context.names().notRun());
      return notRun != null || status == WRONG_INSTANCE ? "endpoint" : "";
    }

    /** Another entry may have asked endpoints of its region before it refused. */
    private int refusalsOf(HttpClientResponse response) {
      if (upstream.target().entry().isEmpty()) {
        return 1;
      }
      String told = response.getHeader(CallerAnswer.NOT_RUN_HEADER);
      return told != null && told.matches("\\d{1,4}") ? Integer.parseInt(told) : 1;
    }

    private void spoiled(String detail) {
      upstream.cancel(Outcome.FAILED);
      broken(this, detail);
    }

    @Override
    public void body(Buffer piece) {
      if (events.isEmpty()) {
        whole.appendBuffer(piece);
        return;
      }
      long before = lastEventId.orElse(0);
      byte[] ready = events.get().append(piece.getBytes());
      lastEventId = events.get().lastId();
      noteEvents(lastEventId.orElse(0) - before);
      if (ready.length > 0) {
        answer.write(ready);
        watchSilence(this, 0);
        if (answer.full()) {
          upstream.pause();
          answer.onDrained(upstream::resume);
        }
      }
    }

    private void noteEvents(long count) {
      if (count > 0) {
        long tokens = count * context.eventTokens(request.handling().service());
        upstream.target().ticket().ifPresent(t -> t.eventsReceived(tokens, context.now()));
      }
    }

    @Override
    public void complete() {
      if (done) {
        return;
      }
      if (events.isPresent()) {
        if (events.get().incompleteEvent().length > 0) {
          broken(this, "ended within an event");
        } else {
          served(upstream, status);
          answer.endStream();
          finished(ForwardContext.SERVED, status);
        }
      } else if (!refusal.isEmpty()) {
        refusedBy(upstream, status, refusal, refusals);
      } else {
        completeWhole();
      }
    }

    private void completeWhole() {
      count();
      boolean serverError = status >= SERVER_ERROR;
      if (serverError && mayRunAfter(this) && resend()) {
        keepError();
        passedOver.add(upstream.target().name());
        place();
      } else if (streaming) {
        broken(this, "answered " + status + " to a resumption");
      } else if (PROMISES.contains(status)) {
        finish(BAD_GATEWAY, "the endpoint answered " + status + " after it ran", Optional.empty());
      } else {
        answerWhole(upstream, status, headers, whole);
      }
    }

    /** A status that promises "not run" is no answer for a request that has run. */
    private void keepError() {
      if (!PROMISES.contains(status)) {
        endpointError = Optional.of(new EndpointError(upstream, status, headers, whole));
      }
    }

    @Override
    public void failed(boolean sent, String detail) {
      if (done) {
        return;
      }
      if (sent) {
        suspectContent(upstream);
        broken(this, detail);
      } else {
        unreachable(upstream, detail);
      }
    }

    @Override
    public void withdrawn() {
      if (!done) {
        tryFailed(upstream, "withdrawn", "the endpoint takes no work any more");
        passOver(upstream);
        tryElsewhere("the endpoint takes no work any more", true);
      }
    }
  }

  /** An endpoint that closes a connection before the answer is complete may have ended. */
  private void suspectContent(UpstreamAttempt attempt) {
    attempt
        .target()
        .endpoint()
        .ifPresent(e -> context.node().quarantine().connectionLost(e, request.fingerprint()));
  }

  private void prefixRead(EndpointTracker endpoint) {
    context.node().prefixRead(endpoint, request.placement(context.now(), passedOver));
  }

  private void answerWhole(
      UpstreamAttempt attempt, int status, List<Map.Entry<String, String>> headers, Buffer body) {
    served(attempt, status);
    if (context.node().isStopping()) {
      answer.closeAfterwards();
    }
    answer.whole(status, headers, body);
    finished(ForwardContext.SERVED, status);
  }

  private void served(UpstreamAttempt attempt, int status) {
    servedBy = attempt.target().name();
    if (attempt.target().endpoint().isPresent() && status < SERVER_ERROR) {
      context.node().quarantine().completed(request.fingerprint());
    }
  }

  /** The target could not be connected to. */
  private void unreachable(UpstreamAttempt attempt, String detail) {
    tryFailed(attempt, "unreachable", detail);
    attempt.target().endpoint().ifPresent(e -> e.recordConnectFailure(context.now()));
    attempt.target().entry().ifPresent(context.node()::entryUnreachable);
    passOver(attempt);
    tryElsewhere(detail, true);
  }

  /**
   * The target said that it did not run the request.
   *
   * @param refusals how many endpoints turned it away, which makes the next send an extra one
   */
  private void refusedBy(UpstreamAttempt attempt, int status, String who, int refusals) {
    turnedAway += refusals;
    tryFailed(attempt, "refused", who + " answered " + status);
    attempt
        .target()
        .endpoint()
        .ifPresent(
            e -> {
              if (status == WRONG_INSTANCE) {
                e.markReplaced();
              } else {
                e.markFull(context.now());
              }
            });
    passOver(attempt);
    tryElsewhere("the endpoint was full", refusals == 0);
  }

  private void passOver(UpstreamAttempt attempt) {
    passedOver.add(attempt.target().name());
    attempt
        .target()
        .entry()
        .filter(this::isLastOfRegion)
        .ifPresent(e -> passedOverRegions.add(e.region()));
  }

  private boolean isLastOfRegion(EntryInfo entry) {
    return context.node().entriesOf(entry.region()).stream()
        .allMatch(other -> passedOver.contains(other.name()));
  }

  /** Goes elsewhere with a request that this target did not run. */
  private void tryElsewhere(String detail, boolean free) {
    boolean allowed = targets < MAX_TARGETS && (free || resend());
    if (allowed) {
      place();
    } else if (streaming || mayHaveRun) {
      finish(BAD_GATEWAY, detail, Optional.empty());
    } else {
      finish(UNAVAILABLE, detail, Optional.of(context.shortRetryAfter(request)));
    }
  }

  /** Whether the last target may have the request, answered or not. */
  private boolean wasSent() {
    return current.filter(UpstreamAttempt::written).isPresent();
  }

  private boolean resend() {
    return context.node().tryTakeExtraSend(request.handling().service());
  }

  /** The target may have run the request and did not answer it in full. */
  private void broken(Attempt attempt, String detail) {
    attempt.count();
    tryFailed(attempt.upstream, "broken", detail);
    passOver(attempt.upstream);
    if (mayRunAfter(attempt) && targets < MAX_TARGETS && resend()) {
      place();
    } else {
      finish(BAD_GATEWAY, "the endpoint failed: " + detail, Optional.empty());
    }
  }

  private void tryFailed(UpstreamAttempt attempt, String what, String detail) {
    context.metrics().failedAttempts.labelValues(what).inc();
    log.tryFailed(attempt.target(), what, detail, lastEventId, context.now());
  }

  private void due() {
    if (done) {
      return;
    }
    boolean sent = wasSent();
    current.ifPresent(a -> giveUp(a, Outcome.CANCELLED));
    if (sent || mayHaveRun) {
      finish(GATEWAY_TIMEOUT, "no answer in time", Optional.empty());
    } else {
      finish(UNAVAILABLE, "not sent in time", Optional.empty());
    }
  }

  private void callerLeft() {
    if (!done) {
      current.ifPresent(a -> giveUp(a, Outcome.CANCELLED));
      finished("caller left", 0);
    }
  }

  /** Stops waiting for an answer; the endpoint may have ended without a word. */
  private void giveUp(UpstreamAttempt attempt, Outcome outcome) {
    if (attempt.awaitsAnswer()) {
      attempt
          .target()
          .endpoint()
          .ifPresent(e -> context.node().quarantine().abandoned(e.record(), request.fingerprint()));
    }
    attempt.cancel(outcome);
  }

  private void finish(int status, String reason, Optional<Duration> retryAfter) {
    if (done) {
      return;
    }
    current.ifPresent(a -> a.cancel(Outcome.CANCELLED));
    if (endpointError.isPresent() && !streaming) {
      EndpointError error = endpointError.get();
      answerWhole(error.attempt(), error.status(), error.headers(), error.body());
      return;
    }
    boolean notRun = !mayHaveRun && PROMISES.contains(status);
    answer.turnedAwayBy(turnedAway);
    answer.own(status, reason, notRun, retryAfter);
    finished(reason, status);
  }

  private void finished(String outcome, int status) {
    done = true;
    if (!mayHaveRun && !wasSent()) {
      charge.giveBack();
    }
    context.open().decrementAndGet();
    Vertx vertx = context.vertx();
    vertx.cancelTimer(dueTimer);
    vertx.cancelTimer(silenceTimer);
    long millis = Duration.between(request.arrivedAt(), context.now()).toMillis();
    context.count(status, outcome, millis, firstByteMillis);
    log.finished(
        new RequestLog.End(
            outcome, status, servedBy, targets, mayHaveRun, lastEventId, firstByteMillis, millis));
  }
}
