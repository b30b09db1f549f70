package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The entries among which one entry divides the bounds that all entries share. A shared bound holds
 * only if the shares of all entries together stay within it, so this view errs towards too many
 * entries where the list of entries that accept requests errs towards too few:
 *
 * <ul>
 *   <li>An entry that is no longer listed counts until its last sends have left every window. It
 *       may still be sending, while it shuts down or behind a network partition.
 *   <li>Absence counts only as reported by control instances that are connected to a majority.
 *       Otherwise the two sides of a partition would each divide the whole bound among themselves.
 *   <li>The size is unknown until the contact with such a control instance has lasted one window.
 *       The predecessor of a restarted entry may have used its share shortly before, and the first
 *       lists after a start are incomplete.
 * </ul>
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class EntryMembership {
  /**
   * Maximum interval between two contacts with the majority during which absence counts. Control
   * instances reply to each report, two a second.
   */
  private static final Duration MAX_CONTACT_INTERVAL = Duration.ofSeconds(2);

  /**
   * Time from the first contact with a control instance until the lists of entries are complete:
   * entries that start at the same time report within this time, and receive lists with each other.
   */
  private static final Duration DISCOVERY_TIME = Duration.ofMillis(2_500);

  private final String self;
  private final Duration window;
  private final Duration retention;

  /** When each entry was first found to be absent; empty for listed entries. */
  private final Map<String, Optional<Instant>> absentSince = new HashMap<>();

  private final Map<String, String> regionByEntry = new HashMap<>();

  private Optional<Instant> firstContactAt = Optional.empty();
  private Instant contactSince = Instant.EPOCH;
  private Instant lastContactAt = Instant.EPOCH;
  private boolean established;

  /**
   * Creates a view that contains only the entry itself.
   *
   * @param self the entry's name
   * @param window the longest window of a shared bound
   * @param shutdownGrace how long an entry that is no longer listed may continue to send requests
   */
  public EntryMembership(String self, Duration window, Duration shutdownGrace) {
    this.self = self;
    this.window = window;
    this.retention = window.plus(shutdownGrace);
    absentSince.put(self, Optional.empty());
  }

  /** Applies a list of the entries that accept requests. */
  public void update(List<EntryInfo> listed, Instant now) {
    Set<String> names = listed.stream().map(EntryInfo::name).collect(Collectors.toSet());
    names.add(self);
    listed.forEach(e -> regionByEntry.put(e.name(), e.region()));
    names.forEach(name -> absentSince.put(name, Optional.empty()));
    absentSince.replaceAll(
        (name, since) -> names.contains(name) || since.isPresent() ? since : Optional.of(now));
  }

  /** Records a message from any control instance. */
  public void onContact(Instant now) {
    firstContactAt = firstContactAt.or(() -> Optional.of(now));
  }

  /**
   * Returns whether this entry has discovered the entries that started at the same time. Until
   * then, each of them would assume that it is one of the few that may use a bound.
   */
  public boolean isDiscoveryComplete(Instant now) {
    return firstContactAt.filter(at -> !at.plus(DISCOVERY_TIME).isAfter(now)).isPresent();
  }

  /**
   * Records a message from a control instance that is connected to a majority, and removes the
   * entries that have been absent for long enough.
   */
  public void onMajorityContact(Instant now) {
    if (lastContactAt.plus(MAX_CONTACT_INTERVAL).isBefore(now)) {
      contactSince = now;
      absentSince.replaceAll((name, since) -> since.map(at -> now));
    }
    lastContactAt = now;
    established |= !contactSince.plus(window).isAfter(now);
    Instant oldest = now.minus(retention);
    absentSince.values().removeIf(since -> since.filter(oldest::isAfter).isPresent());
    regionByEntry.keySet().retainAll(absentSince.keySet());
  }

  /**
   * Returns the number of entries in each region that may send requests. Lacks this entry until it
   * has been listed.
   */
  public Map<String, Integer> countByRegion() {
    Map<String, Integer> counts = new TreeMap<>();
    regionByEntry.values().forEach(region -> counts.merge(region, 1, Integer::sum));
    return counts;
  }

  /**
   * Returns the number of entries that share a bound, at least 1; empty if it is unknown, in which
   * case this entry must not use a share.
   */
  public OptionalInt size() {
    return established ? OptionalInt.of(absentSince.size()) : OptionalInt.empty();
  }
}
