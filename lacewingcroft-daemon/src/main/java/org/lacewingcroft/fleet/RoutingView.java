package org.lacewingcroft.fleet;

import java.time.Instant;
import java.util.Set;
import org.lacewingcroft.route.RouteTable;

/**
 * An immutable snapshot of the state by which an entry routes requests.
 *
 * @param revision the revision of the control group's routing state; 0 before any is received
 * @param table the routes and services
 * @param tableSince when this entry activated the table, by its monotonic clock
 * @param evacuatedDomains failure domains whose endpoints receive no requests
 */
public record RoutingView(
    long revision, RouteTable table, Instant tableSince, Set<String> evacuatedDomains) {
  /** The view before any state is received. */
  public static final RoutingView NONE =
      new RoutingView(0, RouteTable.EMPTY, Instant.EPOCH, Set.of());
}
