package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntBiFunction;
import java.util.stream.Collectors;
import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * The part of a control instance that determines the active entries and sends them to the entries.
 * Its state expires within seconds and is lost at a restart; all entries are listed then.
 *
 * <p>Confined to the event loop thread.
 */
final class ActiveEntryDirectory {
  private static final System.Logger LOG = System.getLogger(ActiveEntryDirectory.class.getName());

  /**
   * Interval after which the active entries are selected again from newer reports, half of the
   * interval of the reports. A change of the entries that accept requests is applied at once.
   */
  private static final Duration SELECTION_INTERVAL = Duration.ofMillis(250);

  /**
   * Interval after which an unchanged list is sent to an entry again. Entries use a list for 5 s,
   * so one message may be lost.
   */
  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

  private final FleetSettings settings;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final GatewayMetrics metrics;
  private final Supplier<List<EntryInfo>> readyEntries;
  private final ToIntBiFunction<String, Integer> maxInFlight;
  private final ActiveEntrySelector selector = new ActiveEntrySelector();
  private final Map<String, Instant> lastRequestAt = new HashMap<>();
  private final Map<String, SentList> sent = new HashMap<>();
  private Map<String, ActiveEntrySelector.Selection> selections = Map.of();
  private List<EntryInfo> selectedFrom = List.of();
  private Instant selectedAt = Instant.EPOCH;

  private record SentList(List<String> names, Instant sentAt) {}

  /**
   * Creates a directory without reports.
   *
   * @param readyEntries returns the entries of all regions that accept requests
   * @param maxInFlight returns how many requests one entry of a region may have in flight at the
   *     region's endpoints
   */
  ActiveEntryDirectory(
      FleetSettings settings,
      FleetTransport transport,
      InstantSource clock,
      GatewayMetrics metrics,
      Supplier<List<EntryInfo>> readyEntries,
      ToIntBiFunction<String, Integer> maxInFlight) {
    this.settings = settings;
    this.transport = transport;
    this.clock = clock;
    this.metrics = metrics;
    this.readyEntries = readyEntries;
    this.maxInFlight = maxInFlight;
  }

  private boolean isEnabled() {
    return settings.activeEntriesMode() == ActiveEntriesMode.AUTO;
  }

  /** Records a pressure report. */
  void onPressureReport(FleetMessage.PressureReport report) {
    if (!isEnabled()) {
      return;
    }
    selector.onReport(report, clock.instant());
    if (report.pressure().inFlight() > 0) {
      lastRequestAt.put(report.entry(), clock.instant());
    }
  }

  /**
   * Records from an entry's updates that it serves requests. Rate limits and the load of the region
   * are reported without requests as well.
   */
  void onUpdates(FleetMessage.EntryNews message) {
    if (!isEnabled()) {
      return;
    }
    FleetMessage.News updates = message.news();
    boolean serving =
        !updates.prefixes().isEmpty()
            || !updates.serviceUsage().isEmpty()
            || updates.loads().stream()
                .flatMap(report -> report.loads().stream())
                .anyMatch(load -> load.running() > 0);
    if (serving) {
      lastRequestAt.put(message.from(), clock.instant());
    }
  }

  /**
   * Returns the entries that a caller of a region may be directed to: the active ones of the
   * region, and all of the other regions, which serve it only if its region has none.
   */
  List<EntryInfo> entriesForCallersOf(String region) {
    List<EntryInfo> ready = readyEntries.get();
    if (!isEnabled()) {
      return ready;
    }
    update(ready);
    return ready.stream().filter(e -> !e.region().equals(region) || isActive(e)).toList();
  }

  /** Selects the active entries again if reports or entries may have changed. */
  void update() {
    if (isEnabled()) {
      update(readyEntries.get());
    }
  }

  private void update(List<EntryInfo> ready) {
    Instant now = clock.instant();
    boolean current = selectedAt.plus(SELECTION_INTERVAL).isAfter(now);
    if (current && selectedFrom.equals(ready)) {
      return;
    }
    selectedAt = now;
    selectedFrom = ready;
    lastRequestAt.values().removeIf(at -> !isRecentRequest(at, now));
    Map<String, ActiveEntrySelector.Selection> previous = selections;
    selections = selector.select(ready, maxInFlight, now);
    selections.forEach(
        (region, selection) -> recordChange(Optional.ofNullable(previous.get(region)), selection));
  }

  private void recordChange(
      Optional<ActiveEntrySelector.Selection> previous, ActiveEntrySelector.Selection selection) {
    metrics.activeEntries.labelValues(selection.region()).set(selection.names().size());
    boolean wasRestricted =
        previous.filter(ActiveEntrySelector.Selection::hasStandbyEntries).isPresent();
    boolean changed =
        previous.filter(p -> p.names().equals(selection.names())).isEmpty()
            && (wasRestricted || selection.hasStandbyEntries());
    if (!changed) {
      return;
    }
    metrics.activeEntryChanges.labelValues(selection.region(), selection.cause().name()).inc();
    LOG.log(
        System.Logger.Level.INFO,
        "active_entries.changed",
        "region",
        selection.region(),
        "active",
        selection.names().size(),
        "ready",
        selection.ready(),
        "before",
        previous.map(p -> p.names().size()).orElse(0),
        "cause",
        selection.cause());
  }

  private boolean isActive(EntryInfo entry) {
    return Optional.ofNullable(selections.get(entry.region()))
        .filter(selection -> !selection.names().contains(entry.name()))
        .isEmpty();
  }

  /** Returns the peer addresses of the entries of a region that need no frequent updates. */
  Set<String> idleStandbyPeers(String region) {
    Instant now = clock.instant();
    return selectedFrom.stream()
        .filter(e -> e.region().equals(region) && !isActive(e))
        .filter(e -> !isRecentRequest(lastRequestAt.getOrDefault(e.name(), Instant.EPOCH), now))
        .map(EntryInfo::peerAddress)
        .collect(Collectors.toUnmodifiableSet());
  }

  private static boolean isRecentRequest(Instant at, Instant now) {
    return at.plus(StandbyState.REQUEST_RETENTION).isAfter(now);
  }

  /**
   * Sends the active entries to an entry that has reported, if they have changed or are due to be
   * repeated. Nothing is sent while no region has entries on standby and none had any before.
   */
  void sendTo(EntryInfo entry) {
    Instant now = clock.instant();
    Optional<SentList> last = Optional.ofNullable(sent.get(entry.name()));
    boolean restricted =
        selections.values().stream().anyMatch(ActiveEntrySelector.Selection::hasStandbyEntries);
    if (!restricted && last.isEmpty()) {
      return;
    }
    List<String> names =
        selections.values().stream().flatMap(s -> s.names().stream()).sorted().toList();
    boolean due =
        last.filter(l -> l.names().equals(names) && l.sentAt().plus(REPEAT_INTERVAL).isAfter(now))
            .isEmpty();
    if (due) {
      transport.send(
          entry.peerAddress(), new FleetMessage.ActiveEntries(settings.peerAddress(), names));
      if (restricted) {
        sent.put(entry.name(), new SentList(names, now));
      } else {
        sent.remove(entry.name());
      }
    }
  }

  /** Removes what was recorded of entries that have not reported for a while. */
  void retain(Set<String> names) {
    sent.keySet().retainAll(names);
  }
}
