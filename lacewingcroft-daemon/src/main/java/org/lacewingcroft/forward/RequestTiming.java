package org.lacewingcroft.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/**
 * Divides the time from the arrival of a request to the first byte of its response into stages. A
 * request that is sent several times passes through some stages repeatedly; their times are added.
 *
 * <p>Confined to the event loop thread.
 */
final class RequestTiming {
  /** A stage of a request. */
  enum Stage {
    /** It waits for the event loop, and its body is received. */
    QUEUE,
    /** It is placed, or waits until it can be placed. */
    PLACEMENT,
    /** It waits for a connection to its target and for the event loop to write it. */
    CONNECT,
    /** Its target is an endpoint and has not sent the head of its response. */
    ENDPOINT,
    /** Its target is another entry and has not sent the head of its response. */
    RELAY
  }

  private final Map<Stage, Duration> durations = new EnumMap<>(Stage.class);
  private Stage stage = Stage.QUEUE;
  private Instant stageStart;
  private boolean ended;

  RequestTiming(Instant arrivedAt) {
    this.stageStart = arrivedAt;
  }

  /** Ends the current stage and begins another one. */
  void begin(Stage next, Instant now) {
    if (!ended) {
      durations.merge(stage, Duration.between(stageStart, now), Duration::plus);
      stage = next;
      stageStart = now;
    }
  }

  /** Ends the last stage; further calls have no effect. */
  void end(Instant now) {
    begin(stage, now);
    ended = true;
  }

  /** Returns the time spent in a stage, in ms. */
  long millis(Stage of) {
    return durations.getOrDefault(of, Duration.ZERO).toMillis();
  }
}
