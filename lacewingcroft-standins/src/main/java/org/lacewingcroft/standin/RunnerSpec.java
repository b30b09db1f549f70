package org.lacewingcroft.standin;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.lacewingcroft.endpoint.EndpointKind;

/**
 * The properties of a stand-in runner and the entries that it announces itself to.
 *
 * @param id the announced endpoint id
 * @param kind whether the runner is an engine or a plain service
 * @param region the region of the runner
 * @param failureDomain the failure domain of the runner
 * @param labels the announced labels
 * @param models the models, or the service name, that the runner serves
 * @param capacity the number of concurrent requests; further requests wait in a queue
 * @param entryUrls the base URLs of the entry daemons that receive the announcements
 * @param announceInterval the interval between lease renewals
 * @param reportLag the age of the reported load and cache events
 * @param checksFencing whether operator orders with an outdated fencing token are refused
 * @param timing the timing model of the engine
 * @param prefixCacheEntries the maximum number of cached prompt prefixes
 */
public record RunnerSpec(
    String id,
    EndpointKind kind,
    String region,
    String failureDomain,
    Map<String, String> labels,
    List<String> models,
    int capacity,
    List<String> entryUrls,
    Duration announceInterval,
    Duration reportLag,
    boolean checksFencing,
    EngineTiming timing,
    int prefixCacheEntries) {

  /** Copies the collections so that the record is immutable. */
  public RunnerSpec {
    labels = Map.copyOf(labels);
    models = List.copyOf(models);
    entryUrls = List.copyOf(entryUrls);
  }
}
