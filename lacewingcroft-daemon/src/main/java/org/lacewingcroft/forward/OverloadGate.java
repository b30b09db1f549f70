package org.lacewingcroft.forward;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.SplittableRandom;
import org.lacewingcroft.fleet.EventLoopMonitor;
import org.lacewingcroft.http.ReadTimes;
import org.lacewingcroft.limit.EntryAdmission;
import org.lacewingcroft.limit.EventLoopLoad;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Applies {@link EntryAdmission} to the requests that an entry reads while its event loop is late.
 *
 * <p>Confined to the event loop thread.
 */
final class OverloadGate {
  private static final String REFUSAL = "this entry is overloaded; the request waited too long";

  private final EventLoopMonitor eventLoop;
  private final RequestReader reader;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private final EntryAdmission admission = new EntryAdmission(new SplittableRandom());

  OverloadGate(
      EventLoopMonitor eventLoop,
      RequestReader reader,
      GatewayMetrics metrics,
      InstantSource clock) {
    this.eventLoop = eventLoop;
    this.reader = reader;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Records that a request head was read from a connection of a caller. */
  void onRequestHead(Channel channel) {
    ReadTimes.add(channel, eventLoop.unreadSince());
  }

  /**
   * Returns a lower bound of the time at which a request arrived, or the current time if it has not
   * waited. Must be called once for each request.
   */
  Instant arrivalOf(HttpServerRequest request) {
    Instant arrivedAt = ReadTimes.poll(request).orElseGet(eventLoop::unreadSince);
    Instant now = clock.instant();
    return arrivedAt.plus(EventLoopLoad.MIN_DELAY).isAfter(now) ? now : arrivedAt;
  }

  /**
   * Admits a request, or responds with a refusal if it cannot be served in time.
   *
   * @param arrivedAt the result of {@link #arrivalOf}
   * @param sender the kind of sender, for the metrics
   * @return whether the request is admitted
   */
  boolean admit(
      HttpServerRequest request,
      CallerResponse response,
      Handling handling,
      Instant arrivedAt,
      String sender) {
    EntryAdmission.Decision decision =
        admission.decide(
            new EntryAdmission.Candidate(
                Duration.between(arrivedAt, clock.instant()),
                timeLimit(request, handling),
                handling.firstByteObjective(),
                handling.isIdempotent()),
            eventLoop.load().expectedIteration());
    if (decision instanceof EntryAdmission.Refused refused) {
      metrics.overloadRefusals.labelValues(sender).inc();
      eventLoop.recordRefused();
      response.sendError(503, REFUSAL, true, Optional.of(refused.retryAfter()));
      return false;
    }
    return true;
  }

  private Duration timeLimit(HttpServerRequest request, Handling handling) {
    return reader
        .timeoutOf(request)
        .filter(timeout -> timeout.compareTo(handling.timeout()) < 0)
        .orElse(handling.timeout());
  }

  /**
   * Starts a request whose body is complete, after the event loop has read whether its sender has
   * disconnected. A request whose sender has disconnected is not started.
   */
  void start(CallerResponse response, String sender, Runnable action) {
    eventLoop.runWhenPolled(
        () -> {
          if (response.isOpen() && response.isConnected()) {
            action.run();
          } else {
            metrics.disconnectedBeforeStart.labelValues(sender).inc();
            eventLoop.recordDisconnected();
          }
        });
  }
}
