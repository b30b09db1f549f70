package org.lacewingcroft.fleet;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.limit.UsageReport;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.RegionLoadSummary;
import org.lacewingcroft.placement.ReportedLoad;
import org.lacewingcroft.placement.UnsentReports;

/**
 * Exchanges load reports with other entries. The entries of a region report their load at each
 * endpoint to each other, so that several of them do not overload the same endpoint; two of them
 * report the expected waits to the other regions. Quota usage is sent along.
 *
 * <p>Confined to the event loop thread.
 */
final class LoadExchange {
  /**
   * Number of tokens from which a prompt is reported immediately: its prefill takes about half the
   * interval between two reports.
   */
  private static final long LONG_PROMPT_TOKENS = 5_000;

  /**
   * Number of entries of a region that report to the other regions. With only one, its loss would
   * leave the region without reports until the list of entries drops it, which takes longer than
   * its last report remains in use.
   */
  private static final int REGION_REPORTERS = 2;

  /** Interval of the check for load on standby; a request ends it at once. */
  private static final long STANDBY_INTERVAL_MILLIS = 1_000;

  private final Vertx vertx;
  private final FleetSettings settings;
  private final EntryInfo self;
  private final InstantSource clock;
  private final Supplier<Collection<EndpointTracker>> trackers;
  private final Function<String, Optional<EndpointTracker>> trackerOf;
  private final Supplier<UpdateChannel> channel;
  private final BooleanSupplier standby;
  private final Supplier<Map<String, Long>> unreportedServiceUsage;
  private final Function<Duration, Optional<UsageReport>> quotaUsageIfDue;

  /** The endpoints at which each other entry has reported load. */
  private final Map<String, Set<String>> reportedEndpoints = new HashMap<>();

  private final UnsentReports unsentReports = new UnsentReports();

  /** Whether the last report contained load, so that a report without load has to follow. */
  private boolean loadReported;

  private long timer;
  private boolean standbyInterval;

  LoadExchange(
      Vertx vertx,
      FleetSettings settings,
      EntryInfo self,
      InstantSource clock,
      Supplier<Collection<EndpointTracker>> trackers,
      Function<String, Optional<EndpointTracker>> trackerOf,
      Supplier<UpdateChannel> channel,
      BooleanSupplier standby,
      Supplier<Map<String, Long>> unreportedServiceUsage,
      Function<Duration, Optional<UsageReport>> quotaUsageIfDue) {
    this.vertx = vertx;
    this.settings = settings;
    this.self = self;
    this.clock = clock;
    this.trackers = trackers;
    this.trackerOf = trackerOf;
    this.channel = channel;
    this.standby = standby;
    this.unreportedServiceUsage = unreportedServiceUsage;
    this.quotaUsageIfDue = quotaUsageIfDue;
  }

  /** Starts reporting to the other entries of the region. */
  void start() {
    report();
  }

  private void report() {
    standbyInterval = standby.getAsBoolean();
    long intervalMillis =
        standbyInterval ? STANDBY_INTERVAL_MILLIS : channel.get().reportIntervalMillis();
    timer = vertx.setTimer(intervalMillis, id -> report());
    Instant now = clock.instant();
    final List<FleetMessage.EndpointLoad> loads =
        trackers.get().stream()
            .filter(t -> t.inFlight() > 0 || t.rateLimit().report(now).isPresent())
            .map(t -> loadAt(t, now))
            .toList();
    Map<String, Long> serviceUsage = unreportedServiceUsage.get();
    if (!serviceUsage.isEmpty()) {
      channel.get().sendServiceUsage(serviceUsage);
    }
    Optional<UsageReport> quotaUsage = quotaUsageIfDue.apply(channel.get().quotaUsageInterval());
    quotaUsage.ifPresent(channel.get()::sendQuotaUsage);
    List<FleetMessage.EndpointReport> reports = unsentReports.take(trackers.get(), now);
    if (!reports.isEmpty()) {
      channel.get().sendEndpointReports(reports);
    }
    boolean hasUpdates =
        !loads.isEmpty() || loadReported || !serviceUsage.isEmpty() || quotaUsage.isPresent();
    loadReported = !loads.isEmpty();
    if (hasUpdates) {
      channel.get().sendLoad(new FleetMessage.LoadReport(self.name(), true, loads), false);
    }
  }

  private static FleetMessage.EndpointLoad loadAt(EndpointTracker tracker, Instant now) {
    return new FleetMessage.EndpointLoad(
        tracker.record().id(),
        tracker.inFlight(),
        tracker.pendingPrompts(now),
        tracker.rateLimit().report(now));
  }

  /** Reports immediately that an endpoint advertises a different rate limit than before. */
  void reportRateLimit(EndpointTracker tracker) {
    reportLoadImmediately(tracker);
  }

  private void reportLoadImmediately(EndpointTracker tracker) {
    FleetMessage.EndpointLoad load = loadAt(tracker, clock.instant());
    channel.get().sendLoad(new FleetMessage.LoadReport(self.name(), false, List.of(load)), true);
  }

  /**
   * Records that a request was sent to an endpoint. A long prompt is reported immediately, since
   * its prefill keeps the endpoint busy for a considerable part of the report interval.
   */
  void requestSent(EndpointTracker tracker, long uncachedTokens) {
    if (standbyInterval) {
      vertx.cancelTimer(timer);
      report();
    }
    if (uncachedTokens >= LONG_PROMPT_TOKENS) {
      reportLoadImmediately(tracker);
    }
  }

  /** Applies another entry's load report. */
  void onLoadReport(FleetMessage.LoadReport report) {
    if (report.from().equals(self.name())) {
      return;
    }
    Instant now = clock.instant();
    Set<String> reported =
        reportedEndpoints.computeIfAbsent(report.from(), from -> new HashSet<>());
    Set<String> noLongerReported = report.complete() ? Set.copyOf(reported) : Set.of();
    for (FleetMessage.EndpointLoad load : report.loads()) {
      reported.add(load.endpoint());
      applyPeerLoad(report.from(), load, now);
    }
    for (String endpoint : noLongerReported) {
      if (report.loads().stream().noneMatch(l -> l.endpoint().equals(endpoint))) {
        reported.remove(endpoint);
        applyPeerLoad(
            report.from(),
            new FleetMessage.EndpointLoad(endpoint, 0, List.of(), Optional.empty()),
            now);
      }
    }
  }

  /** Applies the load of endpoints that other entries of this region have received. */
  void onEndpointReports(FleetMessage.EndpointReports message) {
    if (!message.region().equals(settings.region())) {
      return;
    }
    Instant now = clock.instant();
    for (FleetMessage.EndpointReport report : message.reports()) {
      ReportedLoad.fromPeer(report, now)
          .ifPresent(
              load ->
                  trackerOf
                      .apply(report.endpoint())
                      .ifPresent(t -> t.recordPeerReportedLoad(load)));
    }
  }

  private void applyPeerLoad(String from, FleetMessage.EndpointLoad load, Instant now) {
    trackerOf
        .apply(load.endpoint())
        .ifPresent(
            t -> {
              t.updatePeerLoad(from, load.running(), load.pendingPrompts(), now);
              load.rateLimit().ifPresent(rateLimit -> applyPeerRateLimit(t, rateLimit, from, now));
            });
  }

  private static void applyPeerRateLimit(
      EndpointTracker tracker, EndpointRateLimit.Report rateLimit, String from, Instant now) {
    if (tracker.rateLimit().updateFromPeer(rateLimit, now)) {
      RosterLog.logRateLimitChange(tracker.record().id(), rateLimit.perSecond(), from);
    }
  }

  /**
   * Reports this region's load to the other regions, if this entry is one of the region's
   * reporters.
   *
   * @param regionEntries the names of the region's entries in order, including this one
   * @param byReach the same names, those first whose entries reach the most services
   * @param evacuatedDomains failure domains whose endpoints receive no requests
   */
  void reportRegionLoad(
      List<String> regionEntries, List<String> byReach, Set<String> evacuatedDomains) {
    if (byReach.indexOf(self.name()) >= REGION_REPORTERS) {
      return;
    }
    Instant now = clock.instant();
    Map<String, List<EndpointTracker>> byService = new TreeMap<>();
    for (EndpointTracker tracker : trackers.get()) {
      boolean available =
          settings.inOwnRegion(tracker.record().failureDomain())
              && tracker.acceptsRequests(now)
              && !tracker.isCold(now)
              && tracker.isResponding(now)
              && tracker.withinRate(self.name(), regionEntries, now)
              && !evacuatedDomains.contains(tracker.record().failureDomain());
      if (available) {
        byService.computeIfAbsent(tracker.record().service(), s -> new ArrayList<>()).add(tracker);
      }
    }
    List<FleetMessage.ServiceLoad> services = new ArrayList<>();
    byService.forEach(
        (service, available) ->
            services.add(RegionLoadSummary.of(service, preferUnlimited(available), now)));
    channel.get().sendRegionLoad(new FleetMessage.RegionLoad(settings.region(), services));
  }

  /**
   * Returns the endpoints without a rate limit, or all of them if each has one. An endpoint with a
   * rate limit has at most enough capacity for the callers of its own region, and none to offer to
   * other regions.
   */
  private static List<EndpointTracker> preferUnlimited(List<EndpointTracker> available) {
    List<EndpointTracker> unlimited =
        available.stream().filter(t -> t.rateLimit().perSecond().isEmpty()).toList();
    return unlimited.isEmpty() ? available : unlimited;
  }
}
