package org.lacewingcroft.quarantine;

import java.time.Duration;

/**
 * The end of an endpoint that had a content to run.
 *
 * @param incarnation the incarnation that ended, as {@code id@start}
 * @param age how long ago it ended
 * @param silent whether it just fell silent, so that the moment of its end is known only roughly
 */
public record EndpointEnd(String incarnation, Duration age, boolean silent) {
  /** Nothing is younger than now. */
  public EndpointEnd {
    age = age.isNegative() ? Duration.ZERO : age;
  }

  /** Returns the same end some time later. */
  public EndpointEnd agedBy(Duration time) {
    return new EndpointEnd(incarnation, age.plus(time), silent);
  }
}
