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
 * The quotas of organisations as one entry of many sees them: a token bucket for each, from which
 * it takes what its own callers ask for and what the other entries tell that theirs have asked for.
 *
 * <p>The load that this answers is an organisation whose callers ask at any entry, now here, now
 * there, a few times a second in all. A fixed share for each entry refuses them while the
 * organisation is far below its quota. Here a request is refused only if all entries together have
 * used it up; what they use before the others hear of it goes over the quota for a moment and is
 * missing afterwards.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class FleetQuotas {
  /** Without news of the others for this long, they are taken to go on as they did. */
  private static final Duration NEWS_VALID = Duration.ofSeconds(1);

  /** Time over which the others' rate is averaged. */
  private static final double RATE_SECONDS = 2;

  private final Map<String, Account> accounts = new HashMap<>();
  private Instant heardAt;

  /**
   * Creates it without any quota.
   *
   * @param now the current time
   */
  public FleetQuotas(Instant now) {
    this.heardAt = now;
  }

  /** What is known of one organisation's use, in the units of its quota. */
  private static final class Account {
    private Quota quota;
    private double level;
    private Instant filledAt;
    private long untold;
    private long unheard;
    private double othersPerSecond;
    private double heardSinceUpdate;

    /** Begins empty: the others may just have used up the quota. */
    private Account(Quota quota, Instant now) {
      this.quota = quota;
      filledAt = now;
    }

    /**
     * Fills the bucket.
     *
     * @param drainPerSecond what others are taken to use meanwhile
     */
    private void fill(double drainPerSecond, Instant now) {
      double seconds = Math.max(0, Duration.between(filledAt, now).toNanos() / 1e9);
      filledAt = now;
      level = Math.min(quota.burst(), level + seconds * (quota.perSecond() - drainPerSecond));
    }
  }

  /**
   * Takes the quotas in force. Use is followed from now on, whether or not this entry's own callers
   * ask for anything.
   */
  public void configure(Collection<Organisation> organisations, Instant now) {
    Map<String, Quota> quotas = new HashMap<>();
    organisations.forEach(o -> o.quota().ifPresent(q -> quotas.put(o.name(), q)));
    accounts.keySet().retainAll(quotas.keySet());
    quotas.forEach(
        (name, quota) -> {
          Account account = accounts.computeIfAbsent(name, n -> new Account(quota, now));
          fill(account, now);
          account.quota = quota;
        });
  }

  /**
   * Takes what a request counts if all entries together have not used up the quota.
   *
   * @return empty if it was taken, or how long until it may be
   */
  public Optional<Duration> charge(Organisation organisation, long cost, Instant now) {
    Account account = accounts.get(organisation.name());
    if (account == null) {
      return Optional.empty();
    }
    fill(account, now);
    double enough = Math.min(cost, account.quota.burst());
    if (account.level < enough) {
      double seconds = (enough - account.level) / account.quota.perSecond();
      return Optional.of(Duration.ofMillis((long) Math.ceil(1_000 * seconds)));
    }
    account.level -= cost;
    account.untold += cost;
    return Optional.empty();
  }

  /** Gives back what was taken for a request that has not run. */
  public void refund(Organisation organisation, long cost) {
    Account account = accounts.get(organisation.name());
    if (account != null) {
      account.level += cost;
      account.untold -= cost;
    }
  }

  private void fill(Account account, Instant now) {
    boolean silent = heardAt.plus(NEWS_VALID).isBefore(now);
    account.fill(silent ? account.othersPerSecond : 0, now);
  }

  /** Returns what this entry's callers have used since the last call, by organisation. */
  public Map<String, Long> drainUnreportedUsage() {
    Map<String, Long> uses = new HashMap<>();
    accounts.forEach(
        (name, account) -> {
          if (account.untold != 0) {
            uses.put(name, account.untold);
            account.unheard += account.untold;
            account.untold = 0;
          }
        });
    return uses;
  }

  /**
   * Takes what all entries have used, as an instance that gathers it tells them.
   *
   * @param uses by organisation, this entry's own included that it has told before
   */
  public void applyFleetUsage(Map<String, Long> uses, Instant now) {
    Map<String, Long> others = new HashMap<>();
    uses.forEach(
        (name, all) -> {
          Account account = accounts.get(name);
          long own = account == null ? 0 : Math.min(all, account.unheard);
          if (account != null) {
            account.unheard -= own;
          }
          others.put(name, all - own);
        });
    applyPeerUsage(others, now);
  }

  /** Takes what other entries have used. */
  public void applyPeerUsage(Map<String, Long> uses, Instant now) {
    double seconds = Math.max(0, Duration.between(heardAt, now).toNanos() / 1e9);
    double weight = 1 - Math.exp(-seconds / RATE_SECONDS);
    accounts.forEach(
        (name, account) -> {
          long used = uses.getOrDefault(name, 0L);
          fill(account, now);
          account.level -= used;
          account.heardSinceUpdate += used;
          if (seconds > 0) {
            double rate = account.heardSinceUpdate / seconds;
            account.othersPerSecond += weight * (rate - account.othersPerSecond);
            account.heardSinceUpdate = 0;
          }
        });
    heardAt = now;
  }
}
