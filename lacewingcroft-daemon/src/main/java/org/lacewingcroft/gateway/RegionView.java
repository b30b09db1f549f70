package org.lacewingcroft.gateway;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointHealth;
import org.lacewingcroft.membership.Member;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.misc.PrefixHash;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.routing.Candidate;
import org.lacewingcroft.routing.GatewayView;
import org.lacewingcroft.routing.RegionSummary;

/**
 * Provides the data for routing that this entry has besides endpoint announcements: its own
 * requests in flight, the prompt prefixes that it sent recently, and the capacity that the entries
 * of other regions reported.
 */
final class RegionView implements GatewayView {
  private static final int MAX_TRACKED_PREFIXES = 4_096;

  private final String region;
  private final EndpointRegistry endpoints;
  private final Membership membership;
  private final InFlightCounters inFlight;
  private final EndpointHealth health;
  private final InstantSource clock;
  private final Map<String, String> lastEndpointByPrefix =
      Collections.synchronizedMap(BoundedMap.evictingLeastRecentlyUsed(MAX_TRACKED_PREFIXES));

  RegionView(
      String region,
      EndpointRegistry endpoints,
      Membership membership,
      InFlightCounters inFlight,
      EndpointHealth health,
      InstantSource clock) {
    this.region = region;
    this.endpoints = endpoints;
    this.membership = membership;
    this.inFlight = inFlight;
    this.health = health;
    this.clock = clock;
  }

  /** Returns this region's free capacity by model, as estimated by this entry. */
  Map<String, Integer> freeSlotsByModel() {
    Map<String, Integer> free = new HashMap<>();
    Instant now = clock.instant();
    Set<String> paused = health.paused(now).keySet();
    for (Endpoint endpoint : endpoints.snapshot().all()) {
      if (endpoint.region().equals(region) && endpoint.acceptsWork(now)) {
        int load =
            paused.contains(endpoint.id())
                ? endpoint.capacity()
                : new Candidate(endpoint, inFlight.countTo(endpoint.id()), false).estimatedLoad();
        for (String model : endpoint.models()) {
          free.merge(model, Math.max(0, endpoint.capacity() - load), Integer::sum);
        }
      }
    }
    return free;
  }

  /** Returns the regions known from membership and endpoints, including this one. */
  Set<String> knownRegions() {
    Set<String> regions =
        membership.table().all().stream().map(m -> m.info().region()).collect(Collectors.toSet());
    regions.add(region);
    endpoints.snapshot().all().forEach(e -> regions.add(e.region()));
    return regions;
  }

  /** Records that a request with this prompt prefix is being sent to an endpoint. */
  void recordSentPrefix(String endpointId, String prefix) {
    if (!prefix.isEmpty()) {
      lastEndpointByPrefix.put(PrefixHash.of(prefix), endpointId);
    }
  }

  @Override
  public boolean recentlySentPrefix(String endpointId, String prefixHash) {
    return endpointId.equals(lastEndpointByPrefix.get(prefixHash));
  }

  @Override
  public int inFlightTo(String endpointId) {
    return inFlight.countTo(endpointId);
  }

  /**
   * Returns one summary per other region: for each model, the largest free capacity that a live
   * entry of the region reported.
   */
  @Override
  public List<RegionSummary> otherRegions() {
    Map<String, Map<String, Integer>> byRegion = new HashMap<>();
    for (Member m : membership.table().alive(MemberInfo.ENTRY, null, clock.instant())) {
      if (!m.info().region().equals(region)) {
        Map<String, Integer> slots =
            byRegion.computeIfAbsent(m.info().region(), r -> new HashMap<>());
        m.freeSlotsByModel().forEach((model, free) -> slots.merge(model, free, Math::max));
      }
    }
    List<RegionSummary> summaries = new ArrayList<>();
    byRegion.forEach((r, slots) -> summaries.add(new RegionSummary(r, slots)));
    return summaries;
  }
}
