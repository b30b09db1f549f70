package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.limit.UsageCollector;
import org.lacewingcroft.limit.UsageReport;
import org.lacewingcroft.placement.EndpointReportBuffer;

/**
 * The part of a control instance that collects the updates of a region's entries, sends the
 * collected updates to all entries of the region ({@link FleetMessage.NewsDigest}), and sends the
 * updates that concern other regions to the aggregators of those regions. It holds no state that
 * must survive a crash: entries report their load and their quota usage again within a second.
 *
 * <p>Not thread-safe: confined to the instance's event loop thread.
 */
public final class UpdateAggregator {
  /** Interval at which {@link #sendDue} is to be called. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(40);

  /** Time without updates from a region's entries after which none are sent to them. */
  private static final Duration REGION_TIMEOUT = Duration.ofSeconds(2);

  private final MessageSender sender;
  private final InstantSource clock;
  private final String selfAddress;
  private final Function<String, Collection<String>> entriesOfRegion;
  private final Function<String, Set<String>> idleStandbyEntriesOfRegion;
  private final Supplier<Collection<String>> otherControls;
  private final LongSupplier counterIds;
  private final Map<String, ServedRegion> regions = new TreeMap<>();

  /** A region whose entries have selected this aggregator. */
  private static final class ServedRegion {
    private final RegionUpdateBuffer localBuffer = new RegionUpdateBuffer();
    private final EndpointReportBuffer reportBuffer = new EndpointReportBuffer();
    private final RemoteUpdateBuffer remoteBuffer = new RemoteUpdateBuffer();
    private final UsageCollector usage;
    private Instant lastUpdateAt;

    private ServedRegion(String region, long counterId) {
      usage = new UsageCollector(region, counterId);
    }
  }

  /**
   * Creates an aggregator without updates.
   *
   * @param selfAddress this instance's peer address
   * @param entriesOfRegion returns the peer addresses of a region's live entries
   * @param idleStandbyEntriesOfRegion returns the peer addresses of those that receive updates less
   *     often
   * @param otherControls returns the peer addresses of the other control instances
   * @param counterIds returns ids for counters, which no other counter of the fleet has
   */
  public UpdateAggregator(
      MessageSender sender,
      InstantSource clock,
      String selfAddress,
      Function<String, Collection<String>> entriesOfRegion,
      Function<String, Set<String>> idleStandbyEntriesOfRegion,
      Supplier<Collection<String>> otherControls,
      LongSupplier counterIds) {
    this.sender = sender;
    this.clock = clock;
    this.selfAddress = selfAddress;
    this.entriesOfRegion = entriesOfRegion;
    this.idleStandbyEntriesOfRegion = idleStandbyEntriesOfRegion;
    this.otherControls = otherControls;
    this.counterIds = counterIds;
  }

  /** Buffers an entry's updates. */
  public void onUpdates(FleetMessage.EntryNews message) {
    Instant now = clock.instant();
    ServedRegion served = servedRegion(message.region(), now);
    News news = message.news();
    news.quotaUsage().forEach(report -> served.usage.add(message.from(), report, now));
    News withoutQuotaUsage =
        new News(news.loads(), news.prefixes(), news.regionLoads(), news.serviceUsage(), List.of());
    served.localBuffer.add(withoutQuotaUsage, message.urgent());
    served.remoteBuffer.add(withoutQuotaUsage, now);
    News forOtherRegions =
        new News(List.of(), news.prefixes(), news.regionLoads(), news.serviceUsage(), List.of());
    addToOtherRegions(message.region(), forOtherRegions);
  }

  /** Buffers the updates of another region, received from its aggregator. */
  public void onUpdates(FleetMessage.RemoteNews message) {
    addToOtherRegions(message.region(), message.news());
  }

  /** Buffers the load of endpoints that an entry has received. */
  public void onEndpointReports(FleetMessage.EndpointReports message) {
    Instant now = clock.instant();
    ServedRegion served = servedRegion(message.region(), now);
    served.reportBuffer.add(message.reports(), now);
  }

  private ServedRegion servedRegion(String region, Instant now) {
    ServedRegion served =
        regions.computeIfAbsent(region, r -> new ServedRegion(r, counterIds.getAsLong()));
    served.lastUpdateAt = now;
    return served;
  }

  private void addToOtherRegions(String origin, News updates) {
    regions.forEach(
        (region, served) -> {
          if (!region.equals(origin)) {
            served.localBuffer.add(updates, false);
          }
        });
  }

  /** Sends the updates that are due. */
  public void sendDue() {
    Instant now = clock.instant();
    regions.values().removeIf(s -> s.lastUpdateAt.plus(REGION_TIMEOUT).isBefore(now));
    regions.forEach(
        (region, served) ->
            served.usage.reportIfDue(now).ifPresent(r -> addUsageReport(region, served, r, now)));
    regions.forEach((region, served) -> sendDueTo(region, served, now));
  }

  private void addUsageReport(String region, ServedRegion served, UsageReport report, Instant now) {
    served.localBuffer.add(News.ofQuotaUsage(List.of(report)), false);
    News forOtherRegions = News.ofQuotaUsage(List.of(report.forOtherRegions()));
    served.remoteBuffer.add(forOtherRegions, now);
    addToOtherRegions(region, forOtherRegions);
  }

  private void sendDueTo(String region, ServedRegion served, Instant now) {
    Set<String> standby = idleStandbyEntriesOfRegion.apply(region);
    served
        .localBuffer
        .drainDue(() -> entriesOfRegion.apply(region), standby, now)
        .forEach(
            batch ->
                sender.sendAll(
                    batch.receivers(), new FleetMessage.NewsDigest(selfAddress, batch.updates())));
    List<FleetMessage.EndpointReport> reports = served.reportBuffer.drainIfDue(now);
    if (!reports.isEmpty()) {
      List<String> receivers =
          entriesOfRegion.apply(region).stream().filter(e -> !standby.contains(e)).toList();
      sender.sendAll(receivers, new FleetMessage.EndpointReports(selfAddress, region, reports));
    }
    served
        .remoteBuffer
        .drainIfDue(now)
        .ifPresent(
            updates ->
                sender.sendAll(otherControls.get(), new FleetMessage.RemoteNews(region, updates)));
  }
}
