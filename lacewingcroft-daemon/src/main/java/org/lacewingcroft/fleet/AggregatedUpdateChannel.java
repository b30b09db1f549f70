package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import org.lacewingcroft.fleet.FleetMessage.LoadReport;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.limit.UsageReport;

/**
 * Sends an entry's updates to the aggregator of its region, which distributes them to all entries:
 * one message out and one in per interval, regardless of the number of entries.
 *
 * <p>Confined to the event loop thread.
 */
final class AggregatedUpdateChannel implements UpdateChannel {
  private static final long REPORT_INTERVAL_MILLIS = 120;

  /**
   * Interval after which an unchanged load is reported again: other entries use a report for 1.5 s.
   */
  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

  /** Interval after which unchanged quota usage is reported again, as a heartbeat. */
  private static final Duration QUOTA_USAGE_INTERVAL = Duration.ofSeconds(1);

  private final FleetSettings settings;
  private final FleetTransport transport;
  private final AggregatorSelector aggregatorSelector;
  private final InstantSource clock;
  private final BooleanSupplier standby;
  private final List<FleetMessage.PrefixRead> prefixes = new ArrayList<>();
  private final Map<String, Long> serviceUsage = new HashMap<>();
  private Optional<UsageReport> quotaUsage = Optional.empty();
  private List<ReportedLoad> lastReported = List.of();
  private Instant lastReportedAt = Instant.EPOCH;

  /** The load at an endpoint as last reported, without the age of its prompts. */
  private record ReportedLoad(
      String endpoint,
      int running,
      int pendingPrompts,
      long pendingTokens,
      Optional<OptionalDouble> rateLimit) {
    private static ReportedLoad of(FleetMessage.EndpointLoad load) {
      long tokens =
          load.pendingPrompts().stream().mapToLong(FleetMessage.PendingPrompt::tokens).sum();
      return new ReportedLoad(
          load.endpoint(),
          load.running(),
          load.pendingPrompts().size(),
          tokens,
          load.rateLimit().map(EndpointRateLimit.Report::perSecond));
    }
  }

  AggregatedUpdateChannel(
      FleetSettings settings,
      FleetTransport transport,
      AggregatorSelector aggregatorSelector,
      InstantSource clock,
      BooleanSupplier standby) {
    this.settings = settings;
    this.transport = transport;
    this.aggregatorSelector = aggregatorSelector;
    this.clock = clock;
    this.standby = standby;
  }

  @Override
  public long reportIntervalMillis() {
    return REPORT_INTERVAL_MILLIS;
  }

  @Override
  public void sendLoad(LoadReport report, boolean urgent) {
    if (urgent) {
      send(new News(List.of(report), List.of(), List.of()), true);
      return;
    }
    List<LoadReport> changedLoads = recordIfChanged(report) ? List.of(report) : List.of();
    final News updates =
        new News(
            changedLoads,
            List.copyOf(prefixes),
            List.of(),
            Map.copyOf(serviceUsage),
            quotaUsage.stream().toList());
    prefixes.clear();
    serviceUsage.clear();
    quotaUsage = Optional.empty();
    if (!updates.isEmpty()) {
      send(updates, false);
    }
  }

  private boolean recordIfChanged(LoadReport report) {
    Instant now = clock.instant();
    List<ReportedLoad> current = report.loads().stream().map(ReportedLoad::of).toList();
    if (current.equals(lastReported) && lastReportedAt.plus(REPEAT_INTERVAL).isAfter(now)) {
      return false;
    }
    lastReported = current;
    lastReportedAt = now;
    return true;
  }

  @Override
  public void sendEndpointReports(List<FleetMessage.EndpointReport> reports) {
    FleetMessage message =
        new FleetMessage.EndpointReports(settings.nodeName(), settings.region(), reports);
    aggregatorSelector
        .select(clock.instant())
        .ifPresent(aggregator -> transport.send(aggregator, message));
  }

  /** Buffers the usage, which is sent with the next load report. */
  @Override
  public void sendServiceUsage(Map<String, Long> usage) {
    usage.forEach((key, used) -> serviceUsage.merge(key, used, Long::sum));
  }

  @Override
  public Duration quotaUsageInterval() {
    return QUOTA_USAGE_INTERVAL;
  }

  /** Buffers the report, which is sent with the next load report. */
  @Override
  public void sendQuotaUsage(UsageReport report) {
    quotaUsage = Optional.of(report);
  }

  @Override
  public void sendPrefixRead(FleetMessage.PrefixRead read) {
    prefixes.add(read);
  }

  @Override
  public void sendRegionLoad(FleetMessage.RegionLoad load) {
    send(new News(List.of(), List.of(), List.of(load)), false);
  }

  private void send(News updates, boolean urgent) {
    FleetMessage message =
        new FleetMessage.EntryNews(settings.nodeName(), settings.region(), urgent, updates);
    Instant now = clock.instant();
    aggregatorSelector
        .select(now)
        .ifPresent(
            aggregator -> {
              // An entry on standby gets a batch a second, which the selector would find overdue.
              if (!standby.getAsBoolean()) {
                aggregatorSelector.onUpdateSent(now);
              }
              transport.send(aggregator, message);
            });
  }
}
