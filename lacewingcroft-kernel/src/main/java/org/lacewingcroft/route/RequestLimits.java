package org.lacewingcroft.route;

import java.time.Duration;

/**
 * Limits on the size of requests and on the time allowed for sending them.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time for a caller to send the request head
 * @param idleTimeout the time after which an idle connection is closed
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** The limits that apply until a routing document sets others. */
  public static final RequestLimits DEFAULT =
      new RequestLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
