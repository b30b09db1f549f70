package org.lacewingcroft.routing;

import java.util.List;
import java.util.Optional;

/**
 * Picks one endpoint among the eligible candidates for a request.
 *
 * <p>Implementations are pure functions of their arguments and register themselves through {@link
 * java.util.ServiceLoader} under {@code META-INF/services}; {@link RoutingPolicies} finds them by
 * {@link #name()}.
 */
public interface RoutingPolicy {

  /** Returns the name used in {@code --routing-policy}, such as {@code least-in-flight}. */
  String name();

  /**
   * Chooses a candidate.
   *
   * @param candidates the eligible endpoints, never empty, all inside the residency
   * @param request the request being routed
   * @return the chosen candidate, or empty to refuse (for example when all are saturated)
   */
  Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request);
}
