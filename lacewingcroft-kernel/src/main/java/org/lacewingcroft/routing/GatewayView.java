package org.lacewingcroft.routing;

import java.util.List;

/** The state of an entry that its routing uses in addition to the announcements of endpoints. */
public interface GatewayView {

  /** Returns the number of requests that this entry has in flight to an endpoint. */
  int inFlightTo(String endpointId);

  /**
   * Returns whether this entry recently sent the prompt prefix to the endpoint, which therefore
   * probably caches it although no cache event has reported it yet.
   *
   * @param endpointId the id of the endpoint
   * @param prefixHash the {@link org.lacewingcroft.misc.PrefixHash} of the prefix
   */
  boolean recentlySentPrefix(String endpointId, String prefixHash);

  /** Returns the free capacity that the other regions reported. */
  List<RegionSummary> otherRegions();
}
