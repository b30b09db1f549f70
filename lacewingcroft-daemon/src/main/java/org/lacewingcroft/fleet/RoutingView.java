package org.lacewingcroft.fleet;

import java.util.Set;
import org.lacewingcroft.route.RouteTable;

/**
 * What an entry routes by at one moment; immutable, replaced as a whole.
 *
 * @param revision the revision of the control group's routing state; 0 before any is known
 * @param table the routes and services
 * @param evacuatedDomains failure domains whose endpoints get no work
 */
public record RoutingView(long revision, RouteTable table, Set<String> evacuatedDomains) {
  /** Before any state is known. */
  public static final RoutingView NONE = new RoutingView(0, RouteTable.EMPTY, Set.of());
}
