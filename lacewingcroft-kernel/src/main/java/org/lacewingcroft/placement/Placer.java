package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Decides where a request goes: to the endpoint of this region from which its first byte is
 * expected soonest, to another region if that is clearly sooner, or back to its caller at once if
 * it would wait too long everywhere.
 *
 * <p>The load this answers is a region's peak: prompts arrive faster than its engines read them.
 * Admitting all of them makes every answer late, so the wait is bounded by the callers' objective,
 * and the overflow goes to regions whose peak is at another hour before it is refused.
 *
 * @param coldSenders how many entries of a region may send to one cold endpoint, so that together
 *     they keep its bound
 * @param random spreads the overflow
 */
public record Placer(int coldSenders, RandomGenerator random) {
  /** Round trip to another region plus the relaying entry's work, in ms. */
  static final double REGION_MILLIS = 130;

  /** How much sooner another region must be expected to answer, in ms: estimates are stale. */
  static final double REGION_MARGIN_MILLIS = 120;

  /** What a recent failure of an endpoint counts, in ms of expected wait. */
  private static final double FAILURE_MILLIS = 400;

  /** What an endpoint other than the first in rendezvous order counts, in ms: ties go there. */
  private static final double RANK_MILLIS = 4;

  /**
   * How much more the reading of a shared prefix counts that another endpoint holds, besides its
   * time: it also drives other prefixes out of the cache.
   */
  private static final double READ_AGAIN_FACTOR = 8;

  /**
   * What a fetched token counts against one read: it loads both endpoints' links and takes the same
   * room in the cache, but costs no reading time.
   */
  private static final double FETCH_FACTOR = 0.7;

  /** Tokens that are not worth a fetch: setting one up takes as long as reading them. */
  private static final long LEAST_FETCH_TOKENS = 400;

  /** How many times as long as its transfer the reading of a prefix must take to be fetched. */
  private static final double LEAST_FETCH_GAIN = 2;

  /** Share of the objective up to which a first byte is expected to be in time after all. */
  private static final double SAFE_SHARE = 0.5;

  /**
   * How much more each ms beyond that counts: a late answer is worth less than a re-read prefix.
   */
  private static final double LATENESS_FACTOR = 2;

  /** Share of the objective that a request with a long prompt of its own may wait at least. */
  private static final double LEAST_PATIENCE = 0.2;

  /**
   * Share of the objective kept for what is not foretold: urgent requests that come later, steps of
   * other requests, the network.
   */
  private static final double RESERVE_SHARE = 0.35;

  /** Share of the remaining time that a plain service's request may wait. */
  private static final double PLAIN_SHARE = 0.3;

  /** Share of overflow sent on while both regions would do: entries decide on equal stale news. */
  private static final double OVERFLOW_SHARE = 0.6;

  /** Share of a shared prefix that another region is taken to hold: its own callers use it too. */
  private static final double SHARED_HELD_ELSEWHERE = 0.5;

  /** The same where engines fetch from each other what they lack. */
  private static final double SHARED_FETCHED_ELSEWHERE = 0.95;

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
   * @param maxInFlightPerEndpoint requests that this entry may have in flight at one endpoint
   * @param regions the other regions' load; empty if the request must stay here
   * @param allowedRegions regions that may run the request; empty for any
   * @param excludedRegions regions not to be tried again
   * @param region this region
   * @param prefixHolders the service's endpoints anywhere from which KV cache may be fetched
   * @param engine the service's engine; empty for a plain service
   * @param disabledMechanisms mechanisms that are not used
   */
  public record Context(
      Collection<EndpointTracker> endpoints,
      String entry,
      List<String> regionEntries,
      int maxInFlightPerEndpoint,
      Optional<RegionLoads> regions,
      Set<String> allowedRegions,
      Set<String> excludedRegions,
      String region,
      Collection<EndpointTracker> prefixHolders,
      Optional<ServiceSpec.Engine> engine,
      Set<PlacementMechanism> disabledMechanisms) {
    private boolean uses(PlacementMechanism mechanism) {
      return !disabledMechanisms.contains(mechanism);
    }
  }

  /** An endpoint and how many leading tokens of the prompt others may fetch from it. */
  private record Holder(EndpointTracker endpoint, long tokens) {}

  private record Scored(
      EndpointTracker endpoint,
      double readMillis,
      double firstByteMillis,
      double score,
      Optional<Placement.PrefixFetch> fetch) {}

  /** Places a request. */
  public Placement place(PlacementRequest request, Context around, Instant now) {
    Optional<Scored> here = homeHere(around) ? bestHere(request, around, now) : Optional.empty();
    Optional<RegionLoads.Offer> elsewhere =
        around
            .regions()
            .flatMap(r -> r.best(request, around.allowedRegions(), around.excludedRegions(), now));
    double patience = patienceMillis(request, here.map(Scored::readMillis).orElse(0.0));
    boolean goodHere = here.isPresent() && waitHere(here.get(), request, now) <= patience;
    boolean goodElsewhere =
        elsewhere.isPresent() && elsewhere.get().waitMillis() + REGION_MILLIS <= patience;
    boolean betterElsewhere =
        goodElsewhere
            && goodHere
            && (silent(here.get().endpoint(), around, now)
                || clearlySooner(here.get(), elsewhere.get(), request, around));
    if (goodHere && !betterElsewhere) {
      Scored best = here.get();
      double tokenMillis = best.endpoint().tokenMillis(now);
      return new Placement.ToEndpoint(
          best.endpoint(), best.firstByteMillis(), tokenMillis, best.fetch());
    }
    if (goodElsewhere) {
      return new Placement.ToRegion(
          elsewhere.get().region(), firstByteElsewhere(elsewhere.get(), request, around));
    }
    return refuse(request, around, here, elsewhere, patience, now);
  }

  private static boolean homeHere(Context around) {
    return around.allowedRegions().isEmpty() || around.allowedRegions().contains(around.region());
  }

  /**
   * The expected first byte of a request sent elsewhere, which reads all that it does not share.
   */
  private static double firstByteElsewhere(
      RegionLoads.Offer offer, PlacementRequest request, Context around) {
    double held = fetches(around) ? SHARED_FETCHED_ELSEWHERE : SHARED_HELD_ELSEWHERE;
    double tokens = request.promptTokens() - held * request.sharedTokens();
    return offer.waitMillis() + REGION_MILLIS + tokens / RegionLoads.ASSUMED_TOKENS_PER_MILLI;
  }

  private static double answeredElsewhere(
      RegionLoads.Offer offer, PlacementRequest request, Context around) {
    double pace = around.uses(PlacementMechanism.TOKEN_PACE) ? offer.tokenMillis() : 0;
    return firstByteElsewhere(offer, request, around) + request.expectedOutputTokens() * pace;
  }

  private static double waitHere(Scored here, PlacementRequest request, Instant now) {
    return here.endpoint().waitMillis(request.priority(), now);
  }

  /**
   * The wait a request bears. One with a prompt shall have its first byte in time; if its own
   * reading exceeds the objective by itself, it bears a part of it all the same, so that it is
   * served. A plain service's requests are short and a late answer harms no other, so they wait for
   * as long as an answer still reaches their callers.
   */
  private static double patienceMillis(PlacementRequest request, double readMillis) {
    double objective = request.firstByteObjective().toMillis();
    double remaining = request.remaining().toMillis();
    if (request.promptTokens() == 0) {
      return Math.min(remaining / 2, Math.max(objective, PLAIN_SHARE * remaining));
    }
    double inTime = (1 - RESERVE_SHARE) * objective - readMillis;
    return Math.min(remaining / 2, Math.max(LEAST_PATIENCE * objective, inTime));
  }

  private static boolean silent(EndpointTracker endpoint, Context around, Instant now) {
    return around.uses(PlacementMechanism.SILENCE_MEMORY)
        ? endpoint.isSuspect(now)
        : endpoint.owesAnswers(now);
  }

  private boolean clearlySooner(
      Scored here, RegionLoads.Offer elsewhere, PlacementRequest request, Context around) {
    double gain =
        here.score() - answeredElsewhere(elsewhere, request, around) - REGION_MARGIN_MILLIS;
    return gain > 0 && random.nextDouble() < OVERFLOW_SHARE;
  }

  private Placement refuse(
      PlacementRequest request,
      Context around,
      Optional<Scored> here,
      Optional<RegionLoads.Offer> elsewhere,
      double patience,
      Instant now) {
    OptionalDouble waitHere =
        here.isPresent()
            ? OptionalDouble.of(waitHere(here.get(), request, now))
            : OptionalDouble.empty();
    OptionalDouble waitElsewhere =
        elsewhere.isPresent()
            ? OptionalDouble.of(elsewhere.get().waitMillis())
            : OptionalDouble.empty();
    Placement.RefusalDetails evidence =
        new Placement.RefusalDetails(
            rounded(waitHere), rounded(waitElsewhere), Math.round(patience));
    if (here.isEmpty() && elsewhere.isEmpty()) {
      Optional<Duration> pause =
          homeHere(around) ? pauseHere(request, around, now) : Optional.empty();
      return new Placement.Refused(
          pause.isPresent() ? Placement.Reason.PACED : Placement.Reason.NO_ENDPOINT,
          bounded(pause.orElse(Duration.ofSeconds(1)), request),
          evidence);
    }
    double wait =
        Math.min(waitHere.orElse(Double.MAX_VALUE), waitElsewhere.orElse(Double.MAX_VALUE));
    Duration until = Duration.ofMillis(Math.round(Math.min(10_000, wait - patience / 2)));
    return new Placement.Refused(Placement.Reason.OVERLOADED, bounded(until, request), evidence);
  }

  /** The time until an endpoint takes a request again that only states conditions. */
  private static Optional<Duration> pauseHere(
      PlacementRequest request, Context around, Instant now) {
    return around.endpoints().stream()
        .filter(e -> !request.excludedEndpoints().contains(e.record().id()))
        .flatMap(e -> e.untilConditionsHold(around.entry(), around.regionEntries(), now).stream())
        .filter(pause -> !pause.isZero())
        .min(Comparator.naturalOrder());
  }

  private static OptionalLong rounded(OptionalDouble millis) {
    return millis.isPresent()
        ? OptionalLong.of(Math.round(millis.getAsDouble()))
        : OptionalLong.empty();
  }

  private static Duration bounded(Duration wanted, PlacementRequest request) {
    Duration most = request.remaining().dividedBy(RETRY_AFTER_DIVISOR);
    Duration atLeast = wanted.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wanted;
    return atLeast.compareTo(most) > 0 ? most : atLeast;
  }

  private Optional<Scored> bestHere(PlacementRequest request, Context around, Instant now) {
    List<EndpointTracker> usable =
        around.endpoints().stream().filter(e -> usable(e, request, around, now)).toList();
    List<EndpointTracker> sound =
        usable.stream().filter(e -> !silent(e, around, now) && !e.saidFull(now)).toList();
    List<EndpointTracker> candidates = sound.isEmpty() ? usable : sound;
    Optional<EndpointTracker> first =
        Rendezvous.owner(candidates, e -> e.record().id(), request.sharedKey());
    List<Holder> holders = holders(request, around);
    return candidates.stream()
        .map(e -> scored(e, e == first.orElse(null), holders, request, around, now))
        .min(
            Comparator.comparingDouble(Scored::score)
                .thenComparing(s -> s.endpoint().record().id()));
  }

  private static Scored scored(
      EndpointTracker e,
      boolean firstInRank,
      List<Holder> holders,
      PlacementRequest request,
      Context around,
      Instant now) {
    long uncached = e.uncachedTokens(request);
    long sharedUncached = Math.max(0, uncached - (request.promptTokens() - request.sharedTokens()));
    Optional<Placement.PrefixFetch> fetch = fetch(e, sharedUncached, holders, request, around);
    long fetched = fetch.map(Placement.PrefixFetch::tokens).orElse(0L);
    long readAgain = firstInRank && fetch.isEmpty() ? 0 : sharedUncached - fetched;
    double readMillis = e.readMillis(request, uncached - fetched);
    double fetchMillis = around.engine().map(engine -> engine.transferMillis(fetched)).orElse(0.0);
    double millis = e.waitMillis(request.priority(), now) + readMillis + fetchMillis;
    double pace = around.uses(PlacementMechanism.TOKEN_PACE) ? e.tokenMillis(now) : 0;
    double score =
        millis
            + request.expectedOutputTokens() * pace
            + READ_AGAIN_FACTOR * e.readMillis(request, readAgain)
            + FETCH_FACTOR * e.readMillis(request, fetched)
            + LATENESS_FACTOR
                * Math.max(0, millis - SAFE_SHARE * request.firstByteObjective().toMillis())
            + FAILURE_MILLIS * e.recentFailures(now)
            + (firstInRank ? 0 : RANK_MILLIS);
    return new Scored(e, readMillis, millis, score, fetch);
  }

  /** The endpoints that hold a beginning of the prompt worth a fetch, asked once a request. */
  private static List<Holder> holders(PlacementRequest request, Context around) {
    if (request.sharedTokens() < LEAST_FETCH_TOKENS || !fetches(around)) {
      return List.of();
    }
    return around.prefixHolders().stream()
        .filter(source -> !request.excludedEndpoints().contains(source.record().id()))
        .map(source -> new Holder(source, source.fetchableTokens(request)))
        .filter(holder -> holder.tokens() >= LEAST_FETCH_TOKENS)
        .toList();
  }

  /** The endpoint with the longest beginning of the prompt beyond what the target holds itself. */
  private static Optional<Placement.PrefixFetch> fetch(
      EndpointTracker target,
      long sharedUncached,
      List<Holder> holders,
      PlacementRequest request,
      Context around) {
    if (sharedUncached < LEAST_FETCH_TOKENS) {
      return Optional.empty();
    }
    long held = request.sharedTokens() - sharedUncached;
    return holders.stream()
        .filter(holder -> holder.endpoint() != target)
        .map(holder -> new Placement.PrefixFetch(holder.endpoint(), holder.tokens() - held))
        .filter(fetch -> fetch.tokens() >= LEAST_FETCH_TOKENS)
        .filter(fetch -> worthFetching(fetch.tokens(), target, request, around))
        .max(
            Comparator.comparingLong(Placement.PrefixFetch::tokens)
                .thenComparing(fetch -> sameDomain(fetch.source(), target))
                .thenComparing(fetch -> -fetch.source().inFlight()));
  }

  private static boolean fetches(Context around) {
    return around.uses(PlacementMechanism.PREFIX_FETCH)
        && around.engine().filter(ServiceSpec.Engine::supportsKvFetch).isPresent();
  }

  private static boolean worthFetching(
      long tokens, EndpointTracker target, PlacementRequest request, Context around) {
    double transferMillis = around.engine().orElseThrow().transferMillis(tokens);
    return target.readMillis(request, tokens) >= LEAST_FETCH_GAIN * transferMillis;
  }

  private static boolean sameDomain(EndpointTracker one, EndpointTracker other) {
    return one.record().failureDomain().equals(other.record().failureDomain());
  }

  private boolean usable(EndpointTracker e, PlacementRequest request, Context around, Instant now) {
    if (!e.acceptsRequests(now)
        || request.excludedEndpoints().contains(e.record().id())
        || e.inFlight() >= around.maxInFlightPerEndpoint()
        || !e.withinRate(around.entry(), around.regionEntries(), now)) {
      return false;
    }
    return !e.isCold(now)
        || e.coldPauseOver(now)
            && e.isAmongFirst(around.entry(), around.regionEntries(), coldSenders);
  }
}
