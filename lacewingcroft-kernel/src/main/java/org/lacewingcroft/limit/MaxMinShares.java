package org.lacewingcroft.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Divides a capacity between organisations so that the shares are max-min fair by weight. */
final class MaxMinShares {
  /** Part of the mean share that an organisation gets whatever its weight, if it asks for it. */
  private static final double MIN_SHARE_OF_MEAN = 0.25;

  private MaxMinShares() {}

  /**
   * Returns the share of each organisation, at most its demand. What an organisation does not ask
   * for is divided between the others by weight.
   *
   * @param capacity the capacity to divide, in the unit of the demands
   * @param demands the demand by organisation
   * @param weights the weight by organisation; 1 where it is missing
   */
  static Map<String, Double> of(
      double capacity, Map<String, Double> demands, Map<String, Double> weights) {
    Map<String, Double> shares = new HashMap<>();
    Set<String> unsatisfied = new TreeSet<>(demands.keySet());
    double left = capacity;
    boolean changed = true;
    while (changed && !unsatisfied.isEmpty()) {
      changed = false;
      double weightSum = unsatisfied.stream().mapToDouble(o -> weights.getOrDefault(o, 1.0)).sum();
      double perWeight = left / weightSum;
      for (String organisation : Set.copyOf(unsatisfied)) {
        double demand = demands.get(organisation);
        if (demand <= perWeight * weights.getOrDefault(organisation, 1.0)) {
          shares.put(organisation, demand);
          left -= demand;
          unsatisfied.remove(organisation);
          changed = true;
        }
      }
    }
    double weightSum = unsatisfied.stream().mapToDouble(o -> weights.getOrDefault(o, 1.0)).sum();
    double minimum = MIN_SHARE_OF_MEAN * capacity / Math.max(1, demands.size());
    for (String organisation : unsatisfied) {
      double share = left * weights.getOrDefault(organisation, 1.0) / weightSum;
      shares.put(organisation, Math.min(demands.get(organisation), Math.max(minimum, share)));
    }
    return shares;
  }
}
