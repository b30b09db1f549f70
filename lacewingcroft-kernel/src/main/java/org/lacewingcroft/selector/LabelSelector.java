package org.lacewingcroft.selector;

import java.util.List;
import java.util.Map;

/**
 * A Kubernetes-style label selector, which matches if every {@code matchLabels} pair and every
 * requirement holds. An empty selector matches every label set.
 *
 * @param matchLabels labels that must be present with exactly these values
 * @param matchExpressions set-based requirements that must all hold
 */
public record LabelSelector(Map<String, String> matchLabels, List<Requirement> matchExpressions) {

  /** A selector that matches everything. */
  public static final LabelSelector EVERYTHING = new LabelSelector(Map.of(), List.of());

  /** Copies the collections so that the record is immutable. */
  public LabelSelector {
    matchLabels = Map.copyOf(matchLabels);
    matchExpressions = List.copyOf(matchExpressions);
  }

  /** Returns whether the given labels satisfy the selector. */
  public boolean matches(Map<String, String> labels) {
    for (Map.Entry<String, String> required : matchLabels.entrySet()) {
      if (!required.getValue().equals(labels.get(required.getKey()))) {
        return false;
      }
    }
    for (Requirement requirement : matchExpressions) {
      if (!requirement.matches(labels)) {
        return false;
      }
    }
    return true;
  }
}
