package org.lacewingcroft.route;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body
 * @param headerTimeout how long a caller may take to send the head
 * @param idleTimeout how long a connection may stay unused
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** Used until a document states others. */
  public static final RequestLimits DEFAULT =
      new RequestLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
