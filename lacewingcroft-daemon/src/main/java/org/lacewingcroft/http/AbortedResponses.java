package org.lacewingcroft.http;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Counts and logs the responses that this entry ends before they are complete, by closing the
 * connection to the caller or to the entry that relayed the request. Log lines are limited per
 * second, because many responses end together when an endpoint crashes; the counter is not.
 */
public final class AbortedResponses {
  /** Why a response was ended. */
  public enum Cause {
    /** The endpoint closed the connection or sent an invalid response. */
    ENDPOINT_FAILED,
    /** The entry that relayed the request closed the connection or sent an invalid response. */
    RELAY_FAILED,
    /** The attempt ended and no other target could continue the response. */
    NO_TARGET,
    /** The attempt ended and the request may not be sent again. */
    NO_RESEND,
    /** The content of the request was quarantined. */
    QUARANTINED,
    /** The response was due. */
    DUE,
    /** This entry shut down. */
    SHUTDOWN
  }

  private static final System.Logger LOG = System.getLogger(AbortedResponses.class.getName());

  private static final int MAX_LINES_PER_SECOND = 20;

  private final Supplier<Configuration> configuration;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private Instant secondStart = Instant.EPOCH;
  private int linesInSecond;
  private long unlogged;

  /**
   * The configuration in use.
   *
   * @param version its version
   * @param since when it became active, by the clock of the reports, if recorded
   */
  public record Configuration(long version, Optional<Instant> since) {}

  /**
   * One response that was ended.
   *
   * @param request the id of the request
   * @param route the route or path of the request
   * @param cause why it was ended
   * @param detail what was observed
   * @param target the last endpoint or entry that the request was sent to, if any
   * @param relayed whether another entry sent the request
   * @param lastEvent the id of the last event passed on, if the response is a stream
   * @param age the time since the request arrived
   */
  public record AbortedResponse(
      String request,
      String route,
      Cause cause,
      String detail,
      Optional<String> target,
      boolean relayed,
      OptionalLong lastEvent,
      Duration age) {}

  /**
   * Creates the reports of one daemon.
   *
   * @param configuration returns the configuration in use, for the log
   */
  public AbortedResponses(
      Supplier<Configuration> configuration, GatewayMetrics metrics, InstantSource clock) {
    this.configuration = configuration;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Counts a response that was ended and logs it, unless too many lines were written recently. */
  public synchronized void report(AbortedResponse aborted) {
    String cause = aborted.cause().name().toLowerCase(Locale.ROOT);
    metrics.abortedResponses.labelValues(cause).inc();
    Instant now = clock.instant();
    if (!tryTakeLine(now)) {
      unlogged++;
      return;
    }
    Configuration inUse = configuration.get();
    LOG.log(
        System.Logger.Level.WARNING,
        "response.aborted",
        "request",
        aborted.request(),
        "route",
        aborted.route(),
        "sender",
        aborted.relayed() ? "entry" : "caller",
        "cause",
        cause,
        "detail",
        aborted.detail(),
        "target",
        aborted.target().orElse("none"),
        "lastEvent",
        aborted.lastEvent().isPresent() ? aborted.lastEvent().getAsLong() : "none",
        "millis",
        aborted.age().toMillis(),
        "configVersion",
        inUse.version(),
        "configAgeMillis",
        inUse.since().<Object>map(s -> Duration.between(s, now).toMillis()).orElse("none"),
        "unlogged",
        unlogged);
    unlogged = 0;
  }

  private boolean tryTakeLine(Instant now) {
    if (!now.isBefore(secondStart.plusSeconds(1))) {
      secondStart = now;
      linesInSecond = 0;
    }
    return ++linesInSecond <= MAX_LINES_PER_SECOND;
  }
}
