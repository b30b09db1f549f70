package org.lacewingcroft.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.endpoint.EndpointHealth;
import org.lacewingcroft.routing.RouteDecision;
import org.lacewingcroft.routing.Router;

/**
 * Decides where a request goes now: the {@link Router}'s decision on the newest snapshots, around
 * the endpoints and regions that failed this request and, if that leaves any, around endpoints that
 * fail at present.
 */
final class RouteChooser {
  private static final Duration FIRST_PASS_OVER = Duration.ofSeconds(1);

  private final Router router;
  private final ConfigStore configs;
  private final EndpointRegistry endpoints;
  private final RegionView regions;
  private final InstantSource clock;
  private final EndpointHealth health = new EndpointHealth(FIRST_PASS_OVER);

  RouteChooser(
      Router router,
      ConfigStore configs,
      EndpointRegistry endpoints,
      RegionView regions,
      InstantSource clock) {
    this.router = router;
    this.configs = configs;
    this.endpoints = endpoints;
    this.regions = regions;
    this.clock = clock;
  }

  RouteDecision choose(Exchange exchange) {
    Set<String> passedOver = new HashSet<>(health.passedOver(clock.instant()));
    passedOver.addAll(exchange.passedOver());
    RouteDecision decision = route(exchange, passedOver);
    boolean refused = decision instanceof RouteDecision.Refuse;
    return refused && passedOver.size() > exchange.passedOver().size()
        ? route(exchange, exchange.passedOver())
        : decision;
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
      health.failed(attempt.target(), clock.instant());
      exchange.passedOver().add(attempt.target());
    } else {
      exchange.passedOver().add(attempt.targetRegion());
    }
  }

  /** Notes what an endpoint's answer says of its health. */
  void noteAnswer(Attempt attempt, int status) {
    if (!attempt.toEndpoint()) {
      return;
    }
    if (status >= 500) {
      health.failed(attempt.target(), clock.instant());
    } else {
      health.succeeded(attempt.target());
    }
  }
}
