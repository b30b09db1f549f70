package org.lacewingcroft.config;

import java.util.Set;
import org.lacewingcroft.selector.LabelSelector;

/**
 * An operator's selector: which work may go to which endpoints, in which regions.
 *
 * @param name the rule's unique name in the document
 * @param work which requests the rule covers
 * @param endpoints the label selector endpoints must satisfy
 * @param regions the regions where matching endpoints may serve this work; empty means any
 */
public record RoutingRule(
    String name, WorkMatch work, LabelSelector endpoints, Set<String> regions) {

  /** Copies the region set so the rule is immutable. */
  public RoutingRule {
    regions = Set.copyOf(regions);
  }

  /** Returns whether this rule lets its work be served in the given region. */
  public boolean allowsRegion(String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}
