package org.lacewingcroft.placement;

/** How much room an endpoint has for another request, by the load that it reports. */
public enum EndpointRoom {
  /** It has a free slot. */
  FREE_SLOT,
  /** It has no free slot; a request would wait in its queue. */
  QUEUE,
  /** It has neither a slot nor a place in its queue. */
  FULL,
  /** It has not reported its load recently. */
  UNKNOWN
}
