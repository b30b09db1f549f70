package org.lacewingcroft.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses one of the eligible endpoints for a request.
 *
 * <p>Implementations are pure functions of their arguments and register themselves through {@link
 * java.util.ServiceLoader} under {@code META-INF/services}; {@link RoutingPolicies} finds them by
 * {@link #name()}.
 */
public interface RoutingPolicy {

  /** Returns the name used in {@code --routing-policy}, such as {@code least-in-flight}. */
  String name();

  /**
   * Returns the endpoint that serves the request.
   *
   * @param candidates the eligible endpoints, never empty, all within the residency
   * @param request the request being routed
   * @return the chosen candidate, or empty to refuse the request, for example if all are saturated
   */
  Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request);
}
