package org.lacewingcroft.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Sends requests that share a prompt prefix to the same engine, so that they hit its prefix cache.
 *
 * <p>The engine is chosen by rendezvous hashing of the request's affinity key over the candidates;
 * if that engine's estimated utilisation reaches {@link #SPILL_UTILISATION}, the request spills
 * over to the next engine in rendezvous order, and if all engines reach it, to the one with the
 * lowest utilisation. When an engine is added or removed, rendezvous hashing reassigns only the
 * keys of that engine.
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {
  /** The policy's name in settings. */
  public static final String NAME = "prefix-affinity";

  /** The estimated utilisation from which a request spills over to the next engine. */
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
