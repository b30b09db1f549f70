package org.lacewingcroft.route;

/**
 * A service that a route sends requests to, with its share of the traffic.
 *
 * @param service the service's name
 * @param weight its weight relative to the route's other shares, 0 or more
 */
public record ServiceShare(String service, int weight) {}
