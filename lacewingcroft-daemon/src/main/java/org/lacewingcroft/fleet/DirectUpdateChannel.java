package org.lacewingcroft.fleet;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Each entry tells every other one. That is the soonest way and needs nobody else, but what it
 * costs an entry grows with the number of entries: it is for small fleets, and for a region from
 * which no control instance is in reach.
 */
final class DirectUpdateChannel implements UpdateChannel {
  /** How often entries of a region tell each other their work: about one short prompt's reading. */
  private static final long REPORT_MILLIS = 120;

  /**
   * Such reports that an entry sends in a second at most; it takes as many. At 20 neighbours that
   * is one every 330 ms to each, where one every {@link #REPORT_MILLIS} would be 167 out and 167
   * in.
   */
  private static final int REPORTS_PER_SECOND = 60;

  /** Entries of a region up to which {@link #REPORTS_PER_SECOND} does not slow the reports. */
  static final int MOST_ENTRIES = (int) (REPORTS_PER_SECOND * REPORT_MILLIS / 1_000) + 1;

  private final FleetSettings settings;
  private final FleetTransport transport;
  private final Supplier<List<EntryInfo>> entries;

  DirectUpdateChannel(
      FleetSettings settings, FleetTransport transport, Supplier<List<EntryInfo>> entries) {
    this.settings = settings;
    this.transport = transport;
    this.entries = entries;
  }

  @Override
  public long pauseMillis() {
    long neighbours = entries.get().stream().filter(this::isNeighbour).count();
    return Math.max(REPORT_MILLIS, neighbours * 1_000L / REPORTS_PER_SECOND);
  }

  @Override
  public void work(FleetMessage.LoadReport report, boolean urgent) {
    tell(report, this::isNeighbour);
  }

  @Override
  public void quotaUses(Map<String, Long> uses) {
    FleetMessage.News news =
        new FleetMessage.News(List.of(), List.of(), List.of(), Map.copyOf(uses));
    tell(
        new FleetMessage.EntryNews(settings.nodeName(), settings.region(), false, news),
        e -> !e.name().equals(settings.nodeName()));
  }

  @Override
  public void prefixRead(FleetMessage.PrefixRead read) {
    tell(read, e -> !e.name().equals(settings.nodeName()));
  }

  @Override
  public void regionLoad(FleetMessage.RegionLoad load) {
    tell(load, e -> !e.region().equals(settings.region()));
  }

  private boolean isNeighbour(EntryInfo entry) {
    return entry.region().equals(settings.region()) && !entry.name().equals(settings.nodeName());
  }

  private void tell(FleetMessage message, Predicate<EntryInfo> receivers) {
    transport.sendAll(
        entries.get().stream().filter(receivers).map(EntryInfo::peerAddress).toList(), message);
  }
}
