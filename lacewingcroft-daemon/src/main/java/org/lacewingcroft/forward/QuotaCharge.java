package org.lacewingcroft.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.lacewingcroft.limit.FleetQuotas;
import org.lacewingcroft.route.Organisation;

/**
 * The charge of one request against the quota of its organisation and its share of scarce capacity;
 * refunded if it has not run.
 */
final class QuotaCharge {
  private final Optional<Organisation> organisation;
  private final long cost;
  private final FleetQuotas quotas;
  private boolean charged;
  private Runnable shareRefund = () -> {};

  private QuotaCharge(Optional<Organisation> organisation, long cost, FleetQuotas quotas) {
    this.organisation = organisation;
    this.cost = cost;
    this.quotas = quotas;
  }

  /**
   * Creates a charge; {@link #charge} applies it.
   *
   * @param organisation the caller's organisation, empty if nothing is to be charged
   * @param declaredTokens the prompt and output tokens declared by the request, 0 if none
   */
  static QuotaCharge of(
      Optional<Organisation> organisation, long declaredTokens, FleetQuotas quotas) {
    long cost =
        organisation.flatMap(Organisation::quota).map(q -> q.costOf(declaredTokens)).orElse(0L);
    return new QuotaCharge(organisation, cost, quotas);
  }

  /** Creates an empty charge for a relayed request, which the sending entry has charged already. */
  static QuotaCharge none(FleetQuotas quotas) {
    return new QuotaCharge(Optional.empty(), 0, quotas);
  }

  /**
   * Charges the quota.
   *
   * @return empty if the quota was charged, otherwise the time after which charging it may succeed
   */
  Optional<Duration> charge(Instant now) {
    Optional<Duration> retryAfter = organisation.flatMap(o -> quotas.charge(o, cost, now));
    charged = retryAfter.isEmpty();
    return retryAfter;
  }

  /** Adds what refunds the share of capacity that the request was counted against. */
  void withShareRefund(Runnable refund) {
    shareRefund = refund;
  }

  /** Charges the quota for another run of the request. */
  void chargeRepeatedRun(Instant now) {
    organisation.ifPresent(o -> quotas.chargeUnconditionally(o, cost, now));
  }

  /** Refunds the charge; further calls have no effect. */
  void refund(Instant now) {
    if (charged) {
      charged = false;
      organisation.ifPresent(o -> quotas.refund(o, cost, now));
      shareRefund.run();
    }
  }
}
