package org.lacewingcroft.route;

import java.time.Duration;
import java.util.Optional;

/**
 * The properties of a service that the operator configured.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that each of its endpoints accepts in
 *     total
 * @param warmup the time after its start during which an endpoint is cold
 * @param coldRequestsPerSecond the maximum request rate of a cold endpoint, per second
 * @param healthPath the path at which its endpoints answer health checks, if they do
 * @param engine the properties of its model engine; empty for a plain service
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    Duration warmup,
    double coldRequestsPerSecond,
    Optional<String> healthPath,
    Optional<Engine> engine) {

  /**
   * The properties of a batching model engine.
   *
   * @param slots the maximum number of requests that run concurrently
   * @param kvCapacityTokens the capacity of its KV cache, in tokens
   * @param tokenKvBytes the size of one token in the KV cache, in bytes
   * @param eventTokens the number of output tokens in one event of a response
   * @param linkMbps the bandwidth between engines for KV cache transfers, in Mbit/s; 0 if engines
   *     cannot transfer KV cache
   */
  public record Engine(
      int slots, long kvCapacityTokens, int eventTokens, double tokenKvBytes, double linkMbps) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AT_ONE_MBPS = 1_000;

    /** Returns whether engines support KV cache fetches from each other. */
    public boolean supportsKvFetch() {
      return linkMbps > 0 && tokenKvBytes > 0;
    }

    /**
     * Returns the time to transfer the KV cache of a number of tokens between two engines, in ms.
     */
    public double transferMillis(long tokens) {
      return tokens * tokenKvBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MILLI_AT_ONE_MBPS);
    }
  }
}
