package org.lacewingcroft.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.lacewingcroft.limit.FleetQuotas;
import org.lacewingcroft.route.Organisation;

/** What one request takes of its organisation's quota; given back if it has not run. */
final class QuotaCharge {
  private final Optional<Organisation> organisation;
  private final long cost;
  private final FleetQuotas quotas;
  private boolean taken;

  private QuotaCharge(Optional<Organisation> organisation, long cost, FleetQuotas quotas) {
    this.organisation = organisation;
    this.cost = cost;
    this.quotas = quotas;
  }

  /**
   * Prepares a charge.
   *
   * @param organisation the caller's organisation, empty if nothing is to be charged
   * @param statedTokens the tokens that the request states, 0 if none
   */
  static QuotaCharge of(
      Optional<Organisation> organisation, long statedTokens, FleetQuotas quotas) {
    long cost =
        organisation.flatMap(Organisation::quota).map(q -> q.costOf(statedTokens)).orElse(0L);
    return new QuotaCharge(organisation, cost, quotas);
  }

  /** A request that another entry has charged. */
  static QuotaCharge none(FleetQuotas quotas) {
    return new QuotaCharge(Optional.empty(), 0, quotas);
  }

  /** Takes it; returns empty, or when it may be taken. */
  Optional<Duration> take(Instant now) {
    Optional<Duration> refusedFor = organisation.flatMap(o -> quotas.charge(o, cost, now));
    taken = refusedFor.isEmpty();
    return refusedFor;
  }

  /** Gives it back, once. */
  void giveBack() {
    if (taken) {
      taken = false;
      organisation.ifPresent(o -> quotas.refund(o, cost));
    }
  }
}
