package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.route.Quota;

/**
 * The bucket and the recorded usage of one organisation at one entry, in the units of its quota.
 *
 * <p>Not thread-safe.
 */
final class QuotaAccount {
  /** Time constant over which the other entries' usage rate is averaged. */
  private static final double RATE_AVERAGING_SECONDS = 2;

  /** Time constant over which this entry's part of the usage is determined. */
  private static final double PART_AVERAGING_SECONDS = 5;

  /** Share of the balance of an unused bucket below which usage is paced. */
  private static final double PACED_BALANCE = 0.5;

  /** Factor by which paced usage may grow over an entry's part of the usage. */
  private static final double PACE_GROWTH = 1.1;

  /** Minimum pace, as a share of an equal division of the quota. */
  private static final double MIN_PACE = 1;

  /** Time for which unused pace is saved up. */
  private static final double PACE_BURST_SECONDS = 0.25;

  /**
   * The usage that a report adds for an organisation.
   *
   * @param units units used since the previous report of the counter
   * @param reservedUnits units that have been counted as used while the entries were silent
   * @param unusedUnits units that entries that were silent have left if {@code units} is 0
   * @param seconds the time in which they were used
   * @param delaySeconds the age of the report beyond the usual one
   * @param counters number of counters of the region
   */
  record Increase(
      long units,
      double reservedUnits,
      double unusedUnits,
      double seconds,
      double delaySeconds,
      int counters) {}

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

  private final Map<String, RegionUsage> peerUsage = new HashMap<>();
  private Quota quota;

  /** The units available; negative while usage exceeds the quota. */
  private double balance;

  /**
   * The balance that an unused bucket would have. After a partition, the capacity is restored at
   * once, but the balance only with the rate of the quota.
   */
  private double unusedBalance;

  private Instant lastRefillAt;

  /** Decaying sums of the usage of this entry and of the others. */
  private double ownUsage;

  private double otherUsage;

  /** Units that this entry may use while usage is paced; negative after a larger request. */
  private double paceBalance;

  private final BalanceHistory history = new BalanceHistory();

  /** The balance of which silent entries have their part, and since when; scaled to the quota. */
  private double silentBalance;

  private Instant silentSince;

  /** Units taken from the balance for entries that are silent. */
  private double withheldUnits;

  /** Total that this entry and the others have been charged. */
  private double chargedUnits;

  private long admittedUnits;
  private long rejectedUnits;
  private long peerUnits;

  /** Creates an empty bucket, because the other entries may have used up the quota just before. */
  QuotaAccount(Quota quota, Instant now) {
    this.quota = quota;
    lastRefillAt = now;
    silentSince = now;
  }

  /** Refills the bucket, less what the other entries are assumed to have used. */
  void refill(FleetQuotas.View view, Instant now) {
    double seconds = Math.max(0, Duration.between(lastRefillAt, now).toNanos() / 1e9);
    lastRefillAt = now;
    double decay = Math.exp(-seconds / PART_AVERAGING_SECONDS);
    ownUsage *= decay;
    otherUsage *= decay;
    double refill = seconds * quota.perSecond() * view.currentShare();
    balance += refill;
    unusedBalance = Math.min(capacity(view), unusedBalance + refill);
    withheldUnits = Math.min(withheldUnits, quota.burst() * (1 - view.currentShare()));
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
    history.record(balance, chargedUnits, now);
  }

  /**
   * Returns the rate of this entry's usage while the quota is nearly used up. Without it, all
   * entries would use what becomes available at the same time, before they hear from each other.
   */
  private double pacePerSecond(FleetQuotas.View view) {
    double total = ownUsage + otherUsage;
    double part = total > 0 ? PACE_GROWTH * ownUsage / total : 0;
    double share = Math.max(part, MIN_PACE / view.current());
    return Math.min(1, share) * quota.perSecond() * view.currentShare();
  }

  /**
   * Returns whether this entry has used its part of what remains, while the other entries may have
   * used up the rest.
   */
  private boolean isPaced(
      long cost, double reportDelaySeconds, FleetQuotas.View view, Instant now) {
    double inTransit =
        Math.max(PACED_BALANCE * unusedBalance, usageInTransit(reportDelaySeconds, now));
    return paceBalance < 0 && balance < Math.max(cost, inTransit);
  }

  /**
   * Leaves entries that have become silent their part of the quota since they were last heard from.
   *
   * @param remaining the part of the balance that the others keep
   * @param view the fleet without the silent entries
   * @param since the time of the last report of the silent entries
   */
  void divide(double remaining, FleetQuotas.View view, Instant since, Instant now) {
    BalanceHistory.Share share =
        new BalanceHistory.Share(
            remaining,
            quota.perSecond() * view.currentShare(),
            quota.burst() * view.currentShare());
    final double undivided = history.at(since);
    balance = history.divide(share, since, balance, chargedUnits, lastRefillAt);
    silentSince = since;
    silentBalance = history.at(since) / view.currentShare();
    withheldUnits += undivided - history.at(since);
    peerUsage.values().stream().filter(u -> !u.isCurrent(now)).forEach(u -> u.assumed = 0);
  }

  /** Returns the units that may be saved up. */
  private double capacity(FleetQuotas.View view) {
    return quota.burst() * view.capacityShare();
  }

  /** Returns the usage of other entries that is not contained in the reports received. */
  private double usageInTransit(double reportDelaySeconds, Instant now) {
    return peerUsage.values().stream()
        .filter(u -> u.isCurrent(now))
        .mapToDouble(u -> u.perSecond * (reportDelaySeconds + u.ageSeconds(now)))
        .sum();
  }

  /** Charges the usage that a report adds for the entries of a region. */
  void chargePeers(String region, Duration timeout, Increase increase, Instant now) {
    RegionUsage usage = peerUsage.computeIfAbsent(region, r -> new RegionUsage(timeout, now));
    long used = increase.units();
    balance += usage.assumed;
    otherUsage -= Math.min(otherUsage, usage.assumed);
    double charged = used > 0 ? Math.max(0, used - increase.reservedUnits()) : used;
    balance -= charged;
    chargedUnits += charged;
    double returned =
        Math.min(withheldUnits, Math.max(0, increase.unusedUnits() - Math.max(0, used)));
    withheldUnits -= returned;
    balance += returned;
    otherUsage += Math.max(0, used);
    usage.onReport(increase, now);
    balance -= usage.assumed;
    otherUsage += usage.assumed;
    peerUnits += used;
    history.amend(balance, chargedUnits);
  }

  /**
   * Returns what entries that were silent could use without exceeding their part of the quota.
   *
   * @param share their part of the entries
   */
  double reservedUnits(double share, Instant now) {
    double silentSeconds = Duration.between(silentSince, now).toNanos() / 1e9;
    return share * (silentBalance + silentSeconds * quota.perSecond());
  }

  /**
   * Returns what silent entries have left if they report no usage: a part of the burst, but not
   * more than what was refilled in the time of which new counters contain the usage.
   *
   * @param share their part of the entries
   */
  double unusedUnits(double share, Instant now) {
    double refill = quota.perSecond() * FleetQuotas.REPEATED_USAGE.toMillis() / 1e3;
    return Math.min(share * Math.min(quota.burst(), refill), reservedUnits(share, now));
  }

  void setQuota(Quota newQuota) {
    quota = newQuota;
  }

  /**
   * Decides whether a request may use units, and counts it as rejected if not.
   *
   * @return empty if it may, else the delay until it may
   */
  Optional<Duration> reject(
      long cost, double reportDelaySeconds, FleetQuotas.View view, Instant now) {
    double missing = Math.min(cost, capacity(view)) - balance;
    double delaySeconds;
    if (missing > 0) {
      delaySeconds = missing / (quota.perSecond() * view.currentShare());
    } else if (isPaced(cost, reportDelaySeconds, view, now)) {
      delaySeconds = -paceBalance / pacePerSecond(view);
    } else {
      return Optional.empty();
    }
    countRejected(cost);
    return Optional.of(Duration.ofMillis((long) Math.ceil(1_000 * delaySeconds)));
  }

  void countRejected(long cost) {
    rejectedUnits += cost;
  }

  /** Charges the usage of this entry's callers. */
  void charge(long cost) {
    balance -= cost;
    chargedUnits += cost;
    paceBalance -= cost;
    ownUsage += cost;
    admittedUnits += cost;
  }

  /** Takes a charge back. */
  void refund(long cost) {
    balance += cost;
    chargedUnits -= cost;
    paceBalance += cost;
    ownUsage -= Math.min(cost, ownUsage);
    admittedUnits -= cost;
  }

  double perSecond() {
    return quota.perSecond();
  }

  /** Returns what has happened since the last call, if requests have been rejected. */
  Optional<FleetQuotas.Summary> takeSummary(String organisation) {
    final FleetQuotas.Summary summary =
        new FleetQuotas.Summary(
            organisation, admittedUnits, rejectedUnits, peerUnits, Math.round(balance));
    admittedUnits = 0;
    rejectedUnits = 0;
    peerUnits = 0;
    return Optional.of(summary).filter(s -> s.rejectedUnits() > 0);
  }
}
