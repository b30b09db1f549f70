package org.lacewingcroft.forward;

import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.lacewingcroft.metrics.GatewayMetrics;
import org.lacewingcroft.placement.EndpointTracker;
import org.lacewingcroft.placement.ReportedLoad;

/**
 * Records the load that endpoints report in response heads. Malformed values are counted and have
 * no other effect.
 *
 * <p>Confined to the event loop thread.
 */
final class EndpointLoadReader {
  private static final System.Logger LOG = System.getLogger(EndpointLoadReader.class.getName());

  /** A 421 response comes from another incarnation, which now listens at the address. */
  private static final int WRONG_INSTANCE = 421;

  /** Minimum interval between two log lines about malformed values: every response has one. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

  private final String headerName;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private Instant lastLoggedAt = Instant.EPOCH;

  EndpointLoadReader(String headerName, GatewayMetrics metrics, InstantSource clock) {
    this.headerName = headerName;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Records the load in a response head of an endpoint, if it contains one with the pace. */
  void read(EndpointTracker endpoint, HttpClientResponse response) {
    String value = response.getHeader(headerName);
    if (value == null || response.statusCode() == WRONG_INSTANCE) {
      return;
    }
    Optional<ReportedLoad> load = ReportedLoad.parse(value, clock.instant());
    if (load.isEmpty()) {
      metrics.endpointLoads.labelValues("malformed").inc();
      logMalformed(endpoint, value);
    } else if (ReportedLoad.containsPace(value)) {
      metrics.endpointLoads.labelValues("accepted").inc();
      endpoint.recordReportedLoad(load.get());
    } else {
      metrics.endpointLoads.labelValues("without_pace").inc();
    }
  }

  private void logMalformed(EndpointTracker endpoint, String value) {
    Instant now = clock.instant();
    if (!lastLoggedAt.plus(LOG_INTERVAL).isAfter(now)) {
      lastLoggedAt = now;
      LOG.log(
          System.Logger.Level.WARNING,
          "endpoint.load_malformed",
          "endpoint",
          endpoint.record().id(),
          "value",
          value.substring(0, Math.min(40, value.length())));
    }
  }
}
