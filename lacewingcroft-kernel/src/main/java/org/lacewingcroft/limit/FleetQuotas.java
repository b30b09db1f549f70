package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/**
 * The quotas of organisations as enforced by one of many entries: a token bucket per organisation,
 * charged with the usage of this entry's own callers and the usage that the other entries report.
 *
 * <p>Designed for an organisation whose callers send a few requests per second in total, each to
 * any entry. A fixed share of the quota per entry would reject requests although the organisation
 * is far below its quota. Here a request is rejected only if all entries together have used up the
 * quota. Until the other entries receive an entry's usage, the total can briefly exceed the quota;
 * the usage is charged to their buckets on receipt, which reduces what they admit afterwards.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class FleetQuotas {
  /**
   * Time without an update after which the other entries are assumed to continue at their last
   * average rate.
   */
  private static final Duration PEER_UPDATE_TIMEOUT = Duration.ofSeconds(1);

  /** Time constant over which the other entries' usage rate is averaged. */
  private static final double RATE_AVERAGING_SECONDS = 2;

  private final Map<String, Account> accounts = new HashMap<>();
  private Instant lastPeerUpdateAt;

  /**
   * Creates quotas without any organisation; {@link #configure} adds them.
   *
   * @param now the current time
   */
  public FleetQuotas(Instant now) {
    this.lastPeerUpdateAt = now;
  }

  /** The bucket and the recorded usage of one organisation, in the units of its quota. */
  private static final class Account {
    private Quota quota;

    /** The units available; negative while usage exceeds the quota. */
    private double balance;

    private Instant lastRefillAt;
    private long unreportedUsage;

    /** Usage sent to the aggregator but not yet contained in the totals received from it. */
    private long unconfirmedUsage;

    private double peerUsagePerSecond;
    private double peerUsageSinceRateUpdate;

    /**
     * Creates an empty bucket, because the other entries may have used up the quota just before.
     */
    private Account(Quota quota, Instant now) {
      this.quota = quota;
      lastRefillAt = now;
    }

    /**
     * Refills the bucket.
     *
     * @param assumedPeerUsagePerSecond the assumed usage of the other entries since the last refill
     */
    private void refill(double assumedPeerUsagePerSecond, Instant now) {
      double seconds = Math.max(0, Duration.between(lastRefillAt, now).toNanos() / 1e9);
      lastRefillAt = now;
      balance =
          Math.min(
              quota.burst(), balance + seconds * (quota.perSecond() - assumedPeerUsagePerSecond));
    }
  }

  /**
   * Applies the active quotas. The usage of each organisation is tracked from then on, even if its
   * callers send no requests to this entry.
   */
  public void configure(Collection<Organisation> organisations, Instant now) {
    Map<String, Quota> quotas = new HashMap<>();
    organisations.forEach(o -> o.quota().ifPresent(q -> quotas.put(o.name(), q)));
    accounts.keySet().retainAll(quotas.keySet());
    quotas.forEach(
        (name, quota) -> {
          Account account = accounts.computeIfAbsent(name, n -> new Account(quota, now));
          refill(account, now);
          account.quota = quota;
        });
  }

  /**
   * Charges the cost of a request if all entries together have not used up the quota. A request
   * that costs more than the burst is admitted by a full bucket, because it would wait forever
   * otherwise.
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
    refill(account, now);
    double required = Math.min(cost, account.quota.burst());
    if (account.balance < required) {
      double seconds = (required - account.balance) / account.quota.perSecond();
      return Optional.of(Duration.ofMillis((long) Math.ceil(1_000 * seconds)));
    }
    account.balance -= cost;
    account.unreportedUsage += cost;
    return Optional.empty();
  }

  /** Refunds the cost of a request that has not run. */
  public void refund(Organisation organisation, long cost) {
    Account account = accounts.get(organisation.name());
    if (account != null) {
      account.balance += cost;
      account.unreportedUsage -= cost;
    }
  }

  private void refill(Account account, Instant now) {
    boolean peersUnresponsive = lastPeerUpdateAt.plus(PEER_UPDATE_TIMEOUT).isBefore(now);
    account.refill(peersUnresponsive ? account.peerUsagePerSecond : 0, now);
  }

  /**
   * Returns the usage of this entry's callers since the last call, by organisation, and counts it
   * as reported.
   */
  public Map<String, Long> drainUnreportedUsage() {
    Map<String, Long> usage = new HashMap<>();
    accounts.forEach(
        (name, account) -> {
          if (account.unreportedUsage != 0) {
            usage.put(name, account.unreportedUsage);
            account.unconfirmedUsage += account.unreportedUsage;
            account.unreportedUsage = 0;
          }
        });
    return usage;
  }

  /**
   * Applies the usage of all entries, as collected and sent by an aggregator.
   *
   * @param fleetUsage the usage by organisation, including what this entry has reported before
   */
  public void applyFleetUsage(Map<String, Long> fleetUsage, Instant now) {
    Map<String, Long> peerUsage = new HashMap<>();
    fleetUsage.forEach(
        (name, total) -> {
          Account account = accounts.get(name);
          long own = account == null ? 0 : Math.min(total, account.unconfirmedUsage);
          if (account != null) {
            account.unconfirmedUsage -= own;
          }
          peerUsage.put(name, total - own);
        });
    applyPeerUsage(peerUsage, now);
  }

  /**
   * Applies the usage that the other entries report.
   *
   * @param peerUsage the usage since the last update, by organisation
   */
  public void applyPeerUsage(Map<String, Long> peerUsage, Instant now) {
    double seconds = Math.max(0, Duration.between(lastPeerUpdateAt, now).toNanos() / 1e9);
    double weight = 1 - Math.exp(-seconds / RATE_AVERAGING_SECONDS);
    accounts.forEach(
        (name, account) -> {
          long used = peerUsage.getOrDefault(name, 0L);
          refill(account, now);
          account.balance -= used;
          account.peerUsageSinceRateUpdate += used;
          if (seconds > 0) {
            double rate = account.peerUsageSinceRateUpdate / seconds;
            account.peerUsagePerSecond += weight * (rate - account.peerUsagePerSecond);
            account.peerUsageSinceRateUpdate = 0;
          }
        });
    lastPeerUpdateAt = now;
  }
}
