package org.lacewingcroft.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The priority of each route's requests in the queues of a service: the priority that the operator
 * configured for the route, raised to that of the most urgent route of the same service whose
 * latency objective is at least as long.
 *
 * <p>This is designed for a load peak at which long reviews with a short latency objective have a
 * lower priority than short questions with a longer one. If prompts are prefilled in that order,
 * each review waits for every question that arrives in the meantime and misses its objective, while
 * the questions finish a second early. If both have the same priority, prompts are prefilled in
 * arrival order and both meet their objectives: with four entries, 96% of the reviews instead of
 * 87% at the capacity of three engines and 89% instead of 68% at 1.3 times that capacity, and 99%
 * of the questions either way (simulations of 60 s, four seeds).
 */
final class QueuePriorities {
  private record Key(String route, String service) {}

  private final Map<Key, Integer> priorities = new HashMap<>();

  QueuePriorities(Collection<Route> routes) {
    Map<String, List<Route>> routesByService = new HashMap<>();
    for (Route route : routes) {
      for (ServiceShare share : route.shares()) {
        routesByService.computeIfAbsent(share.service(), s -> new ArrayList<>()).add(route);
      }
    }
    routesByService.forEach(
        (service, serviceRoutes) ->
            serviceRoutes.forEach(
                r -> priorities.put(new Key(r.name(), service), priority(r, serviceRoutes))));
  }

  private static int priority(Route route, List<Route> serviceRoutes) {
    return serviceRoutes.stream()
        .filter(r -> r.latencyObjective().compareTo(route.latencyObjective()) >= 0)
        .mapToInt(Route::priority)
        .reduce(route.priority(), Math::min);
  }

  /** Returns the priority of a route's requests at a service, 0 the most urgent. */
  int of(Route route, String service) {
    return priorities.getOrDefault(new Key(route.name(), service), route.priority());
  }
}
