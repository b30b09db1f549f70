package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;

/**
 * Tracks the load of the services of other regions, as their entries report it, plus the requests
 * relayed there since the last report.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class RegionLoads {
  /**
   * Age of a region's last report after which the region is assumed to be unreachable: a region
   * reports its load twice per second, and a request relayed to a disconnected region waits until
   * it times out.
   */
  private static final Duration REPORT_TTL = Duration.ofMillis(1_300);

  /** Time during which no request is relayed to a region after a relay failed to reach it. */
  private static final Duration UNREACHABLE_BACKOFF = Duration.ofMillis(1_500);

  /** Prefill speed assumed for another region's endpoints. */
  static final double ASSUMED_PREFILL_TOKENS_PER_MILLI = 60;

  private record Report(ServiceLoad load, Instant receivedAt) {}

  private record ServiceKey(String region, String service) {}

  private final Map<ServiceKey, Report> reports = new HashMap<>();
  private final Map<ServiceKey, Long> relayedTokens = new HashMap<>();
  private final Map<String, Instant> unreachableAt = new HashMap<>();

  /**
   * A region that can run a request.
   *
   * @param region the region
   * @param waitMillis the estimated wait there
   * @param tokenMillis the estimated time per output token there
   */
  public record Candidate(String region, double waitMillis, double tokenMillis) {
    private double responseMillis(PlacementRequest request) {
      return waitMillis + request.expectedOutputTokens() * tokenMillis;
    }
  }

  /** Replaces a region's last report for a service. */
  public void update(String region, ServiceLoad load, Instant now) {
    ServiceKey key = new ServiceKey(region, load.service());
    reports.put(key, new Report(load, now));
    relayedTokens.remove(key);
  }

  /**
   * Records a request relayed to a region. All entries of this region decide on the same reports,
   * so when one entry relays a request the others relay about as many. If each of four entries
   * counted only its own relays, each would fill the whole reported capacity.
   *
   * @param senders the number of entries of this region
   */
  public void recordRelayed(String region, PlacementRequest request, int senders) {
    long tokens = request.promptTokens() * Math.max(1, senders);
    relayedTokens.merge(new ServiceKey(region, request.service()), tokens, Long::sum);
  }

  /** Records that a region could not be reached. */
  public void recordUnreachable(String region, Instant now) {
    unreachableAt.put(region, now);
  }

  /** Returns whether a region has recently reported endpoints of a service that accept requests. */
  public boolean serves(String region, String service, Instant now) {
    Report report = reports.get(new ServiceKey(region, service));
    return report != null
        && report.load.endpoints() > 0
        && report.receivedAt.plus(REPORT_TTL).isAfter(now);
  }

  /** Returns the allowed region with the lowest estimated response time, if any is reachable. */
  public Optional<Candidate> best(
      PlacementRequest request, Set<String> allowed, Set<String> excluded, Instant now) {
    Optional<Candidate> best = Optional.empty();
    for (Map.Entry<ServiceKey, Report> e : reports.entrySet()) {
      String region = e.getKey().region();
      boolean usable =
          e.getKey().service().equals(request.service())
              && (allowed.isEmpty() || allowed.contains(region))
              && !excluded.contains(region)
              && serves(region, request.service(), now)
              && !unreachableAt
                  .getOrDefault(region, Instant.EPOCH)
                  .plus(UNREACHABLE_BACKOFF)
                  .isAfter(now);
      if (usable) {
        ServiceLoad load = e.getValue().load;
        double wait = waitMillis(e.getKey(), load, request.priority());
        Candidate candidate = new Candidate(region, wait, load.tokenMillis());
        if (best.isEmpty()
            || candidate.responseMillis(request) < best.get().responseMillis(request)) {
          best = Optional.of(candidate);
        }
      }
    }
    return best;
  }

  private double waitMillis(ServiceKey key, ServiceLoad load, int priority) {
    long[] waits = load.waitMillis();
    double reportedMillis = waits.length == 0 ? 0 : waits[Math.min(priority, waits.length - 1)];
    double relayed = relayedTokens.getOrDefault(key, 0L);
    return reportedMillis + relayed / (ASSUMED_PREFILL_TOKENS_PER_MILLI * load.endpoints());
  }
}
