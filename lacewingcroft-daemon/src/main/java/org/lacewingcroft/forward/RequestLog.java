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
 * The log lines of one request: one for each decision about it, with what decided it. On-call
 * engineers follow a request from its id by them.
 */
final class RequestLog {
  private static final System.Logger LOG = System.getLogger(RequestLog.class.getName());

  private final ForwardRequest request;

  /**
   * How a request ended.
   *
   * @param outcome in words
   * @param status the status answered, 0 if the caller had left
   * @param servedBy the endpoint or entry whose answer it got
   * @param targets how many targets it was sent to
   * @param mayHaveRun whether an endpoint may have run it
   * @param lastEvent the last event passed on, of a stream
   * @param firstByteMillis until the answer's head was here, -1 if it never was
   * @param millis in all
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

  /** It goes to an endpoint of this region. */
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

  /** It goes to an entry of another region. */
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

  /** It is turned away. */
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
   * It is turned away because its content ends the endpoints that run it.
   *
   * @param remaining how long the content is still quarantined
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
   * A target did not answer it in full.
   *
   * @param target the target
   * @param what in a word
   * @param detail what was observed
   * @param lastEvent the last event passed on, of a stream
   * @param now the time, by which the target's state is told
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

  /** It has its final answer, or its caller has left. */
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

  /** Writes a line that begins with the request's id and route. */
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
