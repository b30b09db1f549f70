package org.lacewingcroft.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One version of the routing document, checked and indexed: hosts and path prefixes to routes, and
 * the services they name. Immutable.
 */
public final class RouteTable {
  /** The table before any document is known: it matches nothing. */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), List.of(), RequestLimits.DEFAULT);

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServiceSpec> services;
  private final RequestLimits limits;
  private final QueuePriorities queuePriorities;
  private final Map<String, Organisation> organisationsByKey = new HashMap<>();
  private final boolean keysNeeded;

  /** Checks and indexes a document without organisations: callers need no keys. */
  public RouteTable(
      long version, List<Route> routes, List<ServiceSpec> services, RequestLimits limits) {
    this(version, routes, services, limits, List.of());
  }

  /**
   * Checks and indexes a document.
   *
   * @throws InvalidRouteTableException if two routes share a place, or a route names an unknown
   *     service, has weights that add up to 0 or no timeout, or two organisations share a key
   */
  public RouteTable(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      RequestLimits limits,
      List<Organisation> organisations) {
    this.version = version;
    this.keysNeeded = !organisations.isEmpty();
    organisations.forEach(this::index);
    this.limits = limits;
    this.services = new HashMap<>();
    services.forEach(s -> this.services.put(s.name(), s));
    Set<String> places = new HashSet<>();
    for (Route route : routes) {
      check(route);
      if (!places.add(route.host() + route.pathPrefix())) {
        throw new InvalidRouteTableException(
            "two routes share " + route.host() + route.pathPrefix() + "; remove one");
      }
    }
    this.queuePriorities = new QueuePriorities(routes);
    this.routesByHost =
        routes.stream()
            .sorted(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed())
            .collect(Collectors.groupingBy(Route::host));
  }

  private void index(Organisation organisation) {
    for (String key : organisation.keys()) {
      Organisation other = organisationsByKey.put(key, organisation);
      if (other != null) {
        throw new InvalidRouteTableException(
            "the organisations '"
                + other.name()
                + "' and '"
                + organisation.name()
                + "' share a key; give each its own");
      }
    }
  }

  private void check(Route route) {
    String subject = "route '" + route.name() + "' ";
    for (ServiceShare share : route.shares()) {
      if (!services.containsKey(share.service())) {
        throw new InvalidRouteTableException(
            subject + "names the unknown service '" + share.service() + "'; define it");
      }
      if (share.weight() < 0) {
        throw new InvalidRouteTableException(subject + "has a negative weight; use 0 or more");
      }
    }
    if (route.shares().stream().mapToInt(ServiceShare::weight).sum() <= 0) {
      throw new InvalidRouteTableException(subject + "has weights that add up to 0; raise one");
    }
    if (route.timeout().isZero() || route.timeout().isNegative()) {
      throw new InvalidRouteTableException(subject + "has no timeout; set it above 0 ms");
    }
    if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
      throw new InvalidRouteTableException(
          subject + "has the prefix '" + route.pathPrefix() + "'; begin and end it with a slash");
    }
  }

  /** Returns the operator's version. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns whether callers show a key, but on open routes. */
  public boolean requiresApiKeys() {
    return keysNeeded;
  }

  /** Returns the organisations that have keys. */
  public Collection<Organisation> organisations() {
    return Set.copyOf(organisationsByKey.values());
  }

  /** Returns the organisation that holds a key. */
  public Optional<Organisation> organisationOf(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  /** Returns a service's specification. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the engine of a service; empty for a plain service or one that is not known. */
  public Optional<ServiceSpec.Engine> engine(String service) {
    return service(service).flatMap(ServiceSpec::engine);
  }

  /** Returns how urgent a route's requests are in a service's queues, 0 the most urgent. */
  public int queuePriority(Route route, String service) {
    return queuePriorities.of(route, service);
  }

  /**
   * Returns the regions that may run every request to a host: those that all of its routes with
   * homes have in common. Empty if none of its routes has homes, or none is common.
   */
  public Set<String> homeRegionsOf(String hostHeader) {
    Set<String> common = new HashSet<>();
    routesOf(hostHeader).stream()
        .map(Route::homeRegions)
        .filter(homes -> !homes.isEmpty())
        .reduce(RouteTable::inBoth)
        .ifPresent(common::addAll);
    return common;
  }

  private static Set<String> inBoth(Set<String> some, Set<String> others) {
    Set<String> both = new HashSet<>(some);
    both.retainAll(others);
    return both;
  }

  /**
   * Returns the route with the longest prefix that begins a path.
   *
   * @param hostHeader the Host header, with or without port
   * @param path the path without query
   */
  public Optional<Route> match(String hostHeader, String path) {
    return routesOf(hostHeader).stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst();
  }

  private List<Route> routesOf(String hostHeader) {
    return routesByHost.getOrDefault(HostHeader.hostOf(hostHeader), List.of());
  }
}
