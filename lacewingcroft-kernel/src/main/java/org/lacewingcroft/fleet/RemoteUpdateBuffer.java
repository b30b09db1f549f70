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
 * A region's news that waits to be told to the other regions. Links between regions are slow and
 * dear, and one holder of a prefix is enough to fetch it from, so each prefix is told once in a
 * while, whichever endpoints read it.
 *
 * <p>Not thread-safe: owned by the instance's event loop.
 */
public final class RemoteUpdateBuffer {
  /** Pause between two messages. */
  private static final Duration PAUSE = Duration.ofMillis(200);

  /** Pause in which a prefix is told of once. */
  private static final Duration PREFIX_PAUSE = Duration.ofSeconds(5);

  private final Map<List<ReadPart>, Instant> toldAt = new HashMap<>();
  private final List<PrefixRead> prefixes = new ArrayList<>();
  private final Map<String, Long> quotaUses = new HashMap<>();
  private Optional<RegionLoad> load = Optional.empty();
  private Instant takenAt = Instant.EPOCH;

  /** Adds what concerns other regions. */
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

  /** Takes the news if there is some and it is due. */
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
