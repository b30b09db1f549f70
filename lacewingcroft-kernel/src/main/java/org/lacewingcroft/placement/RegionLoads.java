package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;

/**
 * The load of the services of other regions, as their entries report it, corrected by what this
 * entry has sent there since.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class RegionLoads {
  /**
   * Age of a region's last report after which the region is assumed to be unreachable: a region
   * reports its load twice a second, and a request relayed to a disconnected region waits until it
   * times out.
   */
  private static final Duration VALID = Duration.ofMillis(1_300);

  /** How long no request is relayed to a region after a relay failed to reach it. */
  private static final Duration FAILED_PAUSE = Duration.ofMillis(1_500);

  /** Prefill speed assumed for another region's endpoints. */
  static final double ASSUMED_TOKENS_PER_MILLI = 60;

  private record Heard(ServiceLoad load, Instant at) {}

  private record Key(String region, String service) {}

  private final Map<Key, Heard> heard = new HashMap<>();
  private final Map<Key, Long> sentTokens = new HashMap<>();
  private final Map<String, Instant> failedAt = new HashMap<>();

  /**
   * A region that can run a request.
   *
   * @param region the region
   * @param waitMillis the estimated wait there
   * @param tokenMillis the estimated time per output token there
   */
  public record Offer(String region, double waitMillis, double tokenMillis) {
    private double answeredMillis(PlacementRequest request) {
      return waitMillis + request.expectedOutputTokens() * tokenMillis;
    }
  }

  /** Replaces a region's last report for a service. */
  public void update(String region, ServiceLoad load, Instant now) {
    Key key = new Key(region, load.service());
    heard.put(key, new Heard(load, now));
    sentTokens.remove(key);
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
    sentTokens.merge(new Key(region, request.service()), tokens, Long::sum);
  }

  /** Records that a region could not be reached. */
  public void recordUnreachable(String region, Instant now) {
    failedAt.put(region, now);
  }

  /** Returns whether a region is known to have endpoints of a service that accept requests. */
  public boolean serves(String region, String service, Instant now) {
    Heard h = heard.get(new Key(region, service));
    return h != null && h.load.endpoints() > 0 && h.at.plus(VALID).isAfter(now);
  }

  /** Returns the allowed region with the lowest estimated response time, if any is reachable. */
  public Optional<Offer> best(
      PlacementRequest request, Set<String> allowed, Set<String> excluded, Instant now) {
    Optional<Offer> best = Optional.empty();
    for (Map.Entry<Key, Heard> e : heard.entrySet()) {
      String region = e.getKey().region();
      boolean usable =
          e.getKey().service().equals(request.service())
              && (allowed.isEmpty() || allowed.contains(region))
              && !excluded.contains(region)
              && serves(region, request.service(), now)
              && !failedAt.getOrDefault(region, Instant.EPOCH).plus(FAILED_PAUSE).isAfter(now);
      if (usable) {
        ServiceLoad load = e.getValue().load;
        double wait = waitMillis(e.getKey(), load, request.priority());
        Offer offer = new Offer(region, wait, load.tokenMillis());
        if (best.isEmpty() || offer.answeredMillis(request) < best.get().answeredMillis(request)) {
          best = Optional.of(offer);
        }
      }
    }
    return best;
  }

  private double waitMillis(Key key, ServiceLoad load, int priority) {
    long[] waits = load.waitMillis();
    double told = waits.length == 0 ? 0 : waits[Math.min(priority, waits.length - 1)];
    double sent = sentTokens.getOrDefault(key, 0L);
    return told + sent / (ASSUMED_TOKENS_PER_MILLI * load.endpoints());
  }
}
