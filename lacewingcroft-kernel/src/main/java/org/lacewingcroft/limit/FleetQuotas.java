package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
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
  private static final Duration REPEATED_USAGE = Duration.ofSeconds(1);

  /** Time constant over which the other entries' usage rate is averaged. */
  private static final double RATE_AVERAGING_SECONDS = 2;

  /** Minimum interval between two reports of a counter. */
  private static final long MIN_COVERED_MILLIS = 120;

  /** Minimum time that usage is assumed to take to the other entries. */
  private static final double MIN_REPORT_DELAY_SECONDS = 0.3;

  /** Time constant with which the measured delay of reports falls back to the minimum. */
  private static final double REPORT_DELAY_DECAY_SECONDS = 5;

  /** Maximum drift between the clocks of two instances, in seconds per second. */
  private static final double MAX_CLOCK_DRIFT = 1e-3;

  /** Time constant over which this entry's part of the usage is determined. */
  private static final double PART_AVERAGING_SECONDS = 5;

  /** Share of a burst below which usage is paced. */
  private static final double PACED_BALANCE = 0.5;

  /** Factor by which paced usage may grow over an entry's part of the usage. */
  private static final double PACE_GROWTH = 1.1;

  /** Minimum pace, as a share of an equal division of the quota. */
  private static final double MIN_PACE = 1;

  /** Time for which unused pace is saved up. */
  private static final double PACE_BURST_SECONDS = 0.25;

  /** Retry delay returned while this entry does not know which entries there are. */
  private static final Duration DISCOVERY_RETRY_DELAY = Duration.ofSeconds(1);

  /** Maximum number of own reports that have been sent but are not known to be included. */
  private static final int MAX_SENT_REPORTS = 64;

  private final String region;
  private final LongSupplier counterIds;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<Long, Peer> peers = new HashMap<>();
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

  /** The time that usage takes to the other entries, as measured with this entry's reports. */
  private static final class ReportDelay {
    private double seconds = MIN_REPORT_DELAY_SECONDS;
    private Instant measuredAt = Instant.EPOCH;

    private void onIncluded(SentReport report, Instant now) {
      seconds = Math.max(seconds(now), Duration.between(report.at(), now).toNanos() / 1e9);
      measuredAt = now;
    }

    private double seconds(Instant now) {
      double age = Duration.between(measuredAt, now).toNanos() / 1e9;
      double decay = Math.exp(-age / REPORT_DELAY_DECAY_SECONDS);
      return Math.max(MIN_REPORT_DELAY_SECONDS, seconds * decay);
    }
  }

  private record OwnUsage(Instant at, String organisation, long units) {}

  /** A counter of the usage of other entries. */
  private static final class Peer {
    private final Duration timeout;
    private final ReceivedCounter counter;
    private UsageReport lastReport;

    /** Lowest difference between the arrival of a report and its age, apart from clock drift. */
    private double offsetSeconds = Double.POSITIVE_INFINITY;

    private Instant offsetAt;

    private Peer(UsageReport first, Duration timeout, Instant now) {
      this.timeout = timeout;
      counter = new ReceivedCounter(first.ageMillis(), now);
      lastReport = first;
      offsetAt = now;
    }

    private boolean isCurrentOf(UsageReport report, Instant now) {
      return lastReport.region().equals(report.region()) && isCurrent(now);
    }

    /** Returns the time between the last report and a newer one, by the clock of the sender. */
    private double coveredSeconds(UsageReport report) {
      long millis = report.ageMillis() - lastReport.ageMillis();
      return Math.max(MIN_COVERED_MILLIS, millis) / 1e3;
    }

    /** Returns by how much a report that has just arrived took longer than the fastest one. */
    private double delaySeconds(UsageReport report, Instant now) {
      double offset = now.toEpochMilli() / 1e3 - report.ageMillis() / 1e3;
      double elapsed = Duration.between(offsetAt, now).toNanos() / 1e9;
      offsetSeconds = Math.min(offset, offsetSeconds + elapsed * MAX_CLOCK_DRIFT);
      offsetAt = now;
      return offset - offsetSeconds;
    }

    private boolean isCurrent(Instant now) {
      return counter.lastReportAt().plus(timeout).isAfter(now);
    }
  }

  /**
   * What this entry knows of the fleet.
   *
   * @param entries number of entries that share the quotas, including this one
   * @param current number of those whose usage is known, including this one
   * @param discovered whether {@code entries} is reliable
   */
  public record View(int entries, int current, boolean discovered) {
    /** Returns the share of a quota that the entries with known usage divide among themselves. */
    private double currentShare() {
      return (double) current / entries;
    }

    /** Returns the share of a burst that may be saved up. */
    private double capacityShare() {
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
   * The usage that a report adds for an organisation.
   *
   * @param units units used since the previous report of the counter
   * @param reservedUnits units that have been counted as used while the counter was silent
   * @param seconds the time in which they were used
   * @param delaySeconds the age of the report beyond the usual one
   * @param counters number of counters of the region
   */
  private record Increase(
      long units, double reservedUnits, double seconds, double delaySeconds, int counters) {}

  /** The usage of the other entries of one region. */
  private static final class RegionUsage {
    private final Duration timeout;
    private double perSecond;

    /** Usage assumed since the last report and subtracted from the balance. */
    private double assumed;

    private Instant lastReportAt;

    private double lastDelaySeconds;

    private RegionUsage(Duration timeout, Instant now) {
      this.timeout = timeout;
      lastReportAt = now;
    }

    /**
     * Averages the usage rate over the time that the reports cover rather than over the time of
     * their arrival, which changes with the load of the event loops.
     */
    private void onReport(Increase increase, Instant now) {
      double weight =
          1 - Math.exp(-increase.seconds() / increase.counters() / RATE_AVERAGING_SECONDS);
      double sample = increase.counters() * Math.max(0, increase.units()) / increase.seconds();
      perSecond += weight * (sample - perSecond);
      assumed = perSecond * increase.delaySeconds();
      lastDelaySeconds = increase.delaySeconds();
      lastReportAt = now;
    }

    /** Returns the time since the last report, plus the delay with which it arrived. */
    private double ageSeconds(Instant now) {
      return lastDelaySeconds + Duration.between(lastReportAt, now).toNanos() / 1e9;
    }

    private boolean isCurrent(Instant now) {
      return lastReportAt.plus(timeout).isAfter(now);
    }
  }

  /** The bucket and the recorded usage of one organisation, in the units of its quota. */
  private static final class Account {
    private final Map<String, RegionUsage> peerUsage = new HashMap<>();
    private Quota quota;

    /** The units available; negative while usage exceeds the quota. */
    private double balance;

    private Instant lastRefillAt;

    /** Decaying sums of the usage of this entry and of the others. */
    private double ownUsage;

    private double otherUsage;

    /** Units that this entry may use while usage is paced; negative after a larger request. */
    private double paceBalance;

    private long admittedUnits;
    private long rejectedUnits;
    private long peerUnits;

    /**
     * Creates an empty bucket, because the other entries may have used up the quota just before.
     */
    private Account(Quota quota, Instant now) {
      this.quota = quota;
      lastRefillAt = now;
    }

    private void refill(View view, Instant now) {
      double seconds = Math.max(0, Duration.between(lastRefillAt, now).toNanos() / 1e9);
      lastRefillAt = now;
      double decay = Math.exp(-seconds / PART_AVERAGING_SECONDS);
      ownUsage *= decay;
      otherUsage *= decay;
      balance += seconds * quota.perSecond() * view.currentShare();
      for (RegionUsage usage : peerUsage.values()) {
        if (usage.isCurrent(now)) {
          double assumed = seconds * usage.perSecond;
          usage.assumed += assumed;
          balance -= assumed;
          otherUsage += assumed;
        }
      }
      balance = Math.min(capacity(view), balance);
      double pace = pacePerSecond(view);
      paceBalance = Math.min(pace * PACE_BURST_SECONDS, paceBalance + seconds * pace);
    }

    /**
     * Returns the rate of this entry's usage while the quota is nearly used up. Without it, all
     * entries would use what becomes available at the same time, before they hear from each other.
     */
    private double pacePerSecond(View view) {
      double total = ownUsage + otherUsage;
      double part = total > 0 ? PACE_GROWTH * ownUsage / total : 0;
      double share = Math.max(part, MIN_PACE / view.current());
      return Math.min(1, share) * quota.perSecond() * view.currentShare();
    }

    /**
     * Returns whether this entry has used its part of what remains, while the other entries may
     * have used up the rest.
     */
    private boolean isPaced(long cost, double reportDelaySeconds, View view, Instant now) {
      double inTransit =
          Math.max(PACED_BALANCE * capacity(view), usageInTransit(reportDelaySeconds, now));
      return paceBalance < 0 && balance < Math.max(cost, inTransit);
    }

    /**
     * Leaves the other entries their part of the balance as it was when they were last heard from.
     *
     * @param remaining the part that this entry keeps
     * @param usedSince units that this entry has used since
     */
    private void divide(double remaining, long usedSince) {
      balance -= (1 - remaining) * Math.max(0, balance + usedSince);
    }

    private double capacity(View view) {
      return quota.burst() * view.capacityShare();
    }

    /** Returns the usage of other entries that is not contained in the reports received. */
    private double usageInTransit(double reportDelaySeconds, Instant now) {
      return peerUsage.values().stream()
          .filter(u -> u.isCurrent(now))
          .mapToDouble(u -> u.perSecond * (reportDelaySeconds + u.ageSeconds(now)))
          .sum();
    }

    private void chargePeers(String region, Duration timeout, Increase increase, Instant now) {
      RegionUsage usage = peerUsage.computeIfAbsent(region, r -> new RegionUsage(timeout, now));
      long used = increase.units();
      balance += usage.assumed;
      otherUsage -= Math.min(otherUsage, usage.assumed);
      balance -= used > 0 ? Math.max(0, used - increase.reservedUnits()) : used;
      otherUsage += Math.max(0, used);
      usage.onReport(increase, now);
      balance -= usage.assumed;
      otherUsage += usage.assumed;
      peerUnits += used;
    }
  }

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
    quotas.keySet().forEach(n -> accounts.computeIfAbsent(n, k -> new Account(quotas.get(k), now)));
    refillAll(now);
    accounts.forEach((name, account) -> account.quota = quotas.get(name));
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
    for (Peer peer : peers.values()) {
      UsageReport report = peer.lastReport;
      known.merge(report.region(), report.knownEntryCount(), Math::max);
      if (peer.isCurrent(now)) {
        current.merge(report.region(), report.entryCount(), Integer::sum);
        collected &= report.ageMillis() >= COLLECTION_TIME.toMillis();
      }
    }
    boolean included = includingCounter.map(peers::get).filter(p -> p.isCurrent(now)).isPresent();
    collected &= !peers.isEmpty();
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
    Account account = accounts.get(organisation.name());
    if (account == null) {
      return Optional.empty();
    }
    View view = currentView(now);
    account.refill(view, now);
    if (!view.discovered()) {
      account.rejectedUnits += cost;
      return Optional.of(DISCOVERY_RETRY_DELAY);
    }
    double required = Math.min(cost, account.capacity(view));
    double missing = required - account.balance;
    if (missing > 0) {
      account.rejectedUnits += cost;
      return Optional.of(duration(missing / (account.quota.perSecond() * view.currentShare())));
    }
    if (account.isPaced(cost, reportDelay.seconds(now), view, now)) {
      account.rejectedUnits += cost;
      return Optional.of(duration(-account.paceBalance / account.pacePerSecond(view)));
    }
    chargeUnconditionally(organisation, cost, now);
    return Optional.empty();
  }

  private static Duration duration(double seconds) {
    return Duration.ofMillis((long) Math.ceil(1_000 * seconds));
  }

  /** Charges a cost that has been incurred, whether or not the quota is used up. */
  public void chargeUnconditionally(Organisation organisation, long cost, Instant now) {
    Account account = accounts.get(organisation.name());
    if (account != null) {
      account.balance -= cost;
      account.paceBalance -= cost;
      account.ownUsage += cost;
      account.admittedUnits += cost;
      recordOwnUsage(organisation.name(), cost, now);
    }
  }

  /** Refunds the cost of a request that has not run. */
  public void refund(Organisation organisation, long cost, Instant now) {
    Account account = accounts.get(organisation.name());
    if (account != null) {
      account.balance += cost;
      account.paceBalance += cost;
      account.ownUsage -= Math.min(cost, account.ownUsage);
      account.admittedUnits -= cost;
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
    peers.values().removeIf(p -> p.counter.lastReportAt().plus(COUNTER_RETENTION).isBefore(now));
  }

  private void apply(UsageReport report, Instant now) {
    refillAll(now);
    Peer peer =
        peers.computeIfAbsent(
            report.counter(), c -> new Peer(report, timeoutOf(report.region()), now));
    if (!peer.counter.isNew(report)) {
      return;
    }
    updateIncludedTotals(report, now);
    final double silentSeconds = silentSeconds(peer, now);
    final double coveredSeconds = peer.coveredSeconds(report);
    final double delaySeconds =
        Math.max(
            peer.delaySeconds(report, now), reportDelay.seconds(now) - MIN_REPORT_DELAY_SECONDS);
    Map<String, Long> totals = new HashMap<>(report.totals());
    if (includingCounter.filter(c -> c == report.counter()).isPresent()) {
      includedTotals.forEach((name, own) -> totals.computeIfPresent(name, (n, t) -> t - own));
    }
    Map<String, Long> increases = peer.counter.apply(report, totals, now);
    peer.lastReport = report;
    double share = (double) report.entryCount() / view(now).entries();
    int counters = (int) peers.values().stream().filter(p -> p.isCurrentOf(report, now)).count();
    accounts.forEach(
        (name, account) ->
            account.chargePeers(
                report.region(),
                peer.timeout,
                new Increase(
                    increases.getOrDefault(name, 0L),
                    silentSeconds * share * account.quota.perSecond(),
                    coveredSeconds,
                    delaySeconds,
                    counters),
                now));
  }

  private Duration timeoutOf(String reportRegion) {
    return reportRegion.equals(region) ? REPORT_TIMEOUT : REMOTE_REPORT_TIMEOUT;
  }

  /** Returns how long the entries covered by a counter have counted as silent. */
  private static double silentSeconds(Peer peer, Instant now) {
    Duration silence = Duration.between(peer.counter.lastReportAt().plus(peer.timeout), now);
    return Math.max(0, silence.toNanos() / 1e9);
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
        reportDelay.onIncluded(sent, now);
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
      evictRecentUsage(now);
      Map<String, Long> recent = new HashMap<>();
      recentUsage.forEach(u -> recent.merge(u.organisation(), u.units(), Long::sum));
      double remaining = share / dividedShare;
      accounts.forEach((name, a) -> a.divide(remaining, recent.getOrDefault(name, 0L)));
    }
    dividedShare = share;
    return view;
  }

  /**
   * Returns what has happened since the last call to the organisations of which this entry has
   * rejected requests.
   */
  public List<Summary> takeSummaries() {
    List<Summary> summaries = new ArrayList<>();
    accounts.forEach(
        (name, account) -> {
          if (account.rejectedUnits > 0) {
            summaries.add(
                new Summary(
                    name,
                    account.admittedUnits,
                    account.rejectedUnits,
                    account.peerUnits,
                    Math.round(account.balance)));
          }
          account.admittedUnits = 0;
          account.rejectedUnits = 0;
          account.peerUnits = 0;
        });
    return summaries;
  }
}
