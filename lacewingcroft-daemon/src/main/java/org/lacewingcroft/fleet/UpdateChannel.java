package org.lacewingcroft.fleet;

import java.util.Map;

/** The way by which an entry tells the others its news. */
interface UpdateChannel {
  /** Returns the pause between two regular reports of its work, in ms. */
  long pauseMillis();

  /**
   * Tells its work to the entries of its region.
   *
   * @param urgent whether they need it sooner than a regular report
   */
  void work(FleetMessage.LoadReport report, boolean urgent);

  /**
   * Tells the entries of all regions what callers have used of their organisations' quotas.
   *
   * @param uses by organisation, not empty
   */
  void quotaUses(Map<String, Long> uses);

  /** Tells the entries of all regions that an endpoint has read the beginning of a prompt. */
  void prefixRead(FleetMessage.PrefixRead read);

  /** Tells the other regions how loaded this one is. */
  void regionLoad(FleetMessage.RegionLoad load);
}
