package org.lacewingcroft.standin;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.lacewingcroft.endpoint.EndpointKind;

/**
 * What one stand-in runner is and where it announces itself.
 *
 * @param id the endpoint id it announces
 * @param kind engine or plain service
 * @param region its region
 * @param failureDomain its failure domain
 * @param labels the labels it announces
 * @param models the models (or the service name) it serves
 * @param capacity requests it serves at once; more wait in a queue
 * @param gateways base URLs of the entry daemons it announces to
 * @param announceInterval how often it renews its lease
 * @param reportLag how old the load figure it reports is
 * @param checksFencing whether it refuses orders with an old fencing token
 * @param timing the engine timing model
 * @param prefixCacheEntries how many prompt prefixes its cache holds
 */
public record RunnerSpec(
    String id,
    EndpointKind kind,
    String region,
    String failureDomain,
    Map<String, String> labels,
    List<String> models,
    int capacity,
    List<String> gateways,
    Duration announceInterval,
    Duration reportLag,
    boolean checksFencing,
    EngineTiming timing,
    int prefixCacheEntries) {

  /** Copies the collections so the record is immutable. */
  public RunnerSpec {
    labels = Map.copyOf(labels);
    models = List.copyOf(models);
    gateways = List.copyOf(gateways);
  }
}
