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
 * Decides where a request goes now: the {@link Router}'s decision on the newest snapshots, around
 * the endpoints and regions that failed this request, around endpoints that asked for a pause and,
 * if that leaves any, around endpoints that fail at present.
 */
final class RouteChooser {
  private static final System.Logger LOG = System.getLogger(RouteChooser.class.getName());
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final Router router;
  private final ConfigStore configs;
  private final EndpointRegistry endpoints;
  private final RegionView regions;
  private final InstantSource clock;
  private final EndpointHealth health;

  RouteChooser(
      Router router,
      ConfigStore configs,
      EndpointRegistry endpoints,
      RegionView regions,
      EndpointHealth health,
      InstantSource clock) {
    this.router = router;
    this.configs = configs;
    this.endpoints = endpoints;
    this.regions = regions;
    this.health = health;
    this.clock = clock;
  }

  RouteDecision choose(Exchange exchange) {
    Instant now = clock.instant();
    Set<String> mustPassOver = new HashSet<>(exchange.passedOver());
    mustPassOver.addAll(health.remainingPauses(now).keySet());
    Set<String> passedOver = new HashSet<>(health.endpointsInBackoff(now));
    passedOver.addAll(mustPassOver);
    RouteDecision decision = route(exchange, passedOver);
    boolean refused = decision instanceof RouteDecision.Refuse;
    return refused && passedOver.size() > mustPassOver.size()
        ? route(exchange, mustPassOver)
        : decision;
  }

  /** Returns how long until the first endpoint takes requests again that asked for a pause. */
  Optional<Duration> pauseLeft(Exchange exchange) {
    Map<String, Duration> paused = health.remainingPauses(clock.instant());
    return endpoints.snapshot().serving(exchange.request().model()).stream()
        .map(Endpoint::id)
        .flatMap(id -> Optional.ofNullable(paused.get(id)).stream())
        .min(Comparator.naturalOrder());
  }

  private RouteDecision route(Exchange exchange, Set<String> passedOver) {
    return router.route(
        exchange.request().toRouteRequest(passedOver),
        configs.current().config(),
        endpoints.snapshot(),
        regions,
        clock.instant());
  }

  /** Keeps the exchange away from a target that failed it, and others from a failing endpoint. */
  void passOver(Exchange exchange, Attempt attempt) {
    if (attempt.toEndpoint()) {
      health.recordFailure(attempt.target(), clock.instant());
      exchange.passedOver().add(attempt.target());
    } else {
      exchange.passedOver().add(attempt.targetRegion());
    }
  }

  /**
   * Notes what an endpoint's answer says of its health.
   *
   * @param retryAfter for how long it wants nothing further, if it says so
   */
  void noteAnswer(Attempt attempt, int status, Optional<Duration> retryAfter) {
    if (!attempt.toEndpoint()) {
      return;
    }
    if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
      retryAfter.ifPresent(pause -> askedForPause(attempt.target(), pause));
    }
    if (status >= 500) {
      health.recordFailure(attempt.target(), clock.instant());
    } else {
      health.recordSuccess(attempt.target());
    }
  }

  private void askedForPause(String endpoint, Duration pause) {
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
