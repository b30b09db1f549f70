package org.lacewingcroft.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.EntryInfo;
import org.lacewingcroft.placement.Placement;

/**
 * Finds out whether a request could be sent elsewhere while one of its attempts still runs, so that
 * the attempt is given up only for a target that exists.
 *
 * <p>Confined to the event loop thread.
 */
final class TargetSearch {
  private final ForwardContext context;
  private final ForwardRequest request;
  private final boolean relayed;

  TargetSearch(ForwardContext context, ForwardRequest request, boolean relayed) {
    this.context = context;
    this.request = request;
    this.relayed = relayed;
  }

  /**
   * Returns whether placement finds another target than that of the running attempt: an endpoint,
   * or a region with an entry to relay to.
   *
   * @param excludedTargets the targets excluded for the request
   * @param excludedRegions the regions excluded for the request
   */
  boolean hasOtherTarget(
      UpstreamTarget running, Set<String> excludedTargets, Set<String> excludedRegions) {
    Set<String> targets = new HashSet<>(excludedTargets);
    targets.add(running.name());
    Set<String> regions = new HashSet<>(excludedRegions);
    regionWithoutRelay(running, targets).ifPresent(regions::add);
    Placement placement = place(targets, regions);
    while (placement instanceof Placement.ToRegion toRegion) {
      if (hasRelayTarget(toRegion.region(), targets)) {
        return true;
      }
      if (!regions.add(toRegion.region())) {
        return false;
      }
      placement = place(targets, regions);
    }
    return placement instanceof Placement.ToEndpoint;
  }

  private Placement place(Set<String> excludedTargets, Set<String> excludedRegions) {
    return context
        .node()
        .place(
            request.toPlacementRequest(context.now(), excludedTargets),
            relayed,
            request.handling().allowedRegions(),
            excludedRegions);
  }

  /** Returns the region of a target that is an entry, if it has no entry left to relay to. */
  Optional<String> regionWithoutRelay(UpstreamTarget target, Set<String> excludedTargets) {
    return target
        .entry()
        .map(EntryInfo::region)
        .filter(region -> !hasRelayTarget(region, excludedTargets));
  }

  private boolean hasRelayTarget(String region, Set<String> excludedTargets) {
    return !context
        .node()
        .relayTargets(region, request.handling().service(), excludedTargets)
        .isEmpty();
  }
}
