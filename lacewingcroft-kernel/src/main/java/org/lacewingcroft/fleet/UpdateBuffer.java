package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.fleet.FleetMessage.LoadReport;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;
import org.lacewingcroft.limit.UsageReport;

/**
 * Buffers updates for the next batch to a region's entries: a later complete load report of an
 * entry replaces its earlier reports, a later load of a region or report of quota usage replaces
 * the earlier one, and the usage of saturated services is summed.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class UpdateBuffer {
  /** Minimum interval between two batches, about the time in which a short prompt is prefilled. */
  private static final Duration BATCH_INTERVAL = Duration.ofMillis(120);

  /**
   * Minimum interval before a batch with urgent updates, so that a burst of them causes few
   * batches.
   */
  private static final Duration URGENT_BATCH_INTERVAL = Duration.ofMillis(40);

  /** Interval after which an empty batch is sent as a heartbeat. */
  private static final Duration IDLE_BATCH_INTERVAL = Duration.ofMillis(480);

  /**
   * Interval between two batches for entries on standby, about one second: entries use quota usage
   * for 1 s, the load of regions for 1.3 s and load reports for 1.5 s. The difference allows for
   * the interval at which buffers are checked.
   */
  private static final Duration STANDBY_BATCH_INTERVAL = Duration.ofMillis(920);

  private final List<LoadReport> loads = new ArrayList<>();
  private final List<PrefixRead> prefixes = new ArrayList<>();
  private final List<RegionLoad> regionLoads = new ArrayList<>();
  private final Map<String, Long> serviceUsage = new HashMap<>();
  private final Map<Long, UsageReport> quotaUsage = new HashMap<>();
  private final Duration batchInterval;
  private final Duration urgentBatchInterval;
  private final Duration idleBatchInterval;
  private boolean urgent;
  private Instant lastBatchAt = Instant.EPOCH;

  /** Creates a buffer for entries that serve callers. */
  public UpdateBuffer() {
    this(BATCH_INTERVAL, URGENT_BATCH_INTERVAL, IDLE_BATCH_INTERVAL);
  }

  private UpdateBuffer(
      Duration batchInterval, Duration urgentBatchInterval, Duration idleBatchInterval) {
    this.batchInterval = batchInterval;
    this.urgentBatchInterval = urgentBatchInterval;
    this.idleBatchInterval = idleBatchInterval;
  }

  /** Creates a buffer for entries on standby. */
  public static UpdateBuffer forStandbyEntries() {
    return new UpdateBuffer(STANDBY_BATCH_INTERVAL, STANDBY_BATCH_INTERVAL, STANDBY_BATCH_INTERVAL);
  }

  /** Adds updates. */
  public void add(News updates, boolean updatesAreUrgent) {
    for (LoadReport report : updates.loads()) {
      if (report.complete()) {
        loads.removeIf(earlier -> earlier.from().equals(report.from()));
      }
      loads.add(report);
    }
    prefixes.addAll(updates.prefixes());
    for (RegionLoad load : updates.regionLoads()) {
      regionLoads.removeIf(earlier -> earlier.region().equals(load.region()));
      regionLoads.add(load);
    }
    updates.serviceUsage().forEach((key, used) -> serviceUsage.merge(key, used, Long::sum));
    updates.quotaUsage().forEach(r -> quotaUsage.merge(r.counter(), r, UsageReport::mergedWith));
    urgent |= updatesAreUrgent;
  }

  /** Removes and returns the updates for a batch if one is due; they may be empty. */
  public Optional<News> drainIfDue(Instant now) {
    if (lastBatchAt.plus(batchInterval()).isAfter(now)) {
      return Optional.empty();
    }
    return Optional.of(drain(now));
  }

  /** Removes and returns the updates, before the entries that receive the batches change. */
  public News drain(Instant now) {
    final News updates =
        new News(
            List.copyOf(loads),
            List.copyOf(prefixes),
            List.copyOf(regionLoads),
            Map.copyOf(serviceUsage),
            List.copyOf(quotaUsage.values()));
    loads.clear();
    prefixes.clear();
    regionLoads.clear();
    serviceUsage.clear();
    quotaUsage.clear();
    urgent = false;
    lastBatchAt = now;
    return updates;
  }

  private Duration batchInterval() {
    if (urgent) {
      return urgentBatchInterval;
    }
    boolean empty =
        loads.isEmpty()
            && prefixes.isEmpty()
            && regionLoads.isEmpty()
            && serviceUsage.isEmpty()
            && quotaUsage.isEmpty();
    return empty ? idleBatchInterval : batchInterval;
  }
}
