package org.lacewingcroft.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.lacewingcroft.limit.UsageReport;

/**
 * Sends an entry's updates directly to every other entry. This has the lowest latency and needs no
 * control instance, but an entry's work grows with the number of entries: it is used in small
 * fleets, and in a region from which no control instance is reachable.
 */
final class DirectUpdateChannel implements UpdateChannel {
  /**
   * Interval at which the entries of a region exchange load reports, about the prefill time of a
   * short prompt.
   */
  private static final long REPORT_INTERVAL_MILLIS = 120;

  /**
   * Maximum number of such reports that an entry sends per second; it receives as many. With 20
   * neighbours that is one every 330 ms to each; one every {@link #REPORT_INTERVAL_MILLIS} would be
   * 167 out and 167 in per second.
   */
  private static final int MAX_REPORTS_PER_SECOND = 60;

  /**
   * Number of entries of a region up to which {@link #MAX_REPORTS_PER_SECOND} does not increase the
   * report interval.
   */
  static final int MAX_ENTRIES_PER_REGION =
      (int) (MAX_REPORTS_PER_SECOND * REPORT_INTERVAL_MILLIS / 1_000) + 1;

  /** Maximum interval between two reports of quota usage in a small fleet. */
  private static final long MIN_USAGE_INTERVAL_MILLIS = 400;

  /** Maximum number of repeated reports of quota usage that an entry sends per second. */
  private static final int MAX_USAGE_REPORTS_PER_SECOND = 150;

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
  public long reportIntervalMillis() {
    long neighbours = entries.get().stream().filter(this::isNeighbour).count();
    return Math.max(REPORT_INTERVAL_MILLIS, neighbours * 1_000L / MAX_REPORTS_PER_SECOND);
  }

  @Override
  public void sendLoad(FleetMessage.LoadReport report, boolean urgent) {
    send(report, this::isNeighbour);
  }

  @Override
  public void sendEndpointReports(List<FleetMessage.EndpointReport> reports) {
    send(
        new FleetMessage.EndpointReports(settings.nodeName(), settings.region(), reports),
        this::isNeighbour);
  }

  @Override
  public void sendServiceUsage(Map<String, Long> usage) {
    sendToAll(new FleetMessage.News(List.of(), List.of(), List.of(), Map.copyOf(usage), List.of()));
  }

  @Override
  public Duration quotaUsageInterval() {
    long millis = entries.get().size() * 1_000L / MAX_USAGE_REPORTS_PER_SECOND;
    return Duration.ofMillis(Math.max(MIN_USAGE_INTERVAL_MILLIS, millis));
  }

  @Override
  public void sendQuotaUsage(UsageReport report) {
    sendToAll(FleetMessage.News.ofQuotaUsage(List.of(report)));
  }

  private void sendToAll(FleetMessage.News updates) {
    send(
        new FleetMessage.EntryNews(settings.nodeName(), settings.region(), false, updates),
        e -> !e.name().equals(settings.nodeName()));
  }

  @Override
  public void sendPrefixRead(FleetMessage.PrefixRead read) {
    send(read, e -> !e.name().equals(settings.nodeName()));
  }

  @Override
  public void sendRegionLoad(FleetMessage.RegionLoad load) {
    send(load, e -> !e.region().equals(settings.region()));
  }

  private boolean isNeighbour(EntryInfo entry) {
    return entry.region().equals(settings.region()) && !entry.name().equals(settings.nodeName());
  }

  private void send(FleetMessage message, Predicate<EntryInfo> receivers) {
    transport.sendAll(
        entries.get().stream().filter(receivers).map(EntryInfo::peerAddress).toList(), message);
  }
}
