package org.lacewingcroft.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Sends requests that share a prompt prefix to the same engine, so its prefix cache hits.
 *
 * <p>The engine is chosen by rendezvous hashing of the request's affinity key over the candidates;
 * when that engine's estimated utilisation reaches {@link #SPILL_UTILISATION} the request spills to
 * the next engine in rendezvous order, and if all are that busy it falls back to least utilisation.
 * Rendezvous order moves only the keys of an engine that joins or leaves.
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {
  /** The policy's name in settings. */
  public static final String NAME = "prefix-affinity";

  /** Utilisation at which a request no longer waits for its preferred engine. */
  public static final double SPILL_UTILISATION = 1.0;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request) {
    if (request.affinityKey().isEmpty()) {
      return new LeastInFlightPolicy().choose(candidates, request);
    }
    List<Candidate> ranked =
        Rendezvous.rank(candidates, c -> c.endpoint().id(), request.affinityKey());
    return ranked.stream()
        .filter(c -> c.utilisation() < SPILL_UTILISATION)
        .findFirst()
        .or(() -> candidates.stream().min(Comparator.comparingDouble(Candidate::utilisation)));
  }
}
