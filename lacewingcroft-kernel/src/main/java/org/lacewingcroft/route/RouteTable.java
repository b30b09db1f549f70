package org.lacewingcroft.route;

import java.time.Duration;
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
 * One validated version of the routing document, which indexes the routes by host and path prefix
 * and the services by name. Immutable.
 */
public final class RouteTable {
  /** The table that applies until a document is loaded; it matches no request. */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), List.of(), RequestLimits.DEFAULT);

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServiceSpec> services;
  private final RequestLimits limits;
  private final QueuePriorities queuePriorities;
  private final Map<String, Duration> eventGapObjectives = new HashMap<>();
  private final Map<String, Organisation> organisationsByKey = new HashMap<>();
  private final boolean requiresApiKeys;

  /** Validates and indexes a document without organisations; callers need no API keys. */
  public RouteTable(
      long version, List<Route> routes, List<ServiceSpec> services, RequestLimits limits) {
    this(version, routes, services, limits, List.of());
  }

  /**
   * Validates and indexes a document.
   *
   * @throws InvalidRouteTableException if two routes share a host and path prefix; if a route names
   *     an unknown service, has a negative weight, weights that add up to 0, no timeout, or a path
   *     prefix that does not begin and end with a slash; or if two organisations share an API key
   */
  public RouteTable(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      RequestLimits limits,
      List<Organisation> organisations) {
    this.version = version;
    this.requiresApiKeys = !organisations.isEmpty();
    organisations.forEach(this::indexKeys);
    this.limits = limits;
    this.services = new HashMap<>();
    services.forEach(s -> this.services.put(s.name(), s));
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (Route route : routes) {
      validate(route);
      if (!hostsAndPrefixes.add(route.host() + route.pathPrefix())) {
        throw new InvalidRouteTableException(
            "two routes share " + route.host() + route.pathPrefix() + "; remove one");
      }
    }
    this.queuePriorities = new QueuePriorities(routes);
    for (Route route : routes) {
      route.eventGapObjective().ifPresent(objective -> indexEventGap(route, objective));
    }
    this.routesByHost =
        routes.stream()
            .sorted(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed())
            .collect(Collectors.groupingBy(Route::host));
  }

  private void indexEventGap(Route route, Duration objective) {
    for (ServiceShare share : route.shares()) {
      eventGapObjectives.merge(share.service(), objective, (a, b) -> a.compareTo(b) <= 0 ? a : b);
    }
  }

  private void indexKeys(Organisation organisation) {
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

  private void validate(Route route) {
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

  /** Returns the version that the operator assigned to the document. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests. */
  public RequestLimits limits() {
    return limits;
  }

  /**
   * Returns whether callers need an API key, except on routes that are exempt from authentication.
   */
  public boolean requiresApiKeys() {
    return requiresApiKeys;
  }

  /** Returns the organisations that have at least one API key. */
  public Collection<Organisation> organisations() {
    return Set.copyOf(organisationsByKey.values());
  }

  /** Returns the organisation that an API key belongs to; empty for an unknown key. */
  public Optional<Organisation> organisationOf(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  /** Returns the specification of a service; empty for an unknown service. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the engine properties of a service; empty for a plain or an unknown service. */
  public Optional<ServiceSpec.Engine> engine(String service) {
    return service(service).flatMap(ServiceSpec::engine);
  }

  /**
   * Returns the shortest objective for the time between two events among the streams that a service
   * may serve; empty if there is none. Streams share the steps of an engine's batch, so that all of
   * them pause when it prefills a prompt.
   */
  public Optional<Duration> eventGapObjective(String service) {
    return Optional.ofNullable(eventGapObjectives.get(service));
  }

  /** Returns the priority of a route's requests in the queues of a service, 0 the most urgent. */
  public int queuePriority(Route route, String service) {
    return queuePriorities.of(route, service);
  }

  /**
   * Returns the regions that may run every request to a host, which are the home regions that all
   * of its routes with home regions have in common. Empty if no route of the host has home regions
   * or if they have none in common.
   */
  public Set<String> homeRegionsOf(String hostHeader) {
    Set<String> common = new HashSet<>();
    routesOf(hostHeader).stream()
        .map(Route::homeRegions)
        .filter(regions -> !regions.isEmpty())
        .reduce(RouteTable::intersection)
        .ifPresent(common::addAll);
    return common;
  }

  private static Set<String> intersection(Set<String> first, Set<String> second) {
    Set<String> common = new HashSet<>(first);
    common.retainAll(second);
    return common;
  }

  /**
   * Returns the route with the longest path prefix that matches; empty if none matches.
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
