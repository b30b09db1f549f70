package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.fleet.FleetMessage.ServiceLoad;

/**
 * How loaded the services of other regions are, as their entries tell, corrected by what this entry
 * has sent there since.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class RegionLoads {
  /**
   * A region not heard of for this long is taken to be out of reach: it tells its load twice a
   * second, and a request relayed into a cut waits for its whole silence.
   */
  private static final Duration VALID = Duration.ofMillis(1_300);

  /** After a relay failed to reach a region, how long no other is tried there. */
  private static final Duration FAILED_PAUSE = Duration.ofMillis(1_500);

  /** Reading speed assumed for another region's endpoints, in tokens a millisecond. */
  static final double ASSUMED_TOKENS_PER_MILLI = 60;

  private record Heard(ServiceLoad load, Instant at) {}

  private record Key(String region, String service) {}

  private final Map<Key, Heard> heard = new HashMap<>();
  private final Map<Key, Long> sentTokens = new HashMap<>();
  private final Map<String, Instant> failedAt = new HashMap<>();

  /**
   * A region that can take a request.
   *
   * @param region the region
   * @param waitMillis the wait expected there
   * @param tokenMillis how long each token of an answer takes there
   */
  public record Offer(String region, double waitMillis, double tokenMillis) {
    private double answeredMillis(PlacementRequest request) {
      return waitMillis + request.expectedOutputTokens() * tokenMillis;
    }
  }

  /** Takes a region's report. */
  public void update(String region, ServiceLoad load, Instant now) {
    Key key = new Key(region, load.service());
    heard.put(key, new Heard(load, now));
    sentTokens.remove(key);
  }

  /**
   * Notes a request relayed to a region. All entries of this region decide by the same news, and
   * what one of them sends, the others send about as often: counting its own only, each of four
   * fills the whole room that is told of.
   *
   * @param senders how many entries this region has
   */
  public void recordRelayed(String region, PlacementRequest request, int senders) {
    long tokens = request.promptTokens() * Math.max(1, senders);
    sentTokens.merge(new Key(region, request.service()), tokens, Long::sum);
  }

  /** Notes that a region could not be reached. */
  public void recordUnreachable(String region, Instant now) {
    failedAt.put(region, now);
  }

  /** Returns whether a region has endpoints of a service that take work, as far as is known. */
  public boolean serves(String region, String service, Instant now) {
    Heard h = heard.get(new Key(region, service));
    return h != null && h.load.endpoints() > 0 && h.at.plus(VALID).isAfter(now);
  }

  /** Returns the allowed region with the soonest answer, if any can be reached. */
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
