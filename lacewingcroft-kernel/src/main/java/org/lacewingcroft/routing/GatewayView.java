package org.lacewingcroft.routing;

import java.util.List;

/** What a gateway knows by itself when it routes, next to what endpoints announce. */
public interface GatewayView {

  /** Returns this gateway's requests in flight to an endpoint. */
  int inFlightTo(String endpointId);

  /**
   * Returns whether this gateway has lately sent the prompt prefix to the endpoint, so that it is
   * probably in the endpoint's cache although no cache event said so yet.
   *
   * @param endpointId the endpoint
   * @param prefixHash the {@link org.lacewingcroft.misc.PrefixHash} of the prefix
   */
  boolean recentlySentPrefix(String endpointId, String prefixHash);

  /** Returns what the other regions reported of their free capacity. */
  List<RegionSummary> otherRegions();
}
