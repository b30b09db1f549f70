package org.lacewingcroft.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointHealth;
import org.lacewingcroft.routing.RouteDecision;
import org.lacewingcroft.routing.Router;

/**
 * Selects the target of a request: the {@link Router}'s decision on the latest snapshots, without
 * the endpoints and regions that failed this request and without the endpoints that requested a
 * pause. Endpoints in backoff after failures are excluded as well, unless the request would then
 * have to be refused.
 */
final class RouteChooser {
  private static final System.Logger LOG = System.getLogger(RouteChooser.class.getName());
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Router router;
  private final ConfigStore configs;
  private final EndpointRegistry endpoints;
  private final RegionView regionView;
  private final InstantSource clock;
  private final EndpointHealth health;

  RouteChooser(
      Router router,
      ConfigStore configs,
      EndpointRegistry endpoints,
      RegionView regionView,
      EndpointHealth health,
      InstantSource clock) {
    this.router = router;
    this.configs = configs;
    this.endpoints = endpoints;
    this.regionView = regionView;
    this.health = health;
    this.clock = clock;
  }

  RouteDecision choose(Exchange exchange) {
    Instant now = clock.instant();
    Set<String> excluded = new HashSet<>(exchange.excludedTargets());
    excluded.addAll(health.remainingPauses(now).keySet());
    Set<String> excludedOrInBackoff = new HashSet<>(health.endpointsInBackoff(now));
    excludedOrInBackoff.addAll(excluded);
    RouteDecision decision = route(exchange, excludedOrInBackoff);
    boolean refused = decision instanceof RouteDecision.Refuse;
    return refused && excludedOrInBackoff.size() > excluded.size()
        ? route(exchange, excluded)
        : decision;
  }

  /**
   * Returns the time until the first paused endpoint that serves the request's model accepts
   * requests again; empty if none is paused.
   */
  Optional<Duration> remainingPause(Exchange exchange) {
    Map<String, Duration> paused = health.remainingPauses(clock.instant());
    return endpoints.snapshot().serving(exchange.request().model()).stream()
        .map(Endpoint::id)
        .flatMap(id -> Optional.ofNullable(paused.get(id)).stream())
        .min(Comparator.naturalOrder());
  }

  private RouteDecision route(Exchange exchange, Set<String> excluded) {
    return router.route(
        exchange.request().toRouteRequest(excluded),
        configs.current().config(),
        endpoints.snapshot(),
        regionView,
        clock.instant());
  }

  /**
   * Excludes the target of a failed attempt for this exchange. An endpoint also enters backoff, in
   * which other requests avoid it.
   */
  void excludeTarget(Exchange exchange, Attempt attempt) {
    if (attempt.toEndpoint()) {
      health.recordFailure(attempt.target(), clock.instant());
      exchange.excludedTargets().add(attempt.target());
    } else {
      exchange.excludedTargets().add(attempt.targetRegion());
    }
  }

  /**
   * Updates an endpoint's health from its response. Responses of other entries are ignored.
   *
   * @param retryAfter the pause that the endpoint requested, if any
   */
  void recordResponse(Attempt attempt, int status, Optional<Duration> retryAfter) {
    if (!attempt.toEndpoint()) {
      return;
    }
    if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS) {
      retryAfter.ifPresent(pause -> recordPause(attempt.target(), pause));
    }
    if (status >= 500) {
      health.recordFailure(attempt.target(), clock.instant());
    } else {
      health.recordSuccess(attempt.target());
    }
  }

  private void recordPause(String endpoint, Duration pause) {
    health.recordPause(endpoint, pause, clock.instant());
    LOG.log(
        System.Logger.Level.INFO,
        "endpoint.pause_stated",
        "endpoint",
        endpoint,
        "millis",
        pause.toMillis());
  }
}
