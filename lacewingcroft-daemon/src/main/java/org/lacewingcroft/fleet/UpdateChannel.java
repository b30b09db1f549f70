package org.lacewingcroft.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.lacewingcroft.limit.UsageReport;

/** A channel through which an entry sends its updates to the other entries. */
interface UpdateChannel {
  /** Returns the interval between two regular load reports, in ms. */
  long reportIntervalMillis();

  /**
   * Sends this entry's load to the entries of its region.
   *
   * @param urgent whether they need it before the next regular report
   */
  void sendLoad(FleetMessage.LoadReport report, boolean urgent);

  /**
   * Sends load reports of endpoints to the entries of this region.
   *
   * @param reports the reports; not empty
   */
  void sendEndpointReports(List<FleetMessage.EndpointReport> reports);

  /**
   * Sends the usage of saturated services to the entries of all regions.
   *
   * @param usage the increases by an encoded key; not empty
   */
  void sendServiceUsage(Map<String, Long> usage);

  /** Returns the maximum interval between two reports of the quota used by callers. */
  Duration quotaUsageInterval();

  /** Sends the quota used by this entry's callers to the entries of all regions. */
  void sendQuotaUsage(UsageReport report);

  /** Reports to the entries of all regions that an endpoint has prefilled a prompt prefix. */
  void sendPrefixRead(FleetMessage.PrefixRead read);

  /** Sends this region's load to the other regions. */
  void sendRegionLoad(FleetMessage.RegionLoad load);
}
