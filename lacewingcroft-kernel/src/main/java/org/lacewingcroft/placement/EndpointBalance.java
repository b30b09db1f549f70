package org.lacewingcroft.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Spreads the requests of a service over endpoints that report their load, by speed and slots. It
 * has no effect unless one of the candidates has reported its load recently.
 *
 * <p>Designed for 30 to 91 entries that decide on the same reports, which are 100 to 300 ms old: if
 * each chose the best endpoint, all would choose the same one until the next reports. Each entry
 * compares only a few endpoints that it draws at random, weighted by capacity.
 */
final class EndpointBalance {
  /**
   * Share of the mean load, by capacity, up to which an endpoint receives all prompts whose prefix
   * it caches. The busiest endpoint stays below 1.5 times its share; the difference is left for the
   * requests that are not in the reports yet.
   */
  private static final double MAX_LOAD_SHARE = 1.25;

  /**
   * Penalty for each request beyond {@link #MAX_LOAD_SHARE}. It exceeds the cost of prefilling a
   * shared part of 568 tokens again (93 ms at 55 tokens per ms, weighted nine times), so that an
   * overloaded endpoint's prefixes are cached by a second one, while a part of 5,400 tokens moves
   * only if the endpoint has several requests too many.
   */
  private static final double EXCESS_REQUEST_MILLIS = 100;

  /** Requests beyond the share that are random variation at a few requests per endpoint. */
  private static final double EXCESS_SLACK = 1;

  /**
   * Share of the remaining time within which the end of a response is not critical. The time per
   * output token does not decide between endpoints then: it would draw all requests to the fastest
   * ones, from the prefixes that slower ones cache.
   */
  private static final double UNCRITICAL_SHARE = 0.5;

  /**
   * Difference of scores up to which endpoints of a plain service are equally good. Waits change by
   * several requests between two reports, each of which takes 20 to 75 ms; a failed request costs
   * more.
   */
  private static final double NEAR_EQUAL_PLAIN_MILLIS = 300;

  private final PlacementRequest request;
  private final EventGap eventGap;
  private final Instant now;
  private final boolean active;
  private final boolean anyFreeSlot;
  private final double meanSlots;
  private final double meanOccupancy;
  private final double meanPrefillTokensPerMilli;

  /**
   * Creates the balance of the candidates for a request.
   *
   * @param eventGap the pauses between events that the service's routes allow
   */
  EndpointBalance(
      List<EndpointTracker> candidates, PlacementRequest request, EventGap eventGap, Instant now) {
    this.request = request;
    this.eventGap = eventGap;
    this.now = now;
    this.active = candidates.stream().anyMatch(e -> e.hasRecentReport(now));
    this.anyFreeSlot = active && candidates.stream().anyMatch(e -> e.hasFreeSlot(now));
    this.meanSlots = meanIfActive(candidates, e -> e.slots(now));
    this.meanPrefillTokensPerMilli =
        meanIfActive(candidates, e -> e.averagePrefillTokensPerMilli(request.priority()));
    this.meanOccupancy = meanIfActive(candidates, e -> e.occupancy(now));
  }

  private double meanIfActive(
      List<EndpointTracker> candidates, ToDoubleFunction<EndpointTracker> value) {
    return active ? candidates.stream().mapToDouble(value).average().orElse(0) : 0;
  }

  /** Returns whether load reports are available. */
  boolean isActive() {
    return active;
  }

  /** Returns the endpoint's speed times its slots, comparable between the candidates. */
  private double capacity(EndpointTracker endpoint) {
    double speed =
        request.promptTokens() > 0
            ? endpoint.averagePrefillTokensPerMilli(request.priority())
            : 1 / Math.max(1, endpoint.slotMillis(now));
    return endpoint.slots(now) * speed;
  }

  /**
   * Returns the amount, in ms, that is added to an endpoint's score.
   *
   * @param firstByteMillis the estimated time to the first byte
   * @param streamMillis the estimated time from there to the end of the response
   * @param weightedDuplicateTokens the weighted number of shared tokens that it prefills again
   */
  double adjustmentMillis(
      EndpointTracker endpoint,
      double firstByteMillis,
      double streamMillis,
      double weightedDuplicateTokens) {
    if (!active || request.promptTokens() == 0) {
      return 0;
    }
    return excessMillis(endpoint)
        + noSlotMillis(endpoint)
        + duplicatePrefillMillis(endpoint, weightedDuplicateTokens)
        - uncriticalMillis(firstByteMillis, streamMillis);
  }

  /**
   * Returns the penalty for pauses of the endpoint's streams, in ms.
   *
   * @param prefillTokens the tokens of the request that the endpoint would prefill
   */
  double eventGapMillis(EndpointTracker endpoint, long prefillTokens) {
    if (!active) {
      return 0;
    }
    double tokensPerMilli = endpoint.prefillTokensPerMilli(request.priority(), now);
    if (!eventGap.isExceedable(tokensPerMilli)) {
      return 0;
    }
    double queuedTokens = endpoint.pendingPrefillTokens(tokensPerMilli, now) + prefillTokens;
    return eventGap.penaltyMillis(queuedTokens, tokensPerMilli);
  }

  /**
   * Returns the penalty for load beyond the endpoint's share. Where each endpoint receives requests
   * in proportion to its speed and slots, slower ones take longer for each, so that the occupancy
   * is in proportion to the slots alone.
   */
  private double excessMillis(EndpointTracker endpoint) {
    double fairOccupancy = meanOccupancy * endpoint.slots(now) / meanSlots;
    double excess = endpoint.occupancy(now) - (MAX_LOAD_SHARE * fairOccupancy + EXCESS_SLACK);
    return Math.max(0, excess) * EXCESS_REQUEST_MILLIS;
  }

  /**
   * Returns the penalty for the lack of a slot while another candidate has one. Estimates of the
   * wait assume that slots become free one after the other, but after a burst a request may wait
   * for a whole response.
   */
  private double noSlotMillis(EndpointTracker endpoint) {
    return !anyFreeSlot || endpoint.hasFreeSlot(now) ? 0 : endpoint.slotMillis(now);
  }

  /**
   * Returns the difference that makes duplicate prefill cost the same at all endpoints. By their
   * own speed, it would cost least at the fastest endpoint, which would prefill the prefixes that
   * slower ones cache.
   */
  private double duplicatePrefillMillis(EndpointTracker endpoint, double weightedDuplicateTokens) {
    double ownSpeed = endpoint.prefillTokensPerMilli(request.priority(), now);
    return weightedDuplicateTokens / meanPrefillTokensPerMilli - weightedDuplicateTokens / ownSpeed;
  }

  /** Returns the part of the time after the first byte that does not decide on the endpoint. */
  private double uncriticalMillis(double firstByteMillis, double streamMillis) {
    double uncritical = UNCRITICAL_SHARE * request.remaining().toMillis() - firstByteMillis;
    return Math.max(0, Math.min(streamMillis, uncritical));
  }

  /** Chooses one of the scored candidates, of which there is at least one. */
  ScoredEndpoint choose(List<ScoredEndpoint> scored, RandomGenerator random) {
    if (!active) {
      return best(scored);
    }
    return request.promptTokens() == 0
        ? chooseForPlain(scored, random)
        : choosePrompt(scored, random);
  }

  private static ScoredEndpoint best(List<ScoredEndpoint> scored) {
    return scored.stream()
        .min(
            Comparator.comparingDouble(ScoredEndpoint::rank)
                .thenComparing(s -> s.endpoint().record().id()))
        .orElseThrow();
  }

  private ScoredEndpoint chooseForPlain(List<ScoredEndpoint> scored, RandomGenerator random) {
    double maxRank = best(scored).rank() + NEAR_EQUAL_PLAIN_MILLIS;
    List<ScoredEndpoint> near = scored.stream().filter(s -> s.rank() <= maxRank).toList();
    return drawTwo(near, random).stream()
        .min(Comparator.comparingDouble(this::relativeLoad))
        .orElseThrow();
  }

  /**
   * Chooses the best of two endpoints that cache the shared parts and two others: a prompt stays
   * with its prefix unless another endpoint is better by more than the cost of prefilling it again.
   */
  private ScoredEndpoint choosePrompt(List<ScoredEndpoint> scored, RandomGenerator random) {
    Map<Boolean, List<ScoredEndpoint>> byPreference =
        scored.stream()
            .collect(Collectors.partitioningBy(s -> s.preferred() && request.sharedTokens() > 0));
    List<ScoredEndpoint> others =
        byPreference.get(false).stream()
            .filter(s -> !anyFreeSlot || s.endpoint().hasFreeSlot(now))
            .toList();
    List<ScoredEndpoint> contenders = new ArrayList<>(drawTwo(byPreference.get(true), random));
    contenders.addAll(drawTwo(others, random));
    return best(contenders);
  }

  /** Draws two different endpoints, or all if there are fewer. */
  private List<ScoredEndpoint> drawTwo(List<ScoredEndpoint> from, RandomGenerator random) {
    if (from.size() <= 2) {
      return from;
    }
    ScoredEndpoint first = draw(from, random);
    return List.of(first, draw(from.stream().filter(s -> s != first).toList(), random));
  }

  /** Draws an endpoint at random, weighted by capacity. */
  private ScoredEndpoint draw(List<ScoredEndpoint> near, RandomGenerator random) {
    double total = near.stream().mapToDouble(s -> capacity(s.endpoint())).sum();
    double remaining = random.nextDouble() * total;
    for (ScoredEndpoint s : near) {
      remaining -= capacity(s.endpoint());
      if (remaining < 0) {
        return s;
      }
    }
    return near.get(near.size() - 1);
  }

  private double relativeLoad(ScoredEndpoint scored) {
    return (scored.endpoint().occupancy(now) + 1) / capacity(scored.endpoint());
  }
}
