package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.util.Set;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * What speaks against a content: endpoints broke off while they had it to run.
 *
 * @param content the content
 * @param endpoints the incarnations of endpoints that did, as {@code id@start}
 * @param age how long ago the last of them did
 */
public record Suspicion(RequestFingerprint content, Set<String> endpoints, Duration age) {
  /** Copies the set so that the suspicion is immutable; nothing is younger than now. */
  public Suspicion {
    endpoints = Set.copyOf(endpoints);
    age = age.isNegative() ? Duration.ZERO : age;
  }

  /** Returns the same suspicion some time later. */
  public Suspicion agedBy(Duration time) {
    return new Suspicion(content, endpoints, age.plus(time));
  }
}
