package org.lacewingcroft.fleet;

/** What the control instances believe of an endpoint; later ones win at an equal sequence. */
public enum EndpointState {
  /** Takes work. */
  READY,
  /** Leaves soon: gets no new work. */
  DRAINING,
  /** Has not been heard of for a lease; may come back. */
  LOST,
  /** Has left, or another endpoint took its address; never comes back. */
  GONE
}
