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
  private final Map<String, Long> quotaUsage = new HashMap<>();
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
    updates.quotaUsage().forEach((name, used) -> quotaUsage.merge(name, used, Long::sum));
  }

  /** Removes and returns the updates if there are any and a message is due. */
  public Optional<News> drainIfDue(Instant now) {
    boolean empty = prefixes.isEmpty() && load.isEmpty() && quotaUsage.isEmpty();
    if (empty || lastMessageAt.plus(MESSAGE_INTERVAL).isAfter(now)) {
      return Optional.empty();
    }
    lastMessageAt = now;
    prefixSentAt.values().removeIf(at -> !at.plus(PREFIX_INTERVAL).isAfter(now));
    final News updates =
        new News(List.of(), List.copyOf(prefixes), load.stream().toList(), Map.copyOf(quotaUsage));
    quotaUsage.clear();
    prefixes.clear();
    load = Optional.empty();
    return Optional.of(updates);
  }
}
