package org.lacewingcroft.fleet;

import java.util.Collection;
import org.lacewingcroft.placement.ConnectionShare;
import org.lacewingcroft.route.RouteTable;

/** Computes an entry's share of the connections of a region's endpoints. */
final class RegionConnections {
  private RegionConnections() {}

  /**
   * Returns how many requests one entry may have in flight at the endpoints of its region, over all
   * services.
   *
   * @param endpoints the endpoints of all regions
   * @param settings the settings, which list the regions
   * @param region the region
   * @param entries number of entries in the region
   * @param routes the active routes
   */
  static int maxInFlightPerEntry(
      Collection<EndpointRecord> endpoints,
      FleetSettings settings,
      String region,
      int entries,
      RouteTable routes) {
    return endpoints.stream()
        .filter(e -> e.state() == EndpointState.READY)
        .filter(e -> settings.regionOf(e.failureDomain()).filter(region::equals).isPresent())
        .flatMap(e -> routes.service(e.service()).stream())
        .mapToInt(s -> ConnectionShare.maxInFlightPerEndpoint(s.maxConnections(), entries))
        .sum();
  }
}
