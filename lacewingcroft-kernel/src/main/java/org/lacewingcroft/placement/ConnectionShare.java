package org.lacewingcroft.placement;

/** Divides the connections that an endpoint accepts among the entries of its region. */
public final class ConnectionShare {
  /** Share of an endpoint's connections that all entries together use. */
  private static final double USED_SHARE = 0.8;

  private static final int MIN_PER_ENTRY = 2;

  private ConnectionShare() {}

  /**
   * Returns the maximum number of requests that one entry has in flight at an endpoint.
   *
   * @param connections the connections that the endpoint accepts
   * @param entries number of entries in the region, active or on standby
   */
  public static int maxInFlightPerEndpoint(int connections, int entries) {
    return Math.max(MIN_PER_ENTRY, (int) (connections * USED_SHARE / entries));
  }
}
