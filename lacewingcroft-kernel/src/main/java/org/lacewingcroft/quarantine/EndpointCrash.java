package org.lacewingcroft.quarantine;

import java.time.Duration;

/**
 * The crash of an endpoint that was running a request content. A lost or replaced incarnation
 * counts as crashed.
 *
 * @param incarnation the incarnation that crashed, as {@code id@start}
 * @param age the time since the crash
 * @param detectedByTimeout whether the endpoint only became unresponsive, so that the time of the
 *     crash is approximate
 */
public record EndpointCrash(String incarnation, Duration age, boolean detectedByTimeout) {
  /** Replaces a negative age with zero, because a crash cannot be in the future. */
  public EndpointCrash {
    age = age.isNegative() ? Duration.ZERO : age;
  }

  /** Returns the same crash with its age increased by the given time. */
  public EndpointCrash agedBy(Duration time) {
    return new EndpointCrash(incarnation, age.plus(time), detectedByTimeout);
  }
}
