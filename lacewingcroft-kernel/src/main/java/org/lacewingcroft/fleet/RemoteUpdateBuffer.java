package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.fleet.FleetMessage.PrefixPart;
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;
import org.lacewingcroft.limit.UsageReport;

/**
 * Buffers a region's updates for the other regions. Links between regions are slow and expensive,
 * and one cache holder suffices to fetch a prefix from, so each prefix is sent once per interval,
 * whichever endpoints have prefilled it.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class RemoteUpdateBuffer {
  /** Minimum interval between two messages. */
  private static final Duration MESSAGE_INTERVAL = Duration.ofMillis(200);

  /** Interval in which a prefix is sent at most once. */
  private static final Duration PREFIX_INTERVAL = Duration.ofSeconds(5);

  private final Map<List<PrefixPart>, Instant> prefixSentAt = new HashMap<>();
  private final List<PrefixRead> prefixes = new ArrayList<>();
  private final Map<String, Long> serviceUsage = new HashMap<>();
  private final Map<Long, UsageReport> quotaUsage = new HashMap<>();
  private Optional<RegionLoad> load = Optional.empty();
  private Instant lastMessageAt = Instant.EPOCH;

  /** Adds the updates that concern other regions. */
  public void add(News updates, Instant now) {
    for (PrefixRead read : updates.prefixes()) {
      if (prefixSentAt.putIfAbsent(read.parts(), now) == null) {
        prefixes.add(read);
      }
    }
    for (RegionLoad newer : updates.regionLoads()) {
      load = Optional.of(newer);
    }
    updates.serviceUsage().forEach((key, used) -> serviceUsage.merge(key, used, Long::sum));
    updates.quotaUsage().forEach(r -> quotaUsage.merge(r.counter(), r, UsageReport::mergedWith));
  }

  /** Removes and returns the updates if there are any and a message is due. */
  public Optional<News> drainIfDue(Instant now) {
    boolean empty =
        prefixes.isEmpty() && load.isEmpty() && serviceUsage.isEmpty() && quotaUsage.isEmpty();
    if (empty || lastMessageAt.plus(MESSAGE_INTERVAL).isAfter(now)) {
      return Optional.empty();
    }
    lastMessageAt = now;
    prefixSentAt.values().removeIf(at -> !at.plus(PREFIX_INTERVAL).isAfter(now));
    final News updates =
        new News(
            List.of(),
            List.copyOf(prefixes),
            load.stream().toList(),
            Map.copyOf(serviceUsage),
            List.copyOf(quotaUsage.values()));
    serviceUsage.clear();
    quotaUsage.clear();
    prefixes.clear();
    load = Optional.empty();
    return Optional.of(updates);
  }
}
