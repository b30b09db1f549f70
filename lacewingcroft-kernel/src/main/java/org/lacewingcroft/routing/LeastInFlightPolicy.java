package org.lacewingcroft.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The baseline policy: the candidate with the lowest utilisation, ties broken by id. */
public final class LeastInFlightPolicy implements RoutingPolicy {
  /** The policy's name in settings. */
  public static final String NAME = "least-in-flight";

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request) {
    return candidates.stream()
        .min(
            Comparator.comparingDouble(Candidate::utilisation)
                .thenComparing(c -> c.endpoint().id()));
  }
}
