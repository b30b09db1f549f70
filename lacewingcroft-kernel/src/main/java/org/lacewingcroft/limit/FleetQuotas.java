package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/**
 * The quotas of organisations as enforced by one of many entries: a token bucket per organisation,
 * charged with the usage of this entry's own callers and the usage that the other entries report.
 *
 * <p>Designed for an organisation whose callers send a few requests per second in total, each to
 * any entry. A fixed share of the quota per entry would reject requests although the organisation
 * is far below its quota. Here a request is rejected only if all entries together have used up the
 * quota.
 *
 * <p>The quota holds while entries do not hear from each other, because what is unknown counts as
 * used:
 *
 * <ul>
 *   <li>Between two reports, the other entries are assumed to continue at their last rate.
 *   <li>Entries without a current report are assumed to use an equal share of the quota each. In a
 *       partition, the entries of each side divide the shares of that side, which add up to the
 *       quota.
 *   <li>Until this entry knows which entries there are, it admits nothing.
 * </ul>
 *
 * <p>Reports contain totals ({@link UsageReport}), so that a lost report delays usage but does not
 * drop it.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class FleetQuotas {
  /**
   * Time without a report after which the entries of this region that it covers count as silent.
   * Reports are repeated at least every 400 ms, and entries select another aggregator within 1.2 s.
   */
  static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

  /**
   * The same for the entries of other regions. While another region selects an aggregator, its
   * share of the quota is a good estimate of its usage.
   */
  private static final Duration REMOTE_REPORT_TIMEOUT = Duration.ofSeconds(1);

  /** Time after which a counter without a report is forgotten. */
  private static final Duration COUNTER_RETENTION = Duration.ofSeconds(10);

  /** Time from the start of a counter until it contains the usage of all entries that it covers. */
  private static final Duration COLLECTION_TIME = Duration.ofMillis(2_500);

  /** Usage of the last counter that the next one repeats, since it may not have been received. */
  static final Duration REPEATED_USAGE = Duration.ofSeconds(1);

  /** Retry delay returned while this entry does not know which entries there are. */
  private static final Duration DISCOVERY_RETRY_DELAY = Duration.ofSeconds(1);

  /** Maximum number of own reports that have been sent but are not known to be included. */
  private static final int MAX_SENT_REPORTS = 64;

  private final String region;
  private final LongSupplier counterIds;
  private final Map<String, QuotaAccount> accounts = new HashMap<>();
  private final Map<Long, UsageSource> sources = new HashMap<>();
  private final Deque<SentReport> sentReports = new ArrayDeque<>();
  private final ReportDelay reportDelay = new ReportDelay();
  private final Deque<OwnUsage> recentUsage = new ArrayDeque<>();
  private UsageCounter counter;
  private Optional<Long> includingCounter = Optional.empty();
  private Map<String, Long> includedTotals = Map.of();
  private Map<String, Integer> entriesByRegion = Map.of();
  private boolean discoveryComplete;
  private boolean usageUnreported;

  /** The share of the quotas by which the balances have been divided. */
  private double dividedShare = 1;

  private Instant lastReportAt = Instant.EPOCH;

  private record SentReport(Instant at, UsageReport report) {}

  private record OwnUsage(Instant at, String organisation, long units) {}

  /**
   * What this entry knows of the fleet.
   *
   * @param entries number of entries that share the quotas, including this one
   * @param current number of those whose usage is known, including this one
   * @param discovered whether {@code entries} is reliable
   */
  public record View(int entries, int current, boolean discovered) {
    /** Returns the share of a quota that the entries with known usage divide among themselves. */
    double currentShare() {
      return (double) current / entries;
    }

    /** Returns the share of a burst that may be saved up. */
    double capacityShare() {
      return discovered ? currentShare() : 0;
    }
  }

  /**
   * What has happened to the requests of an organisation that is at its quota.
   *
   * @param admittedUnits units admitted by this entry
   * @param rejectedUnits units rejected by this entry
   * @param peerUnits units that other entries have reported
   * @param balanceUnits units available now
   */
  public record Summary(
      String organisation,
      long admittedUnits,
      long rejectedUnits,
      long peerUnits,
      long balanceUnits) {}

  /**
   * Creates quotas without any organisation; {@link #configure} adds them.
   *
   * @param region this entry's region
   * @param counterIds returns ids for counters, which no other counter of the fleet has
   */
  public FleetQuotas(String region, LongSupplier counterIds) {
    this.region = region;
    this.counterIds = counterIds;
    this.counter = new UsageCounter(counterIds.getAsLong());
  }

  /**
   * Applies the active quotas. The usage of each organisation is tracked from then on, even if its
   * callers send no requests to this entry.
   */
  public void configure(Collection<Organisation> organisations, Instant now) {
    Map<String, Quota> quotas = new HashMap<>();
    organisations.forEach(o -> o.quota().ifPresent(q -> quotas.put(o.name(), q)));
    accounts.keySet().retainAll(quotas.keySet());
    quotas
        .keySet()
        .forEach(n -> accounts.computeIfAbsent(n, k -> new QuotaAccount(quotas.get(k), now)));
    refillAll(now);
    accounts.forEach((name, account) -> account.setQuota(quotas.get(name)));
  }

  /**
   * Applies the entries that share the quotas.
   *
   * @param newEntriesByRegion number of entries by region, including this one
   * @param complete whether they are complete; if not, they are used once reports confirm them
   */
  public void setEntries(Map<String, Integer> newEntriesByRegion, boolean complete, Instant now) {
    refillAll(now);
    entriesByRegion = Map.copyOf(newEntriesByRegion);
    discoveryComplete |= complete;
  }

  /** Returns whether no organisation has a quota. */
  public boolean isEmpty() {
    return accounts.isEmpty();
  }

  /** Returns the time, in seconds, that usage is assumed to take to the other entries. */
  public double reportDelaySeconds(Instant now) {
    return reportDelay.seconds(now);
  }

  /** Returns what this entry knows of the fleet. */
  public View view(Instant now) {
    Map<String, Integer> known = new TreeMap<>(entriesByRegion);
    known.merge(region, 1, Math::max);
    Map<String, Integer> current = new HashMap<>();
    boolean collected = true;
    for (UsageSource source : sources.values()) {
      UsageReport report = source.lastReport();
      known.merge(report.region(), report.knownEntryCount(), Math::max);
      if (source.isCurrent(now)) {
        current.merge(report.region(), report.entryCount(), Integer::sum);
        collected &= report.ageMillis() >= COLLECTION_TIME.toMillis();
      }
    }
    boolean included = includingCounter.map(sources::get).filter(p -> p.isCurrent(now)).isPresent();
    collected &= !sources.isEmpty();
    current.merge(region, 1, included ? Math::max : Integer::sum);
    int knownCount = 0;
    int currentCount = 0;
    for (Map.Entry<String, Integer> entry : known.entrySet()) {
      knownCount += entry.getValue();
      currentCount += Math.min(entry.getValue(), current.getOrDefault(entry.getKey(), 0));
    }
    boolean confirmed = !entriesByRegion.isEmpty() && collected && currentCount == knownCount;
    return new View(knownCount, currentCount, discoveryComplete || confirmed);
  }

  /**
   * Charges the cost of a request if all entries together have not used up the quota. A request
   * that costs more than the bucket holds is admitted by a full bucket, because it would wait
   * forever otherwise.
   *
   * @param cost the cost in the units of the quota
   * @return empty if it was charged or the organisation has no quota, else the delay until it can
   *     be charged
   */
  public Optional<Duration> charge(Organisation organisation, long cost, Instant now) {
    QuotaAccount account = accounts.get(organisation.name());
    if (account == null) {
      return Optional.empty();
    }
    View view = currentView(now);
    account.refill(view, now);
    if (!view.discovered()) {
      account.countRejected(cost);
      return Optional.of(DISCOVERY_RETRY_DELAY);
    }
    Optional<Duration> retryAfter = account.reject(cost, reportDelay.seconds(now), view, now);
    if (retryAfter.isEmpty()) {
      chargeUnconditionally(organisation, cost, now);
    }
    return retryAfter;
  }

  /** Charges a cost that has been incurred, whether or not the quota is used up. */
  public void chargeUnconditionally(Organisation organisation, long cost, Instant now) {
    QuotaAccount account = accounts.get(organisation.name());
    if (account != null) {
      account.charge(cost);
      recordOwnUsage(organisation.name(), cost, now);
    }
  }

  /** Refunds the cost of a request that has not run. */
  public void refund(Organisation organisation, long cost, Instant now) {
    QuotaAccount account = accounts.get(organisation.name());
    if (account != null) {
      account.refund(cost);
      recordOwnUsage(organisation.name(), -cost, now);
    }
  }

  private void recordOwnUsage(String organisation, long units, Instant now) {
    counter.add(organisation, units, now);
    recentUsage.add(new OwnUsage(now, organisation, units));
    evictRecentUsage(now);
    usageUnreported = true;
  }

  private void evictRecentUsage(Instant now) {
    Instant oldest = now.minus(REPEATED_USAGE);
    while (!recentUsage.isEmpty() && recentUsage.peek().at().isBefore(oldest)) {
      recentUsage.remove();
    }
  }

  /**
   * Starts a new counter of this entry's usage, because its reports go to other receivers from now
   * on. It contains the usage of the last second again: usage that is counted twice is refilled
   * soon, while usage that is not counted exceeds the quota.
   */
  public void restartCounter(Instant now) {
    evictRecentUsage(now);
    counter = new UsageCounter(counterIds.getAsLong());
    recentUsage.forEach(u -> counter.add(u.organisation(), u.units(), now));
    usageUnreported = !recentUsage.isEmpty();
    sentReports.clear();
    includedTotals = Map.of();
    includingCounter = Optional.empty();
  }

  /**
   * Returns a report of the usage of this entry's callers, if it has changed or the interval since
   * the last report has passed.
   *
   * @param heartbeatInterval the maximum interval between two reports
   */
  public Optional<UsageReport> reportIfDue(Duration heartbeatInterval, Instant now) {
    boolean heartbeatDue = !lastReportAt.plus(heartbeatInterval).isAfter(now);
    if (accounts.isEmpty() || !(usageUnreported || heartbeatDue)) {
      return Optional.empty();
    }
    usageUnreported = false;
    lastReportAt = now;
    UsageReport report =
        new UsageReport(
            region,
            counter.id(),
            counter.nextAgeMillis(now),
            1,
            1,
            counter.recentTotals(now),
            Map.of());
    sentReports.add(new SentReport(now, report));
    if (sentReports.size() > MAX_SENT_REPORTS) {
      sentReports.remove();
    }
    return Optional.of(report);
  }

  /** Applies reports of other entries and of aggregators, in the order of their arrival. */
  public void apply(Collection<UsageReport> reports, Instant now) {
    reports.forEach(report -> apply(report, now));
    sources.values().removeIf(p -> p.lastReportAt().plus(COUNTER_RETENTION).isBefore(now));
  }

  private void apply(UsageReport report, Instant now) {
    refillAll(now);
    final int currentBefore = view(now).current();
    UsageSource source =
        sources.computeIfAbsent(
            report.counter(), c -> new UsageSource(report, timeoutOf(report.region()), now));
    if (!source.isNew(report)) {
      return;
    }
    updateIncludedTotals(report, now);
    final double silentSeconds = source.silentSeconds(now);
    final double coveredSeconds = source.coveredSeconds(report);
    final double delaySeconds =
        Math.max(
            source.delaySeconds(report, now), reportDelay.seconds(now) - ReportDelay.MIN_SECONDS);
    Map<String, Long> totals = new HashMap<>(report.totals());
    if (includingCounter.filter(c -> c == report.counter()).isPresent()) {
      includedTotals.forEach((name, own) -> totals.computeIfPresent(name, (n, t) -> t - own));
    }
    final boolean complete = source.isUsageComplete();
    Map<String, Long> increases = source.apply(report, totals, now);
    View view = view(now);
    double share = (double) report.entryCount() / view.entries();
    double returnedShare = (double) Math.max(0, view.current() - currentBefore) / view.entries();
    int counters = (int) sources.values().stream().filter(p -> p.isCurrentOf(report, now)).count();
    accounts.forEach(
        (name, account) ->
            account.chargePeers(
                report.region(),
                source.timeout(),
                new QuotaAccount.Increase(
                    increases.getOrDefault(name, 0L),
                    Math.max(
                        silentSeconds * share * account.perSecond(),
                        account.reservedUnits(returnedShare, now)),
                    complete ? account.unusedUnits(returnedShare, now) : 0,
                    coveredSeconds,
                    delaySeconds,
                    counters),
                now));
  }

  private Duration timeoutOf(String reportRegion) {
    return reportRegion.equals(region) ? REPORT_TIMEOUT : REMOTE_REPORT_TIMEOUT;
  }

  /** Updates which part of this entry's own usage the totals of an aggregator contain. */
  private void updateIncludedTotals(UsageReport report, Instant now) {
    Long includedAgeMillis = report.includedAgeMillis().get(counter.id());
    if (includedAgeMillis == null) {
      return;
    }
    if (includingCounter.filter(c -> c != report.counter()).isPresent()) {
      // The aggregator has started anew and may contain any part of the current counter.
      restartCounter(now);
      return;
    }
    includingCounter = Optional.of(report.counter());
    while (!sentReports.isEmpty() && sentReports.peek().report().ageMillis() <= includedAgeMillis) {
      SentReport sent = sentReports.remove();
      if (sent.report().ageMillis() == includedAgeMillis) {
        reportDelay.onIncluded(sent.at(), now);
      }
      Map<String, Long> merged = new HashMap<>(includedTotals);
      merged.putAll(sent.report().totals());
      includedTotals = merged;
    }
  }

  private void refillAll(Instant now) {
    View view = currentView(now);
    accounts.values().forEach(a -> a.refill(view, now));
  }

  /** Returns the view after the balances have been divided with entries that have become silent. */
  private View currentView(Instant now) {
    View view = view(now);
    double share = view.currentShare();
    if (share < dividedShare) {
      double remaining = share / dividedShare;
      Instant since = lastSilenceAt(now);
      accounts.values().forEach(a -> a.divide(remaining, view, since, now));
    }
    dividedShare = share;
    return view;
  }

  /** Returns when the source that has become silent last was heard from. */
  private Instant lastSilenceAt(Instant now) {
    return sources.values().stream()
        .filter(s -> !s.isCurrent(now))
        .map(UsageSource::lastReportAt)
        .max(Comparator.naturalOrder())
        .orElse(now);
  }

  /**
   * Returns what has happened since the last call to the organisations of which this entry has
   * rejected requests.
   */
  public List<Summary> takeSummaries() {
    List<Summary> summaries = new ArrayList<>();
    accounts.forEach((name, account) -> account.takeSummary(name).ifPresent(summaries::add));
    return summaries;
  }
}
