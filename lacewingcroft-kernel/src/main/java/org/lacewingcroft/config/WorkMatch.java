package org.lacewingcroft.config;

import java.util.Set;

/**
 * Specifies the requests that a {@link RoutingRule} covers. An empty set matches any value.
 *
 * @param organisations organisation (tenant) names
 * @param models model names as sent by callers
 * @param priorities request priorities such as {@code normal} or {@code high}
 */
public record WorkMatch(Set<String> organisations, Set<String> models, Set<String> priorities) {

  /** Matches all requests. */
  public static final WorkMatch ANY = new WorkMatch(Set.of(), Set.of(), Set.of());

  /** Copies the sets so that the match is immutable. */
  public WorkMatch {
    organisations = Set.copyOf(organisations);
    models = Set.copyOf(models);
    priorities = Set.copyOf(priorities);
  }

  /** Returns whether a request with these attributes is covered. */
  public boolean covers(String organisation, String model, String priority) {
    return matches(organisations, organisation)
        && matches(models, model)
        && matches(priorities, priority);
  }

  private static boolean matches(Set<String> accepted, String value) {
    return accepted.isEmpty() || accepted.contains(value);
  }
}
