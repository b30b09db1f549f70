package org.lacewingcroft.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.config.GatewayConfig;
import org.lacewingcroft.config.OrganisationPolicy;
import org.lacewingcroft.config.RoutingRule;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointDirectory;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.misc.PrefixHash;
import org.lacewingcroft.selector.LabelSelector;

/**
 * Decides where to serve a request, as a pure function of immutable snapshots.
 *
 * <p>The residency of the request is first restricted to that of its organisation. The first
 * selector that covers the request determines the allowed endpoints and regions. If no allowed
 * local endpoint has free capacity, a request that has not been forwarded yet is forwarded to the
 * allowed region with the most free capacity. Otherwise the {@link RoutingPolicy} chooses a local
 * endpoint. A forwarded request is never forwarded again, so a request makes at most one
 * cross-region hop and cannot loop.
 */
public final class Router {
  /**
   * The estimated utilisation from which an endpoint has no free capacity: every slot is in use and
   * a quarter as many requests are queued. If no local endpoint has free capacity, the request is
   * forwarded to another region that has some.
   */
  public static final double SPILL_UTILISATION = 1.25;

  private static final String NO_RULE = "*";

  private final String localRegion;
  private final RoutingPolicy policy;

  /**
   * Creates a router for the given region.
   *
   * @param localRegion the region of this entry
   * @param policy the policy that chooses among local candidates
   */
  public Router(String localRegion, RoutingPolicy policy) {
    this.localRegion = localRegion;
    this.policy = policy;
  }

  /**
   * Routes one request.
   *
   * @param request the request
   * @param config the active configuration
   * @param directory the endpoints that are currently announced
   * @param view the state of this entry and of the other regions
   * @param now the current time, which determines whether leases have expired
   * @return the decision, never null
   */
  public RouteDecision route(
      RouteRequest request,
      GatewayConfig config,
      EndpointDirectory directory,
      GatewayView view,
      Instant now) {
    Set<String> residency = effectiveResidency(request, config);
    if (residency == null) {
      return new RouteDecision.Refuse(
          ErrorKind.NOT_RUN,
          "the request's residency "
              + request.residency()
              + " shares no region with organisation '"
              + request.organisation()
              + "'s residency");
    }
    if (!isServedAnywhere(request.model(), directory, view)) {
      boolean namedInConfig = config.namesModel(request.model());
      return new RouteDecision.Refuse(
          namedInConfig ? ErrorKind.NOT_RUN : ErrorKind.UNKNOWN_MODEL,
          "no endpoint serves model '" + request.model() + "'" + (namedInConfig ? " now" : ""));
    }
    Optional<RoutingRule> rule =
        config.ruleFor(request.organisation(), request.model(), request.priority());
    if (rule.isEmpty() && !config.rules().isEmpty()) {
      return new RouteDecision.Refuse(
          ErrorKind.NOT_RUN,
          "no selector covers organisation '"
              + request.organisation()
              + "' and model '"
              + request.model()
              + "'; an operator must apply one");
    }
    LabelSelector selector = rule.map(RoutingRule::endpoints).orElse(LabelSelector.EVERYTHING);
    String ruleName = rule.map(RoutingRule::name).orElse(NO_RULE);
    List<Candidate> local =
        isAllowed(localRegion, residency, rule)
            ? localCandidates(request, selector, directory, view, now)
            : List.of();
    Optional<RegionSummary> targetRegion =
        request.forwarded() || hasFreeCapacity(local)
            ? Optional.empty()
            : bestRegion(request, residency, rule, view);
    if (targetRegion.isPresent()) {
      return new RouteDecision.Forward(targetRegion.get().region());
    }
    if (!local.isEmpty()) {
      Optional<Candidate> chosen = policy.choose(local, request);
      if (chosen.isPresent()) {
        return new RouteDecision.Serve(chosen.get(), ruleName);
      }
    }
    return new RouteDecision.Refuse(
        ErrorKind.NOT_RUN,
        request.forwarded()
            ? "region " + localRegion + " has no free endpoint for a forwarded request"
            : "no endpoint for model '"
                + request.model()
                + "' has room inside residency "
                + (residency.isEmpty() ? "(any)" : residency));
  }

  private static boolean hasFreeCapacity(List<Candidate> local) {
    return local.stream().anyMatch(c -> c.utilisation() < SPILL_UTILISATION);
  }

  /** Returns the allowed region with the most free capacity; empty if none has any. */
  private Optional<RegionSummary> bestRegion(
      RouteRequest request, Set<String> residency, Optional<RoutingRule> rule, GatewayView view) {
    return view.otherRegions().stream()
        .filter(r -> !r.region().equals(localRegion))
        .filter(r -> isAllowed(r.region(), residency, rule))
        .filter(r -> !request.excludedTargets().contains(r.region()))
        .filter(r -> r.freeSlots(request.model()) > 0)
        .max(
            Comparator.comparingInt((RegionSummary r) -> r.freeSlots(request.model()))
                .thenComparing(RegionSummary::region, Comparator.reverseOrder()));
  }

  private static boolean isAllowed(
      String region, Set<String> residency, Optional<RoutingRule> rule) {
    return (residency.isEmpty() || residency.contains(region))
        && rule.map(r -> r.allowsRegion(region)).orElse(true);
  }

  /**
   * Returns the intersection of the residencies of request and organisation, an empty set for any
   * region, or null if both are restricted and share no region.
   */
  private static Set<String> effectiveResidency(RouteRequest request, GatewayConfig config) {
    Set<String> fromOrganisation =
        config
            .organisation(request.organisation())
            .map(OrganisationPolicy::residency)
            .orElse(Set.of());
    if (request.residency().isEmpty()) {
      return fromOrganisation;
    }
    if (fromOrganisation.isEmpty()) {
      return request.residency();
    }
    Set<String> intersection = new HashSet<>(request.residency());
    intersection.retainAll(fromOrganisation);
    return intersection.isEmpty() ? null : Set.copyOf(intersection);
  }

  private static boolean isServedAnywhere(
      String model, EndpointDirectory directory, GatewayView view) {
    return !directory.serving(model).isEmpty()
        || view.otherRegions().stream().anyMatch(r -> r.freeSlotsByModel().containsKey(model));
  }

  private List<Candidate> localCandidates(
      RouteRequest request,
      LabelSelector selector,
      EndpointDirectory directory,
      GatewayView view,
      Instant now) {
    List<Endpoint> serving = directory.serving(request.model());
    String prefixHash = request.affinityKey().isEmpty() ? "" : PrefixHash.of(request.affinityKey());
    List<Candidate> candidates = new ArrayList<>(serving.size());
    for (Endpoint e : serving) {
      if (e.region().equals(localRegion)
          && e.acceptsRequests(now)
          && !request.excludedTargets().contains(e.id())
          && selector.matches(e.labels())) {
        candidates.add(
            new Candidate(e, view.inFlightTo(e.id()), isPrefixCached(e, prefixHash, view)));
      }
    }
    return candidates;
  }

  private static boolean isPrefixCached(Endpoint e, String prefixHash, GatewayView view) {
    return !prefixHash.isEmpty()
        && (e.cachedPrefixes().contains(prefixHash) || view.recentlySentPrefix(e.id(), prefixHash));
  }
}
