package org.lacewingcroft.quarantine;

import java.time.Duration;

/**
 * The crash of an endpoint that was running a request content. A lost or replaced incarnation
 * counts as crashed.
 *
 * @param incarnation the incarnation that crashed, as {@code id@start}
 * @param age the time since the crash
 * @param detectedByTimeout whether the crash was not observed as a lost connection, because the
 *     endpoint only became unresponsive or the run had been abandoned before; the time of the crash
 *     is then approximate
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
