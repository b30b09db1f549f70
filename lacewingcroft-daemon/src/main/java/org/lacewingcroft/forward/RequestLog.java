package org.lacewingcroft.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.placement.EndpointTracker;
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
   * @param targets how many times the request was sent
   * @param mayHaveRun whether an endpoint may have run it
   * @param lastEvent the id of the last event passed on, if the response is a stream
   * @param firstByteMillis the time from arrival to the response head, -1 if none was received
   * @param millis the time from arrival to the end
   */
  record End(
      String outcome,
      int status,
      String servedBy,
      int targets,
      boolean mayHaveRun,
      OptionalLong lastEvent,
      long firstByteMillis,
      long millis) {}

  RequestLog(ForwardRequest request) {
    this.request = request;
  }

  /**
   * Logs that the request is sent to an endpoint of this region.
   *
   * @param readTokens the prompt tokens that the endpoint has to prefill
   * @param attempt the number of this send, from 1
   * @param revision the revision of the routing state
   */
  void placed(Placement.ToEndpoint here, long readTokens, int attempt, long revision, Instant now) {
    write(
        "request.placed",
        "fingerprint",
        request.fingerprint(),
        "sender",
        request.sender(),
        "service",
        request.handling().service(),
        "target",
        here.endpoint().record().id(),
        "expectedMillis",
        Math.round(here.expectedMillis()),
        "tokenMillis",
        Math.round(here.tokenMillis()),
        "readTokens",
        readTokens,
        "fetchFrom",
        here.fetch().map(f -> f.source().record().id()).orElse("none"),
        "fetchTokens",
        here.fetch().map(Placement.PrefixFetch::tokens).orElse(0L),
        "rateLimit",
        orNone(here.endpoint().rateLimit().perSecond()),
        "pauseLeftMillis",
        here.endpoint().conditions().remainingPause(now).toMillis(),
        "try",
        attempt,
        "revision",
        revision);
  }

  /**
   * Logs that the request is relayed to an entry of another region.
   *
   * @param attempt the number of this send, from 1
   * @param revision the revision of the routing state
   */
  void relayed(EntryInfo entry, Placement.ToRegion elsewhere, int attempt, long revision) {
    write(
        "request.placed",
        "fingerprint",
        request.fingerprint(),
        "sender",
        request.sender(),
        "service",
        request.handling().service(),
        "target",
        entry.name(),
        "region",
        elsewhere.region(),
        "expectedMillis",
        Math.round(elsewhere.expectedMillis()),
        "try",
        attempt,
        "revision",
        revision);
  }

  /**
   * Logs that placement refused the request.
   *
   * @param passedOver the targets excluded for this request
   * @param revision the revision of the routing state
   */
  void refused(Placement.Refused refused, Set<String> passedOver, long revision) {
    Placement.RefusalDetails evidence = refused.evidence();
    write(
        "request.refused",
        "service",
        request.handling().service(),
        "reason",
        refused.reason(),
        "waitHereMillis",
        orNone(evidence.localWaitMillis()),
        "waitElsewhereMillis",
        orNone(evidence.remoteWaitMillis()),
        "patienceMillis",
        evidence.maxWaitMillis(),
        "retryAfterMillis",
        refused.retryAfter().toMillis(),
        "passedOver",
        passedOver,
        "revision",
        revision);
  }

  /**
   * Logs that the request is refused because its content crashes the endpoints that run it.
   *
   * @param remaining how long the content stays quarantined
   */
  void quarantined(Duration remaining) {
    write(
        "request.refused",
        "fingerprint",
        request.fingerprint(),
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
   * @param what the class of the failure, as in the metric of failed attempts
   * @param detail what was observed
   * @param lastEvent the id of the last event passed on, if the response is a stream
   * @param now the time for which the endpoint's load is logged
   */
  void tryFailed(
      UpstreamTarget target, String what, String detail, OptionalLong lastEvent, Instant now) {
    Optional<EndpointTracker> endpoint = target.endpoint();
    write(
        "request.try_failed",
        "fingerprint",
        request.fingerprint(),
        "target",
        target.name(),
        "what",
        what,
        "detail",
        detail,
        "lastEvent",
        orNone(lastEvent),
        "sentMillisAgo",
        target.ticket().map(t -> Duration.between(t.sentAt(), now).toMillis()).orElse(-1L),
        "running",
        endpoint.map(e -> e.allRunning(now)).orElse(-1),
        "cold",
        endpoint.map(e -> e.isCold(now)).orElse(false));
  }

  /** Logs the end of the request: the response was sent or aborted, or the caller disconnected. */
  void finished(End end) {
    write(
        "request.finished",
        "outcome",
        end.outcome(),
        "status",
        end.status(),
        "endpoint",
        end.servedBy(),
        "targets",
        end.targets(),
        "mayHaveRun",
        end.mayHaveRun(),
        "promptTokens",
        request.promptTokens(),
        "outputTokens",
        request.outputTokens(),
        "lengthHint",
        request.lengthHint(),
        "lastEvent",
        orNone(end.lastEvent()),
        "firstByteMillis",
        end.firstByteMillis(),
        "millis",
        end.millis());
  }

  /** Writes a line that starts with the request id and the route. */
  private void write(String event, Object... namesAndValues) {
    Object[] head = {"request", request.id(), "route", request.handling().route()};
    Object[] line = Arrays.copyOf(head, head.length + namesAndValues.length);
    System.arraycopy(namesAndValues, 0, line, head.length, namesAndValues.length);
    LOG.log(System.Logger.Level.INFO, event, line);
  }

  private static Object orNone(OptionalDouble number) {
    return number.isPresent() ? number.getAsDouble() : "none";
  }

  private static Object orNone(OptionalLong number) {
    return number.isPresent() ? number.getAsLong() : "none";
  }
}
