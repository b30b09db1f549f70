package org.lacewingcroft.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Weighs an engine's load against the cost of prefilling a prompt prefix again.
 *
 * <p>The engine with the lowest score is chosen. The score is the sum of three terms. The first
 * grows with the estimated load: slowly while slots are free, because engines batch requests, and
 * steeply once requests queue. The second is a cache-miss penalty of up to 1 that grows with the
 * length of the prompt; it is 0 if the engine is assumed to cache the prefix, either from its cache
 * events, which arrive late and with gaps, or because this entry recently sent the prefix there.
 * The third is {@link #RANK_PENALTY} unless the engine is first in the prefix's rendezvous order;
 * with this term, entries without any cache information choose the same engine for a prefix.
 */
public final class CacheAwarePolicy implements RoutingPolicy {
  /** The policy's name in settings. */
  public static final String NAME = "cache-aware";

  /**
   * The prompt length, in characters, from which a cache miss adds 1 to the score, as much as full
   * utilisation.
   */
  public static final double FULL_MISS_CHARS = 4_000;

  /** The amount added to the score of each engine that is not first in rendezvous order. */
  public static final double RANK_PENALTY = 0.1;

  /** The utilisation from which further load adds {@link #QUEUE_PENALTY} per unit. */
  private static final double QUEUEING_UTILISATION = 0.75;

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
    Candidate preferred =
        Rendezvous.owner(candidates, c -> c.endpoint().id(), request.affinityKey()).orElseThrow();
    return candidates.stream()
        .map(c -> new Scored(c, score(c, c == preferred, request.promptChars())))
        .min(
            Comparator.comparingDouble(Scored::score)
                .thenComparing(s -> s.candidate().endpoint().id()))
        .map(Scored::candidate);
  }

  private static double score(Candidate c, boolean ranksFirst, int promptChars) {
    double excessUtilisation = Math.max(0, c.utilisation() - QUEUEING_UTILISATION);
    double load = Math.pow(c.utilisation(), 3) + QUEUE_PENALTY * excessUtilisation;
    double missPenalty = c.prefixCached() ? 0 : Math.min(1, promptChars / FULL_MISS_CHARS);
    return load + missPenalty + (ranksFirst ? 0 : RANK_PENALTY);
  }
}
