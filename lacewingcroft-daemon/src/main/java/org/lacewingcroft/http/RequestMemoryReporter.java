package org.lacewingcroft.http;

import org.lacewingcroft.metrics.GatewayMetrics;

/** Logs and counts the requests that are ended, and the connections that are closed. */
public final class RequestMemoryReporter implements RequestMemory.Observer {
  private static final System.Logger LOG = System.getLogger(RequestMemoryReporter.class.getName());

  private final GatewayMetrics metrics;

  /** Creates a reporter that counts in the given metrics. */
  public RequestMemoryReporter(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void onEnded(long heldBytes) {
    metrics.requestsEndedForMemory.inc();
    LOG.log(System.Logger.Level.WARNING, "request.ended_for_memory", "heldBytes", heldBytes);
  }

  @Override
  public void onConnectionsClosed(int closed) {
    metrics.connectionsClosedAtLimit.inc(closed);
    LOG.log(System.Logger.Level.WARNING, "connections.closed_at_limit", "closed", closed);
  }
}
