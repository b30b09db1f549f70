package org.lacewingcroft.route;

/**
 * A service's part of a route's traffic.
 *
 * @param service the service's name
 * @param weight its weight against the route's other shares, 0 or more
 */
public record ServiceShare(String service, int weight) {}
