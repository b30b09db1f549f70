package org.lacewingcroft.config;

import java.util.Set;
import org.lacewingcroft.selector.LabelSelector;

/**
 * An operator's selector, which assigns requests to endpoints and regions.
 *
 * @param name the rule's unique name in the document
 * @param work the requests that the rule covers
 * @param endpoints the label selector that endpoints must satisfy
 * @param regions the regions where matching endpoints may serve these requests; empty means any
 */
public record RoutingRule(
    String name, WorkMatch work, LabelSelector endpoints, Set<String> regions) {

  /** Copies the region set so that the rule is immutable. */
  public RoutingRule {
    regions = Set.copyOf(regions);
  }

  /** Returns whether this rule allows its requests to be served in the given region. */
  public boolean allowsRegion(String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}
