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

/**
 * Buffers updates for the next digest to a region's entries: a later complete load report of an entry replaces its earlier reports, a later load of a region replaces the earlier one, and quota usage is summed.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class UpdateBuffer {
  /** Minimum interval between two digests, about the time in which a short prompt is prefilled. */
  private static final Duration PAUSE = Duration.ofMillis(120);

  /** Minimum interval before a digest with urgent updates, so that a burst of them causes few digests. */
  private static final Duration URGENT_PAUSE = Duration.ofMillis(40);

  /** Interval after which an empty digest is sent as a heartbeat. */
  private static final Duration IDLE_PAUSE = Duration.ofMillis(480);

  private final List<LoadReport> loads = new ArrayList<>();
  private final List<PrefixRead> prefixes = new ArrayList<>();
  private final List<RegionLoad> regionLoads = new ArrayList<>();
  private final Map<String, Long> quotaUses = new HashMap<>();
  private boolean urgent;
  private Instant takenAt = Instant.EPOCH;

  /** Adds updates. */
  public void add(News news, boolean isUrgent) {
    for (LoadReport report : news.loads()) {
      if (report.complete()) {
        loads.removeIf(earlier -> earlier.from().equals(report.from()));
      }
      loads.add(report);
    }
    prefixes.addAll(news.prefixes());
    for (RegionLoad load : news.regionLoads()) {
      regionLoads.removeIf(earlier -> earlier.region().equals(load.region()));
      regionLoads.add(load);
    }
    news.quotaUsage().forEach((name, use) -> quotaUses.merge(name, use, Long::sum));
    urgent |= isUrgent;
  }

  /** Removes and returns the updates for a digest if one is due; they may be empty. */
  public Optional<News> take(Instant now) {
    if (takenAt.plus(pause()).isAfter(now)) {
      return Optional.empty();
    }
    final News news =
        new News(
            List.copyOf(loads),
            List.copyOf(prefixes),
            List.copyOf(regionLoads),
            Map.copyOf(quotaUses));
    loads.clear();
    prefixes.clear();
    regionLoads.clear();
    quotaUses.clear();
    urgent = false;
    takenAt = now;
    return Optional.of(news);
  }

  private Duration pause() {
    if (urgent) {
      return URGENT_PAUSE;
    }
    boolean empty =
        loads.isEmpty() && prefixes.isEmpty() && regionLoads.isEmpty() && quotaUses.isEmpty();
    return empty ? IDLE_PAUSE : PAUSE;
  }
}
