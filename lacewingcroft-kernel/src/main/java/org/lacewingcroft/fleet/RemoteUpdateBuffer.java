package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.fleet.FleetMessage.PrefixRead;
import org.lacewingcroft.fleet.FleetMessage.ReadPart;
import org.lacewingcroft.fleet.FleetMessage.RegionLoad;

/**
 * Buffers a region's updates for the other regions. Links between regions are slow and expensive, and one cache holder suffices to fetch a prefix from, so each prefix is sent once per interval, whichever endpoints have prefilled it.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class RemoteUpdateBuffer {
  /** Minimum interval between two messages. */
  private static final Duration PAUSE = Duration.ofMillis(200);

  /** Interval in which a prefix is sent at most once. */
  private static final Duration PREFIX_PAUSE = Duration.ofSeconds(5);

  private final Map<List<ReadPart>, Instant> toldAt = new HashMap<>();
  private final List<PrefixRead> prefixes = new ArrayList<>();
  private final Map<String, Long> quotaUses = new HashMap<>();
  private Optional<RegionLoad> load = Optional.empty();
  private Instant takenAt = Instant.EPOCH;

  /** Adds the updates that concern other regions. */
  public void add(News news, Instant now) {
    for (PrefixRead read : news.prefixes()) {
      if (toldAt.putIfAbsent(read.parts(), now) == null) {
        prefixes.add(read);
      }
    }
    for (RegionLoad newer : news.regionLoads()) {
      load = Optional.of(newer);
    }
    news.quotaUsage().forEach((name, use) -> quotaUses.merge(name, use, Long::sum));
  }

  /** Removes and returns the updates if there are any and a message is due. */
  public Optional<News> take(Instant now) {
    boolean empty = prefixes.isEmpty() && load.isEmpty() && quotaUses.isEmpty();
    if (empty || takenAt.plus(PAUSE).isAfter(now)) {
      return Optional.empty();
    }
    takenAt = now;
    toldAt.values().removeIf(at -> !at.plus(PREFIX_PAUSE).isAfter(now));
    final News news =
        new News(List.of(), List.copyOf(prefixes), load.stream().toList(), Map.copyOf(quotaUses));
    quotaUses.clear();
    prefixes.clear();
    load = Optional.empty();
    return Optional.of(news);
  }
}
