package org.lacewingcroft.quarantine;

import java.time.Duration;

/**
 * The end of an endpoint that had a content to run.
 *
 * @param incarnation the incarnation that ended, as {@code id@start}
 * @param age how long ago it ended
 * @param detectedByTimeout whether it just fell silent, so that the moment of its end is known only
 *     roughly
 */
public record EndpointCrash(String incarnation, Duration age, boolean detectedByTimeout) {
  /** Nothing is younger than now. */
  public EndpointCrash {
    age = age.isNegative() ? Duration.ZERO : age;
  }

  /** Returns the same end some time later. */
  public EndpointCrash agedBy(Duration time) {
    return new EndpointCrash(incarnation, age.plus(time), detectedByTimeout);
  }
}
