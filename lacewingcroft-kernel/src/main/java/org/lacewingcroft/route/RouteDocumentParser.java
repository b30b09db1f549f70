package org.lacewingcroft.route;

/** Reads an operator's routing document in the format of one deployment. */
public interface RouteDocumentParser {
  /**
   * Reads and checks a document.
   *
   * @throws InvalidRouteTableException if it cannot be read in full or must not be put in force
   */
  RouteTable parse(String document);
}
