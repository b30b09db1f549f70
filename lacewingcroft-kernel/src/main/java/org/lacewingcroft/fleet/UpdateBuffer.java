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
 * News that waits for the next digest to a region's entries: a later whole report of an entry takes
 * the place of its earlier ones, a region's later load that of its earlier one, and what was used
 * of quotas adds up.
 *
 * <p>Not thread-safe: owned by the instance's event loop.
 */
public final class UpdateBuffer {
  /** Pause between two digests: about as long as a short prompt is read. */
  private static final Duration PAUSE = Duration.ofMillis(120);

  /** Least pause before a digest with urgent news, so that a burst of them costs few digests. */
  private static final Duration URGENT_PAUSE = Duration.ofMillis(40);

  /** Pause after which an empty digest is sent as a sign of life. */
  private static final Duration IDLE_PAUSE = Duration.ofMillis(480);

  private final List<LoadReport> loads = new ArrayList<>();
  private final List<PrefixRead> prefixes = new ArrayList<>();
  private final List<RegionLoad> regionLoads = new ArrayList<>();
  private final Map<String, Long> quotaUses = new HashMap<>();
  private boolean urgent;
  private Instant takenAt = Instant.EPOCH;

  /** Adds news. */
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

  /** Takes the news for a digest if one is due; it may be empty. */
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
