package org.lacewingcroft.http;

import org.lacewingcroft.metrics.GatewayMetrics;

/**
 * Counts what a {@link StrictResponseDecoder} observes.
 *
 * @param metrics the metrics to update
 */
public record ResponseMetrics(GatewayMetrics metrics) implements StrictResponseDecoder.Observer {
  @Override
  public void onRetired(StrictResponseDecoder.Retirement reason) {
    metrics.retiredConnections.labelValues(reason.label()).inc();
  }

  @Override
  public void onRefusal(StrictResponseDecoder.RefusalEvidence evidence) {
    metrics.refusals.labelValues(evidence.label()).inc();
  }

  @Override
  public void onSentAfterRefusal() {
    metrics.sentAfterRefusal.inc();
  }
}
