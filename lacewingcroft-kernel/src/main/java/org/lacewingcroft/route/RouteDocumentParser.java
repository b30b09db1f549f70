package org.lacewingcroft.route;

/** Parses routing documents in the format of a deployment. */
public interface RouteDocumentParser {
  /**
   * Parses and validates a routing document.
   *
   * @throws InvalidRouteTableException if the document cannot be parsed completely or is invalid
   */
  RouteTable parse(String document);
}
