package org.lacewingcroft.fleet;

import java.time.InstantSource;
import org.lacewingcroft.limit.FleetQuotas;

/**
 * Logs which part of the fleet's quota usage an entry knows, and what it admits and rejects of
 * organisations that are at their quota.
 *
 * <p>Confined to the event loop thread.
 */
final class QuotaLog {
  private static final System.Logger LOG = System.getLogger(QuotaLog.class.getName());

  private final FleetQuotas quotas;
  private final InstantSource clock;
  private FleetQuotas.View logged = new FleetQuotas.View(1, 1, false);

  QuotaLog(FleetQuotas quotas, InstantSource clock) {
    this.quotas = quotas;
    this.clock = clock;
  }

  /** Logs when entries become silent, when all are heard from again, and other changes of both. */
  void logChanges() {
    FleetQuotas.View view = quotas.view(clock.instant());
    if (quotas.isEmpty() || view.equals(logged)) {
      return;
    }
    logged = view;
    LOG.log(
        view.current() < view.entries() ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
        "quota.entries_changed",
        "known",
        view.entries(),
        "current",
        view.current(),
        "discovered",
        view.discovered(),
        "reportDelayMillis",
        Math.round(1_000 * quotas.reportDelaySeconds(clock.instant())));
  }

  /** Logs the usage of organisations of which requests have been rejected since the last call. */
  void logUsage() {
    for (FleetQuotas.Summary summary : quotas.takeSummaries()) {
      LOG.log(
          System.Logger.Level.INFO,
          "quota.usage",
          "organisation",
          summary.organisation(),
          "admittedUnits",
          summary.admittedUnits(),
          "rejectedUnits",
          summary.rejectedUnits(),
          "peerUnits",
          summary.peerUnits(),
          "balanceUnits",
          summary.balanceUnits());
    }
  }
}
