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
import org.lacewingcroft.fleet.FleetMessage.LoadReport;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.limit.EndpointRateLimit;

/**
 * Sends an entry's updates to the aggregator of its region, which distributes them to all entries: one message out and one in per interval, regardless of the number of entries.
 *
 * <p>Confined to the event loop thread.
 */
final class AggregatedUpdateChannel implements UpdateChannel {
  private static final long REPORT_MILLIS = 120;

  /** Interval after which an unchanged load is reported again: other entries use a report for 1.5 s. */
  private static final Duration REPEAT = Duration.ofSeconds(1);

  private final FleetSettings settings;
  private final FleetTransport transport;
  private final AggregatorChoice aggregators;
  private final InstantSource clock;
  private final List<FleetMessage.PrefixRead> prefixes = new ArrayList<>();
  private final Map<String, Long> quotaUses = new HashMap<>();
  private List<Told> told = List.of();
  private Instant toldAt = Instant.EPOCH;

  /** The load at an endpoint as last reported, without the age of its prompts. */
  private record Told(
      String endpoint,
      int running,
      int unreadPrompts,
      long unreadTokens,
      Optional<OptionalDouble> rate) {
    private static Told of(FleetMessage.EndpointLoad load) {
      long tokens =
          load.pendingPrompts().stream().mapToLong(FleetMessage.UnreadPrompt::tokens).sum();
      return new Told(
          load.endpoint(),
          load.running(),
          load.pendingPrompts().size(),
          tokens,
          load.rate().map(EndpointRateLimit.Report::perSecond));
    }
  }

  AggregatedUpdateChannel(
      FleetSettings settings,
      FleetTransport transport,
      AggregatorChoice aggregators,
      InstantSource clock) {
    this.settings = settings;
    this.transport = transport;
    this.aggregators = aggregators;
    this.clock = clock;
  }

  @Override
  public long pauseMillis() {
    return REPORT_MILLIS;
  }

  @Override
  public void work(LoadReport report, boolean urgent) {
    if (urgent) {
      tell(new News(List.of(report), List.of(), List.of()), true);
      return;
    }
    List<LoadReport> changed = changed(report) ? List.of(report) : List.of();
    News news = new News(changed, List.copyOf(prefixes), List.of(), Map.copyOf(quotaUses));
    prefixes.clear();
    quotaUses.clear();
    if (!news.isEmpty()) {
      tell(news, false);
    }
  }

  private boolean changed(LoadReport report) {
    Instant now = clock.instant();
    List<Told> telling = report.loads().stream().map(Told::of).toList();
    if (telling.equals(told) && toldAt.plus(REPEAT).isAfter(now)) {
      return false;
    }
    told = telling;
    toldAt = now;
    return true;
  }

  /** Quota usage is sent with the next load report. */
  @Override
  public void quotaUses(Map<String, Long> uses) {
    uses.forEach((name, use) -> quotaUses.merge(name, use, Long::sum));
  }

  @Override
  public void prefixRead(FleetMessage.PrefixRead read) {
    prefixes.add(read);
  }

  @Override
  public void regionLoad(FleetMessage.RegionLoad load) {
    tell(new News(List.of(), List.of(), List.of(load)), false);
  }

  private void tell(News news, boolean urgent) {
    FleetMessage message =
        new FleetMessage.EntryNews(settings.nodeName(), settings.region(), urgent, news);
    Instant now = clock.instant();
    aggregators
        .current(now)
        .ifPresent(
            aggregator -> {
              aggregators.told(now);
              transport.send(aggregator, message);
            });
  }
}
