package org.lacewingcroft.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Weighs an engine's load against the cost of reading a prompt prefix again.
 *
 * <p>The engine with the lowest score is chosen: its estimated load (batching makes load cheap
 * until the slots run out, then requests queue), plus up to 1 for the prompt's length unless its
 * cache is believed to hold the prefix (from its late and gappy cache events, or because this
 * gateway sent it there lately), plus {@link #RANK_PENALTY} unless it is the prefix's first engine
 * in rendezvous order. The last term makes gateways that know nothing yet agree on where a prefix
 * goes.
 */
public final class CacheAwarePolicy implements RoutingPolicy {
  /** The policy's name in settings. */
  public static final String NAME = "cache-aware";

  /** The prompt length, in characters, whose reading is worth a whole engine's load. */
  public static final double FULL_MISS_CHARS = 4_000;

  /** What the first place in rendezvous order is worth. */
  public static final double RANK_PENALTY = 0.1;

  private static final double CROWDED_UTILISATION = 0.75;
  private static final double QUEUE_PENALTY = 4;

  private record Scored(Candidate candidate, double score) {}

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request) {
    if (request.affinityKey().isEmpty()) {
      return new LeastInFlightPolicy().choose(candidates, request);
    }
    Candidate first =
        Rendezvous.owner(candidates, c -> c.endpoint().id(), request.affinityKey()).orElseThrow();
    return candidates.stream()
        .map(c -> new Scored(c, score(c, c == first, request.promptChars())))
        .min(
            Comparator.comparingDouble(Scored::score)
                .thenComparing(s -> s.candidate().endpoint().id()))
        .map(Scored::candidate);
  }

  private static double score(Candidate c, boolean firstInRank, int promptChars) {
    double crowded = Math.max(0, c.utilisation() - CROWDED_UTILISATION);
    double load = Math.pow(c.utilisation(), 3) + QUEUE_PENALTY * crowded;
    double miss = c.prefixCached() ? 0 : Math.min(1, promptChars / FULL_MISS_CHARS);
    return load + miss + (firstInRank ? 0 : RANK_PENALTY);
  }
}
