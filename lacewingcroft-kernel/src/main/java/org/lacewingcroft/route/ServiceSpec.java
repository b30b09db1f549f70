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
   */
  public record Engine(int slots, long kvCapacityTokens) {}
}
