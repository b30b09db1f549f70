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
 * What this entry knows by itself: its requests in flight, the prompt prefixes it sent lately, and
 * what the entries of other regions reported of their capacity.
 */
final class RegionView implements GatewayView {
  private static final int PREFIXES_KEPT = 4_096;

  private final String region;
  private final EndpointRegistry endpoints;
  private final Membership membership;
  private final InFlight inFlight;
  private final EndpointHealth health;
  private final InstantSource clock;
  private final Map<String, String> lastEndpointByPrefix =
      Collections.synchronizedMap(BoundedMap.evictingLeastRecentlyUsed(PREFIXES_KEPT));

  RegionView(
      String region,
      EndpointRegistry endpoints,
      Membership membership,
      InFlight inFlight,
      EndpointHealth health,
      InstantSource clock) {
    this.region = region;
    this.endpoints = endpoints;
    this.membership = membership;
    this.inFlight = inFlight;
    this.health = health;
    this.clock = clock;
  }

  /** Returns this region's free capacity by model, as this entry sees it. */
  Map<String, Integer> freeSlotsByModel() {
    Map<String, Integer> free = new HashMap<>();
    Instant now = clock.instant();
    Set<String> paused = health.remainingPauses(now).keySet();
    for (Endpoint e : endpoints.snapshot().all()) {
      if (e.region().equals(region) && e.acceptsRequests(now)) {
        int used =
            paused.contains(e.id())
                ? e.capacity()
                : new Candidate(e, inFlight.to(e.id()), false).estimatedLoad();
        for (String model : e.models()) {
          free.merge(model, Math.max(0, e.capacity() - used), Integer::sum);
        }
      }
    }
    return free;
  }

  /** Returns the regions known from membership and endpoints, this one included. */
  Set<String> known() {
    Set<String> regions =
        membership.table().all().stream().map(m -> m.info().region()).collect(Collectors.toSet());
    regions.add(region);
    endpoints.snapshot().all().forEach(e -> regions.add(e.region()));
    return regions;
  }

  /** Notes that a request with this prompt prefix goes to an endpoint. */
  void sent(String endpointId, String prefix) {
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
    return inFlight.to(endpointId);
  }

  /** Returns what the live entries of the other regions reported, one summary a region. */
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
