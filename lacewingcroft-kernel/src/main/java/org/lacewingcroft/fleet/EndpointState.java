package org.lacewingcroft.fleet;

/**
 * The state of an endpoint as recorded by the control instances; at an equal sequence number the
 * constant declared later takes precedence.
 */
public enum EndpointState {
  /** Accepts requests. */
  READY,
  /** Is about to shut down and receives no new requests. */
  DRAINING,
  /**
   * Has not announced itself for the length of its lease, or another endpoint has taken over its
   * address; may recover.
   */
  LOST,
  /** Has deregistered; final. */
  GONE
}
