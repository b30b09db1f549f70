package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Decides where a request goes: to the endpoint of this region from which its first byte is
 * expected soonest, to another region if that is clearly sooner, or back to its caller at once if
 * it would wait too long everywhere.
 *
 * <p>The load this answers is a region's peak: prompts arrive faster than its engines read them.
 * Admitting all of them makes every answer late, so the wait is bounded by the callers' objective,
 * and the overflow goes to regions whose peak is at another hour before it is refused.
 *
 * @param coldOwners how many entries of a region may send to one cold endpoint, so that together
 *     they keep its bound
 * @param random spreads the overflow
 */
public record Placer(int coldOwners, RandomGenerator random) {
  /** Round trip to another region plus the relaying entry's work, in ms. */
  static final double REGION_MILLIS = 130;

  /** How much sooner another region must be expected to answer, in ms: estimates are stale. */
  static final double REGION_MARGIN_MILLIS = 120;

  /** What a recent failure of an endpoint counts, in ms of expected wait. */
  private static final double FAILURE_MILLIS = 400;

  /** What an endpoint other than the first in rendezvous order counts, in ms: ties go there. */
  private static final double RANK_MILLIS = 4;

  /** Share of overflow sent on while both regions would do: entries decide on equal stale news. */
  private static final double OVERFLOW_SHARE = 0.6;

  /** The least pause told to a refused caller. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(300);

  /** Share of the remaining time that callers honour as a pause at most. */
  private static final int RETRY_AFTER_DIVISOR = 3;

  /**
   * What the placement depends on besides the request.
   *
   * @param endpoints the service's endpoints in this region that are not evacuated
   * @param entry this entry's name
   * @param regionEntries the names of this region's entries
   * @param ownLimit requests that this entry may have in flight at one endpoint
   * @param regions the other regions' load; empty if the request must stay here
   * @param allowedRegions regions that may run the request; empty for any
   * @param passedOverRegions regions not to be tried again
   * @param region this region
   */
  public record Surroundings(
      Collection<EndpointTracker> endpoints,
      String entry,
      List<String> regionEntries,
      int ownLimit,
      Optional<RegionLoads> regions,
      Set<String> allowedRegions,
      Set<String> passedOverRegions,
      String region) {}

  private record Scored(EndpointTracker endpoint, double firstByteMillis, double score) {}

  /** Places a request. */
  public Placement place(PlacementRequest request, Surroundings around, Instant now) {
    boolean homeHere =
        around.allowedRegions().isEmpty() || around.allowedRegions().contains(around.region());
    Optional<Scored> here = homeHere ? bestHere(request, around, now) : Optional.empty();
    Optional<RegionLoads.Offer> elsewhere =
        around
            .regions()
            .flatMap(
                r -> r.best(request, around.allowedRegions(), around.passedOverRegions(), now));
    double patience = patienceMillis(request);
    boolean goodHere = here.isPresent() && waitHere(here.get(), request, now) <= patience;
    boolean goodElsewhere =
        elsewhere.isPresent() && elsewhere.get().waitMillis() + REGION_MILLIS <= patience;
    if (goodHere && !(goodElsewhere && clearlySooner(here.get(), elsewhere.get()))) {
      return new Placement.Here(here.get().endpoint(), here.get().firstByteMillis());
    }
    if (goodElsewhere) {
      return new Placement.Elsewhere(
          elsewhere.get().region(), elsewhere.get().waitMillis() + REGION_MILLIS);
    }
    return refuse(request, here, elsewhere, patience, now);
  }

  private static double waitHere(Scored here, PlacementRequest request, Instant now) {
    return here.endpoint().waitMillis(request.priority(), now);
  }

  /** The wait a request bears: its own reading is not counted, so that long prompts are served. */
  private static double patienceMillis(PlacementRequest request) {
    return Math.min(request.objective().toMillis(), request.remaining().toMillis() / 2.0);
  }

  private boolean clearlySooner(Scored here, RegionLoads.Offer elsewhere) {
    double gain = here.score() - (elsewhere.waitMillis() + REGION_MILLIS) - REGION_MARGIN_MILLIS;
    return gain > 0 && random.nextDouble() < OVERFLOW_SHARE;
  }

  private Placement refuse(
      PlacementRequest request,
      Optional<Scored> here,
      Optional<RegionLoads.Offer> elsewhere,
      double patience,
      Instant now) {
    if (here.isEmpty() && elsewhere.isEmpty()) {
      return new Placement.Refused(
          Placement.Reason.NO_ENDPOINT, bounded(Duration.ofSeconds(1), request));
    }
    double wait =
        Math.min(
            here.map(h -> waitHere(h, request, now)).orElse(Double.MAX_VALUE),
            elsewhere.map(RegionLoads.Offer::waitMillis).orElse(Double.MAX_VALUE));
    Duration until = Duration.ofMillis(Math.round(Math.min(10_000, wait - patience / 2)));
    return new Placement.Refused(Placement.Reason.OVERLOADED, bounded(until, request));
  }

  private static Duration bounded(Duration wanted, PlacementRequest request) {
    Duration most = request.remaining().dividedBy(RETRY_AFTER_DIVISOR);
    Duration atLeast = wanted.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wanted;
    return atLeast.compareTo(most) > 0 ? most : atLeast;
  }

  private Optional<Scored> bestHere(PlacementRequest request, Surroundings around, Instant now) {
    List<EndpointTracker> usable =
        around.endpoints().stream().filter(e -> usable(e, request, around, now)).toList();
    List<EndpointTracker> sound =
        usable.stream().filter(e -> !e.suspect(now) && !e.saidFull(now)).toList();
    List<EndpointTracker> candidates = sound.isEmpty() ? usable : sound;
    Optional<EndpointTracker> first =
        Rendezvous.owner(candidates, e -> e.record().id(), request.sharedKey());
    return candidates.stream()
        .map(e -> scored(e, e == first.orElse(null), request, now))
        .min(
            Comparator.comparingDouble(Scored::score)
                .thenComparing(s -> s.endpoint().record().id()));
  }

  private static Scored scored(
      EndpointTracker e, boolean firstInRank, PlacementRequest request, Instant now) {
    double millis = e.firstByteMillis(request, now);
    double score =
        millis + FAILURE_MILLIS * e.recentFailures(now) + (firstInRank ? 0 : RANK_MILLIS);
    return new Scored(e, millis, score);
  }

  private boolean usable(
      EndpointTracker e, PlacementRequest request, Surroundings around, Instant now) {
    if (!e.takesWork(now)
        || request.passedOver().contains(e.record().id())
        || e.running() >= around.ownLimit()) {
      return false;
    }
    return !e.cold(now) || e.coldPauseOver(now) && ownsCold(e, around);
  }

  private boolean ownsCold(EndpointTracker e, Surroundings around) {
    return Rendezvous.rank(around.regionEntries(), n -> n, e.record().id()).stream()
        .limit(coldOwners)
        .anyMatch(around.entry()::equals);
  }
}
