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
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.lacewingcroft.misc.Rendezvous;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Decides where to send a request: to the endpoint of this region with the lowest score, which is
 * the estimated response time plus penalties, or to another region if that is clearly faster. If no
 * endpoint of this region responds to this entry, the request is relayed to another entry of the
 * region that reaches them. The request is refused immediately if the wait would be too long
 * everywhere.
 *
 * <p>Designed for a region's peak: prompts arrive faster than its engines can prefill them.
 * Admitting all of them would make every response late, so the wait is bounded by the callers'
 * latency objective, and requests beyond it are sent to regions whose peak is at another hour
 * before any are refused.
 *
 * @param coldSenders how many entries of a region may send to one cold endpoint, so that together
 *     they stay within its limit
 * @param random decides which overflow is sent to another region, and between endpoints that are
 *     about equally good by the load that they report
 */
public record Placer(int coldSenders, RandomGenerator random) {
  /** Round trip to another region plus the processing time of the relaying entry. */
  static final double CROSS_REGION_MILLIS = 130;

  /** Round trip to another entry of this region plus its processing time. */
  private static final double NEIGHBOUR_MILLIS = 10;

  /**
   * Advantage that another region's estimate must have to be preferred: such estimates are stale.
   */
  static final double CROSS_REGION_MARGIN_MILLIS = 120;

  /** Penalty for each recent failure of an endpoint. */
  private static final double FAILURE_PENALTY_MILLIS = 400;

  /**
   * Penalty for endpoints other than the first in rendezvous order, so that ties go to the first.
   */
  private static final double RANK_PENALTY_MILLIS = 4;

  /**
   * Weight, on top of the time itself, of prefilling shared prefix tokens that another endpoint
   * already caches: the duplicate also evicts other prefixes from the cache.
   */
  private static final double DUPLICATE_PREFILL_FACTOR = 8;

  /**
   * Weight of a fetched token relative to a prefilled one: a fetch loads both endpoints' links and
   * takes the same space in the cache, but no prefill time.
   */
  private static final double FETCH_FACTOR = 0.7;

  /**
   * Minimum number of tokens to fetch: for fewer tokens, setting up the fetch takes as long as the
   * prefill.
   */
  private static final long MIN_FETCH_TOKENS = 400;

  /** Minimum ratio of the prefill time to the transfer time for which a prefix is fetched. */
  private static final double MIN_FETCH_SPEEDUP = 2;

  /**
   * Share of the objective up to which an estimated time to the first byte is expected to meet the
   * objective despite estimation errors.
   */
  private static final double SAFE_OBJECTIVE_SHARE = 0.5;

  /**
   * Additional weight of each ms beyond {@link #SAFE_OBJECTIVE_SHARE}: a late response is worse
   * than prefilling a prefix again.
   */
  private static final double LATENESS_FACTOR = 2;

  /** Minimum share of the objective that a request may wait, even if its prompt is long. */
  private static final double MIN_WAIT_SHARE = 0.2;

  /**
   * Share of the objective reserved for delays that cannot be estimated: urgent requests that
   * arrive later, batch steps of other requests, the network.
   */
  private static final double RESERVED_OBJECTIVE_SHARE = 0.35;

  /** Share of the remaining time that a request to a plain service may wait. */
  private static final double PLAIN_SERVICE_WAIT_SHARE = 0.3;

  /**
   * Share of the overflow sent to another region while both regions meet the objective: all entries
   * decide on the same stale reports.
   */
  private static final double OVERFLOW_SHARE = 0.6;

  /**
   * Share of a shared prefix assumed to be cached in another region, whose own callers use it too.
   */
  private static final double REMOTE_CACHED_SHARE = 0.5;

  /**
   * Share of a shared prefix assumed to be cached or fetchable in another region if engines fetch
   * missing KV cache from each other.
   */
  private static final double REMOTE_FETCHABLE_SHARE = 0.95;

  /**
   * Share of the objective up to which a first byte from another region is early enough to relay a
   * request before this region is full.
   */
  private static final double TOLERANT_OBJECTIVE_SHARE = 0.25;

  /** Share of occupied slots from which a region relays requests that other regions serve early. */
  private static final double CROWDED_SLOT_SHARE = 0.7;

  /** Minimum retry delay returned to a refused caller. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(300);

  /** Callers honour a retry delay of at most the remaining time divided by this. */
  private static final int MAX_RETRY_AFTER_DIVISOR = 3;

  /**
   * The inputs of a placement besides the request.
   *
   * @param endpoints the service's endpoints in this region that are not evacuated
   * @param entry this entry's name
   * @param regionEntries the names of this region's entries, empty if not all are known yet; in
   *     that case this entry sends nothing to endpoints that only some entries may send to
   * @param maxInFlightPerEndpoint limit of this entry's requests in flight at one endpoint
   * @param regions the other regions' load; empty if the request must stay in this region
   * @param allowedRegions regions that may run the request; empty for any
   * @param excludedRegions regions to which the request must not be sent again
   * @param relayed whether another entry relayed the request, which then chooses again if no
   *     endpoint of this region responds to this entry
   * @param hasNeighbour whether the request may be relayed to another entry of this region that may
   *     reach the service's endpoints; evaluated only if no endpoint responds to this entry
   * @param region this region
   * @param prefixSources the service's endpoints in any region from which KV cache may be fetched
   * @param engine the service's engine; empty for a plain service
   * @param disabledMechanisms mechanisms that are not used
   * @param eventGapObjective the shortest objective for the time between two events of a stream at
   *     the service; empty for none
   */
  public record Context(
      Collection<EndpointTracker> endpoints,
      String entry,
      List<String> regionEntries,
      int maxInFlightPerEndpoint,
      Optional<RegionLoads> regions,
      Set<String> allowedRegions,
      Set<String> excludedRegions,
      boolean relayed,
      BooleanSupplier hasNeighbour,
      String region,
      Collection<EndpointTracker> prefixSources,
      Optional<ServiceSpec.Engine> engine,
      Set<PlacementMechanism> disabledMechanisms,
      Optional<Duration> eventGapObjective) {
    private EventGap eventGap() {
      return engine
          .map(e -> new EventGap(eventGapObjective, e.eventTokens()))
          .orElse(EventGap.NONE);
    }

    private boolean uses(PlacementMechanism mechanism) {
      return !disabledMechanisms.contains(mechanism);
    }
  }

  /** An endpoint and the number of leading prompt tokens that others may fetch from it. */
  private record CacheHolder(EndpointTracker endpoint, long tokens) {}

  /** Decides where to send a request. */
  public Placement place(PlacementRequest request, Context context, Instant now) {
    Optional<ScoredEndpoint> local =
        allowsThisRegion(context) ? bestLocal(request, context, now) : Optional.empty();
    Optional<RegionLoads.Candidate> remote =
        context
            .regions()
            .flatMap(
                r -> r.best(request, context.allowedRegions(), context.excludedRegions(), now));
    double maxWait = maxWaitMillis(request, local.map(ScoredEndpoint::prefillMillis).orElse(0.0));
    boolean localAcceptable =
        local.isPresent()
            && localWaitMillis(local.get(), request, now) <= maxWait
            && local.get().endpoint().room(now) != EndpointRoom.FULL;
    boolean remoteAcceptable =
        remote.isPresent() && remote.get().waitMillis() + CROSS_REGION_MILLIS <= maxWait;
    boolean localResponds =
        local.isPresent() && !isUnresponsive(local.get().endpoint(), context, now);
    if (!localResponds && mayRelayToNeighbour(context, now)) {
      return new Placement.ToRegion(context.region(), NEIGHBOUR_MILLIS);
    }
    boolean preferRemote =
        remoteAcceptable
            && localAcceptable
            && (!localResponds
                || isClearlyFaster(local.get(), remote.get(), request, context)
                || balancesRegions(remote.get(), request, context, now));
    if (localAcceptable && !preferRemote) {
      ScoredEndpoint best = local.get();
      double tokenMillis = best.endpoint().tokenMillis(now);
      return new Placement.ToEndpoint(
          best.endpoint(), best.firstByteMillis(), tokenMillis, best.fetch());
    }
    if (remoteAcceptable) {
      return new Placement.ToRegion(
          remote.get().region(), remoteFirstByteMillis(remote.get(), request, context));
    }
    return refuse(request, context, local, remote, maxWait, now);
  }

  /**
   * Returns whether another entry of this region may reach endpoints that do not respond to this
   * one.
   */
  private static boolean mayRelayToNeighbour(Context context, Instant now) {
    return allowsThisRegion(context)
        && context.endpoints().stream().anyMatch(e -> e.isAnnounced() && !e.isResponding(now))
        && context.hasNeighbour().getAsBoolean();
  }

  private static boolean allowsThisRegion(Context context) {
    return context.allowedRegions().isEmpty()
        || context.allowedRegions().contains(context.region());
  }

  /**
   * Returns the estimated time to the first byte of a request sent to another region, which
   * prefills all prompt tokens that it does not find in a cache.
   */
  private static double remoteFirstByteMillis(
      RegionLoads.Candidate remote, PlacementRequest request, Context context) {
    double cachedShare = supportsFetch(context) ? REMOTE_FETCHABLE_SHARE : REMOTE_CACHED_SHARE;
    double prefillTokens = request.promptTokens() - cachedShare * request.sharedTokens();
    return remote.waitMillis()
        + CROSS_REGION_MILLIS
        + prefillTokens / RegionLoads.ASSUMED_PREFILL_TOKENS_PER_MILLI;
  }

  private static double remoteResponseMillis(
      RegionLoads.Candidate remote, PlacementRequest request, Context context) {
    double tokenMillis = context.uses(PlacementMechanism.TOKEN_PACE) ? remote.tokenMillis() : 0;
    return remoteFirstByteMillis(remote, request, context)
        + request.expectedOutputTokens() * tokenMillis;
  }

  private static double localWaitMillis(
      ScoredEndpoint local, PlacementRequest request, Instant now) {
    return local.endpoint().waitMillis(request.priority(), now);
  }

  /**
   * Returns the longest wait with which a request is accepted. The first byte of the response to a
   * prompt must arrive within the objective; if the request's own prefill exceeds it, the request
   * may still wait for a part of the objective, so that long prompts are served. Requests to a
   * plain service are short and a late response delays no other request, so they may wait as long
   * as the response can still reach the caller in time.
   */
  private static double maxWaitMillis(PlacementRequest request, double prefillMillis) {
    double objective = request.firstByteObjective().toMillis();
    double remaining = request.remaining().toMillis();
    if (request.promptTokens() == 0) {
      return Math.min(remaining / 2, Math.max(objective, PLAIN_SERVICE_WAIT_SHARE * remaining));
    }
    double onTimeWait = (1 - RESERVED_OBJECTIVE_SHARE) * objective - prefillMillis;
    return Math.min(remaining / 2, Math.max(MIN_WAIT_SHARE * objective, onTimeWait));
  }

  private static boolean isUnresponsive(EndpointTracker endpoint, Context context, Instant now) {
    return context.uses(PlacementMechanism.SILENCE_MEMORY)
        ? !endpoint.isResponding(now)
        : endpoint.isUnresponsive(now);
  }

  private boolean isClearlyFaster(
      ScoredEndpoint local,
      RegionLoads.Candidate remote,
      PlacementRequest request,
      Context context) {
    double gain =
        local.score() - remoteResponseMillis(remote, request, context) - CROSS_REGION_MARGIN_MILLIS;
    return gain > 0 && random.nextDouble() < OVERFLOW_SHARE;
  }

  /**
   * Returns whether to relay a request that another region can still serve early, because most
   * slots of this region are occupied and more of them than there. The slots that remain are left
   * for requests with shorter objectives, before any of them has to wait.
   */
  private boolean balancesRegions(
      RegionLoads.Candidate remote, PlacementRequest request, Context context, Instant now) {
    if (remote.occupiedShare().isEmpty()
        || remoteFirstByteMillis(remote, request, context)
            > TOLERANT_OBJECTIVE_SHARE * request.firstByteObjective().toMillis()) {
      return false;
    }
    double busierBy =
        Slots.of(context, now).occupiedShare()
            - Math.max(CROWDED_SLOT_SHARE, remote.occupiedShare().getAsDouble());
    return random.nextDouble() < busierBy / (1 - CROWDED_SLOT_SHARE);
  }

  /**
   * The slots of endpoints.
   *
   * @param total the number of requests that they run concurrently
   * @param occupied the number of requests that they run and queue
   * @param free the number of slots that are not taken
   */
  private record Slots(int total, int occupied, int free) {
    private static Slots of(Context context, Instant now) {
      int total = 0;
      int occupied = 0;
      int free = 0;
      for (EndpointTracker endpoint : context.endpoints()) {
        if (endpoint.acceptsRequests(now)) {
          int slots = endpoint.slots(now);
          int occupancy = endpoint.occupancy(now);
          total += slots;
          occupied += occupancy;
          free += Math.max(0, slots - occupancy);
        }
      }
      return new Slots(total, occupied, free);
    }

    private double occupiedShare() {
      return total == 0 ? 0 : (double) occupied / total;
    }
  }

  private Placement refuse(
      PlacementRequest request,
      Context context,
      Optional<ScoredEndpoint> local,
      Optional<RegionLoads.Candidate> remote,
      double maxWait,
      Instant now) {
    OptionalDouble localWait =
        local.isPresent()
            ? OptionalDouble.of(localWaitMillis(local.get(), request, now))
            : OptionalDouble.empty();
    OptionalDouble remoteWait =
        remote.isPresent() ? OptionalDouble.of(remote.get().waitMillis()) : OptionalDouble.empty();
    Slots slots = Slots.of(context, now);
    Placement.RefusalDetails details =
        new Placement.RefusalDetails(
            rounded(localWait),
            rounded(remoteWait),
            Math.round(maxWait),
            slots.total(),
            slots.free());
    if (local.isEmpty() && remote.isEmpty()) {
      Optional<Duration> retryDelay =
          allowsThisRegion(context) ? localRetryDelay(request, context, now) : Optional.empty();
      return new Placement.Refused(
          retryDelay.isPresent() ? Placement.Reason.PACED : Placement.Reason.NO_ENDPOINT,
          boundRetryAfter(retryDelay.orElse(Duration.ofSeconds(1)), request),
          details);
    }
    double shorterWait =
        Math.min(localWait.orElse(Double.MAX_VALUE), remoteWait.orElse(Double.MAX_VALUE));
    Duration retryDelay =
        Duration.ofMillis(Math.round(Math.min(10_000, shorterWait - maxWait / 2)));
    return new Placement.Refused(
        Placement.Reason.OVERLOADED, boundRetryAfter(retryDelay, request), details);
  }

  /**
   * Returns the shortest time until an endpoint that is limited only by its advertised conditions
   * accepts a request again.
   */
  private static Optional<Duration> localRetryDelay(
      PlacementRequest request, Context context, Instant now) {
    return context.endpoints().stream()
        .filter(e -> !request.excludedEndpoints().contains(e.record().id()))
        .flatMap(e -> e.timeUntilAdmitted(context.entry(), context.regionEntries(), now).stream())
        .filter(delay -> !delay.isZero())
        .min(Comparator.naturalOrder());
  }

  private static OptionalLong rounded(OptionalDouble millis) {
    return millis.isPresent()
        ? OptionalLong.of(Math.round(millis.getAsDouble()))
        : OptionalLong.empty();
  }

  private static Duration boundRetryAfter(Duration delay, PlacementRequest request) {
    Duration max = request.remaining().dividedBy(MAX_RETRY_AFTER_DIVISOR);
    Duration lowerBounded = delay.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : delay;
    return lowerBounded.compareTo(max) > 0 ? max : lowerBounded;
  }

  private Optional<ScoredEndpoint> bestLocal(
      PlacementRequest request, Context context, Instant now) {
    List<EndpointTracker> usable =
        context.endpoints().stream().filter(e -> isUsable(e, request, context, now)).toList();
    List<EndpointTracker> responding =
        usable.stream().filter(e -> !isUnresponsive(e, context, now)).toList();
    List<EndpointTracker> healthy = responding.stream().filter(e -> !e.isFull(now)).toList();
    List<EndpointTracker> candidates =
        !healthy.isEmpty()
            ? healthy
            : !responding.isEmpty() || context.relayed() ? responding : usable;
    Optional<EndpointTracker> firstRanked =
        Rendezvous.owner(candidates, e -> e.record().id(), request.sharedKey());
    List<CacheHolder> holders = cacheHolders(request, context);
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    EndpointBalance balance = new EndpointBalance(candidates, request, context.eventGap(), now);
    // A plain service has no prefixes that would favour the first in rendezvous order.
    boolean unranked = balance.isActive() && request.promptTokens() == 0;
    List<ScoredEndpoint> scored =
        candidates.stream()
            .map(
                e ->
                    score(
                        e,
                        unranked || e == firstRanked.orElse(null),
                        holders,
                        balance,
                        request,
                        context,
                        now))
            .toList();
    return Optional.of(balance.choose(scored, random));
  }

  private static ScoredEndpoint score(
      EndpointTracker endpoint,
      boolean firstInRank,
      List<CacheHolder> holders,
      EndpointBalance balance,
      PlacementRequest request,
      Context context,
      Instant now) {
    long uncached = endpoint.uncachedTokens(request);
    long sharedUncached = Math.max(0, uncached - (request.promptTokens() - request.sharedTokens()));
    Optional<Placement.PrefixFetch> fetch =
        bestFetch(endpoint, sharedUncached, holders, request, context, now);
    long fetched = fetch.map(Placement.PrefixFetch::tokens).orElse(0L);
    long duplicateTokens = firstInRank && fetch.isEmpty() ? 0 : sharedUncached - fetched;
    double prefillMillis = endpoint.prefillMillis(request, uncached - fetched, now);
    double fetchMillis = context.engine().map(engine -> engine.transferMillis(fetched)).orElse(0.0);
    double firstByteMillis =
        endpoint.waitMillis(request.priority(), now) + prefillMillis + fetchMillis;
    double tokenMillis =
        context.uses(PlacementMechanism.TOKEN_PACE) ? endpoint.tokenMillis(now) : 0;
    double score =
        firstByteMillis
            + request.expectedOutputTokens() * tokenMillis
            + DUPLICATE_PREFILL_FACTOR * endpoint.prefillMillis(request, duplicateTokens, now)
            + FETCH_FACTOR * endpoint.prefillMillis(request, fetched, now)
            + LATENESS_FACTOR
                * Math.max(
                    0,
                    firstByteMillis
                        - SAFE_OBJECTIVE_SHARE * request.firstByteObjective().toMillis())
            + FAILURE_PENALTY_MILLIS * endpoint.recentFailureScore(now)
            + (firstInRank ? 0 : RANK_PENALTY_MILLIS)
            + balance.eventGapMillis(endpoint, uncached - fetched);
    boolean preferred = firstInRank || sharedUncached == 0;
    double streamMillis = request.expectedOutputTokens() * tokenMillis;
    double rank =
        score
            + balance.adjustmentMillis(
                endpoint,
                firstByteMillis,
                streamMillis,
                DUPLICATE_PREFILL_FACTOR * duplicateTokens);
    return new ScoredEndpoint(
        endpoint, prefillMillis, firstByteMillis, score, rank, preferred, fetch);
  }

  /**
   * Returns the endpoints that cache a prefix of the prompt long enough to fetch; computed once per
   * request.
   */
  private static List<CacheHolder> cacheHolders(PlacementRequest request, Context context) {
    if (request.sharedTokens() < MIN_FETCH_TOKENS || !supportsFetch(context)) {
      return List.of();
    }
    return context.prefixSources().stream()
        .filter(source -> !request.excludedEndpoints().contains(source.record().id()))
        .map(source -> new CacheHolder(source, source.fetchableTokens(request)))
        .filter(holder -> holder.tokens() >= MIN_FETCH_TOKENS)
        .toList();
  }

  /** Returns the fetch of the longest prefix of the prompt beyond what the target caches itself. */
  private static Optional<Placement.PrefixFetch> bestFetch(
      EndpointTracker target,
      long sharedUncached,
      List<CacheHolder> holders,
      PlacementRequest request,
      Context context,
      Instant now) {
    if (sharedUncached < MIN_FETCH_TOKENS) {
      return Optional.empty();
    }
    long cachedTokens = request.sharedTokens() - sharedUncached;
    return holders.stream()
        .filter(holder -> holder.endpoint() != target)
        .map(holder -> new Placement.PrefixFetch(holder.endpoint(), holder.tokens() - cachedTokens))
        .filter(fetch -> fetch.tokens() >= MIN_FETCH_TOKENS)
        .filter(fetch -> isWorthFetching(fetch.tokens(), target, request, context, now))
        .max(
            Comparator.comparingLong(Placement.PrefixFetch::tokens)
                .thenComparing(fetch -> inSameDomain(fetch.source(), target))
                .thenComparing(fetch -> -fetch.source().inFlight()));
  }

  private static boolean supportsFetch(Context context) {
    return context.uses(PlacementMechanism.PREFIX_FETCH)
        && context.engine().filter(ServiceSpec.Engine::supportsKvFetch).isPresent();
  }

  private static boolean isWorthFetching(
      long tokens, EndpointTracker target, PlacementRequest request, Context context, Instant now) {
    double transferMillis = context.engine().orElseThrow().transferMillis(tokens);
    return target.prefillMillis(request, tokens, now) >= MIN_FETCH_SPEEDUP * transferMillis;
  }

  private static boolean inSameDomain(EndpointTracker one, EndpointTracker other) {
    return one.record().failureDomain().equals(other.record().failureDomain());
  }

  private boolean isUsable(
      EndpointTracker endpoint, PlacementRequest request, Context context, Instant now) {
    if (!endpoint.acceptsRequests(now)
        || request.excludedEndpoints().contains(endpoint.record().id())
        || endpoint.inFlight() >= context.maxInFlightPerEndpoint()
        || !endpoint.withinRate(context.entry(), context.regionEntries(), now)) {
      return false;
    }
    return !endpoint.isCold(now)
        || endpoint.admitsColdRequest(now)
            && endpoint.isAmongFirst(context.entry(), context.regionEntries(), coldSenders);
  }
}
