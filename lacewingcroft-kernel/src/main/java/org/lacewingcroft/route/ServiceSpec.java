package org.lacewingcroft.route;

import java.time.Duration;
import java.util.Optional;

/**
 * What the operator says of a service.
 *
 * @param name the service's name
 * @param maxConnections connections that one of its endpoints accepts from all callers together
 * @param warmup how long an endpoint is cold after its start
 * @param coldRequestsPerSecond requests a second that a cold endpoint bears
 * @param engine the model engine's properties; empty for a plain service
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    Duration warmup,
    double coldRequestsPerSecond,
    Optional<Engine> engine) {

  /**
   * The properties of a batching model engine.
   *
   * @param slots requests that run at once
   * @param kvCapacityTokens tokens that its KV cache holds
   * @param tokenKvBytes what one token takes in the KV cache
   * @param eventTokens the tokens that one event of an answer holds
   * @param linkMbps the speed at which engines send KV cache to each other, in Mbit/s; 0 if they
   *     cannot
   */
  public record Engine(
      int slots, long kvCapacityTokens, int eventTokens, double tokenKvBytes, double linkMbps) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AT_ONE_MBPS = 1_000;

    /** Returns whether engines can fetch KV cache from each other. */
    public boolean supportsKvFetch() {
      return linkMbps > 0 && tokenKvBytes > 0;
    }

    /** Returns how long the KV cache of some tokens takes from one engine to another, in ms. */
    public double transferMillis(long tokens) {
      return tokens * tokenKvBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MILLI_AT_ONE_MBPS);
    }
  }
}
