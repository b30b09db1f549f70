package org.lacewingcroft.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.forward.RequestTiming.Stage;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.ExtraSendBudget;
import org.lacewingcroft.placement.Placement;

/**
 * Writes the log lines of one request: one for each decision, with the values that it was based on.
 * All lines carry the request id, so that a request can be traced through the log.
 */
final class RequestLog {
  private static final System.Logger LOG = System.getLogger(RequestLog.class.getName());

  private final ForwardRequest request;

  /**
   * The result of a finished request.
   *
   * @param outcome a short description of the result
   * @param status the status sent to the caller, 0 if the caller had disconnected
   * @param servedBy the endpoint or entry whose response was sent, {@code none} if there was none
   * @param connectionUse the place of the request on the connection of that response
   * @param sends how many times the request was sent
   * @param mayHaveRun whether an endpoint may have run it
   * @param lastEvent the id of the last event passed on, if the response is a stream
   * @param firstByteMillis the time from arrival to the response head, -1 if none was received
   * @param millis the time from arrival until the request finished
   * @param timing the stages of the time to the response head, or to the end without one
   */
  record Summary(
      String outcome,
      int status,
      String servedBy,
      UpstreamConnections.ConnectionUse connectionUse,
      int sends,
      boolean mayHaveRun,
      OptionalLong lastEvent,
      long firstByteMillis,
      long millis,
      RequestTiming timing) {}

  RequestLog(ForwardRequest request) {
    this.request = request;
  }

  /**
   * Logs that the request is sent to an endpoint of this region.
   *
   * @param prefillTokens the prompt tokens that the endpoint has to prefill
   * @param attempt the number of this send, from 1
   * @param revision the revision of the routing state
   */
  void logPlaced(
      Placement.ToEndpoint placement, long prefillTokens, int attempt, long revision, Instant now) {
    write(
        "request.placed",
        "fingerprint",
        request.fingerprints().content(),
        "sender",
        request.sender(),
        "service",
        request.handling().service(),
        "target",
        placement.endpoint().record().id(),
        "expectedMillis",
        Math.round(placement.expectedMillis()),
        "tokenMillis",
        Math.round(placement.tokenMillis()),
        "readTokens",
        prefillTokens,
        "fetchFrom",
        placement.fetch().map(f -> f.source().record().id()).orElse("none"),
        "fetchTokens",
        placement.fetch().map(Placement.PrefixFetch::tokens).orElse(0L),
        "rateLimit",
        orNone(placement.endpoint().rateLimit().perSecond()),
        "pauseLeftMillis",
        placement.endpoint().conditions().remainingPause(now).toMillis(),
        "try",
        attempt,
        "revision",
        revision);
  }

  /**
   * Logs that the request is relayed to another entry.
   *
   * @param attempt the number of this send, from 1
   * @param revision the revision of the routing state
   */
  void logRelayed(EntryInfo entry, Placement.ToRegion placement, int attempt, long revision) {
    write(
        "request.placed",
        "fingerprint",
        request.fingerprints().content(),
        "sender",
        request.sender(),
        "service",
        request.handling().service(),
        "target",
        entry.name(),
        "region",
        placement.region(),
        "expectedMillis",
        Math.round(placement.expectedMillis()),
        "try",
        attempt,
        "revision",
        revision);
  }

  /**
   * Logs that placement refused the request.
   *
   * @param excludedTargets the targets excluded for this request
   * @param revision the revision of the routing state
   */
  void logRefused(Placement.Refused refused, Set<String> excludedTargets, long revision) {
    Placement.RefusalDetails details = refused.details();
    write(
        "request.refused",
        "service",
        request.handling().service(),
        "reason",
        refused.reason(),
        "waitHereMillis",
        orNone(details.localWaitMillis()),
        "waitElsewhereMillis",
        orNone(details.remoteWaitMillis()),
        "patienceMillis",
        details.maxWaitMillis(),
        "slots",
        details.slots(),
        "freeSlots",
        details.freeSlots(),
        "retryAfterMillis",
        refused.retryAfter().toMillis(),
        "passedOver",
        excludedTargets,
        "revision",
        revision);
  }

  /**
   * Logs that the request is refused because its content crashes the endpoints that run it.
   *
   * @param remaining how long the content stays quarantined
   */
  void logQuarantined(Duration remaining) {
    write(
        "request.refused",
        "fingerprint",
        request.fingerprints().content(),
        "sender",
        request.sender(),
        "service",
        request.handling().service(),
        "reason",
        "QUARANTINED",
        "retryAfterMillis",
        remaining.toMillis());
  }

  /**
   * Logs an attempt without a complete response.
   *
   * @param connectionUse the place of the request on its connection
   * @param failure the class of the failure, as in the metric of failed attempts
   * @param detail what was observed
   * @param lastEvent the id of the last event passed on, if the response is a stream
   * @param now the time for which the endpoint's load is logged
   */
  void logAttemptFailed(
      UpstreamTarget target,
      UpstreamConnections.ConnectionUse connectionUse,
      String failure,
      String detail,
      OptionalLong lastEvent,
      Instant now) {
    Optional<EndpointTracker> endpoint = target.endpoint();
    write(
        "request.try_failed",
        "fingerprint",
        request.fingerprints().content(),
        "promptParts",
        request.fingerprints().promptPartsText(),
        "target",
        target.name(),
        "connection",
        connectionUse.localPort(),
        "requestOnConnection",
        connectionUse.requestNumber(),
        "what",
        failure,
        "detail",
        detail,
        "lastEvent",
        orNone(lastEvent),
        "sentMillisAgo",
        target.inFlightRequest().map(r -> Duration.between(r.sentAt(), now).toMillis()).orElse(-1L),
        "running",
        endpoint.map(e -> e.totalInFlight(now)).orElse(-1),
        "cold",
        endpoint.map(e -> e.isCold(now)).orElse(false));
  }

  /**
   * Logs whether the request may be sent again.
   *
   * @param budget what the budget of extra sends decided, as in the metric of resends
   * @param decision the values that the decision was based on, empty for an exempt send
   */
  void logResend(String budget, Optional<ExtraSendBudget.Decision> decision) {
    write(
        "request.resend",
        "service",
        request.handling().service(),
        "budget",
        budget,
        "used",
        decision.map(ExtraSendBudget.Decision::used).orElse(0),
        "allowed",
        decision.map(ExtraSendBudget.Decision::allowed).orElse(0.0),
        "entries",
        orNone(decision.map(ExtraSendBudget.Decision::entries).orElse(OptionalInt.empty())));
  }

  /** Logs the end of the request: the response was sent or aborted, or the caller disconnected. */
  void logFinished(Summary summary) {
    RequestTiming timing = summary.timing();
    write(
        "request.finished",
        "queueMillis",
        timing.millis(Stage.QUEUE),
        "placementMillis",
        timing.millis(Stage.PLACEMENT),
        "connectMillis",
        timing.millis(Stage.CONNECT),
        "endpointMillis",
        timing.millis(Stage.ENDPOINT),
        "relayMillis",
        timing.millis(Stage.RELAY),
        "objectiveMillis",
        request.handling().firstByteObjective().toMillis(),
        "promptParts",
        request.fingerprints().promptPartsText(),
        "outcome",
        summary.outcome(),
        "status",
        summary.status(),
        "endpoint",
        summary.servedBy(),
        "connection",
        summary.connectionUse().localPort(),
        "requestOnConnection",
        summary.connectionUse().requestNumber(),
        "targets",
        summary.sends(),
        "mayHaveRun",
        summary.mayHaveRun(),
        "promptTokens",
        request.promptTokens(),
        "outputTokens",
        request.maxOutputTokens(),
        "lengthHint",
        request.lengthHint(),
        "lastEvent",
        orNone(summary.lastEvent()),
        "firstByteMillis",
        summary.firstByteMillis(),
        "millis",
        summary.millis());
  }

  /** Writes a line that starts with the request id and the route. */
  private void write(String event, Object... keysAndValues) {
    Object[] prefix = {"request", request.id(), "route", request.handling().route()};
    Object[] line = Arrays.copyOf(prefix, prefix.length + keysAndValues.length);
    System.arraycopy(keysAndValues, 0, line, prefix.length, keysAndValues.length);
    LOG.log(System.Logger.Level.INFO, event, line);
  }

  private static Object orNone(OptionalDouble number) {
    return number.isPresent() ? number.getAsDouble() : "none";
  }

  private static Object orNone(OptionalInt number) {
    return number.isPresent() ? number.getAsInt() : "none";
  }

  private static Object orNone(OptionalLong number) {
    return number.isPresent() ? number.getAsLong() : "none";
  }
}
