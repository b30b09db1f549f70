package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.lacewingcroft.fleet.FleetMessage.ServiceCapacity;
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

  /** Period over which this entry's relays are averaged to estimate those of the others. */
  private static final double RATE_PERIOD_MILLIS = 1_000;

  /** Prefill speed assumed for another region's endpoints. */
  static final double ASSUMED_PREFILL_TOKENS_PER_MILLI = 60;

  private record Report(ServiceLoad load, Instant receivedAt) {
    private double ageMillis(Instant now) {
      return Duration.between(receivedAt, now).toMillis();
    }

    /** Returns the reported capacity; without a report, one without slots and nothing to spare. */
    private ServiceCapacity capacity() {
      return load.capacity()
          .orElse(
              new ServiceCapacity(ASSUMED_PREFILL_TOKENS_PER_MILLI * load.endpoints(), 0, 0, 0));
    }
  }

  private record ServiceKey(String region, String service) {}

  private final Map<ServiceKey, Report> reports = new HashMap<>();
  private final Map<ServiceKey, RelayedRequests> relayedRequests = new HashMap<>();
  private final Map<String, Instant> unreachableAt = new HashMap<>();

  /** The requests that this entry has relayed to a service of another region. */
  private static final class RelayedRequests {
    private final RelayedAmount tokens = new RelayedAmount();
    private final RelayedAmount requests = new RelayedAmount();

    private void reported() {
      tokens.sinceReport = 0;
      requests.sinceReport = 0;
    }
  }

  /** An amount that this entry has relayed, since the last report and on average. */
  private static final class RelayedAmount {
    private long sinceReport;
    private double perMilli;
    private Instant updatedAt = Instant.EPOCH;
    private int otherSenders;

    private void add(long amount, int senders, Instant now) {
      perMilli = rate(now) + amount / RATE_PERIOD_MILLIS;
      updatedAt = now;
      sinceReport += amount;
      otherSenders = Math.max(0, senders - 1);
    }

    /** Returns the recent rate per millisecond, an exponential moving average. */
    private double rate(Instant now) {
      double elapsedMillis = Duration.between(updatedAt, now).toMillis();
      return perMilli * Math.exp(-elapsedMillis / RATE_PERIOD_MILLIS);
    }

    /** Estimates what all entries of this region have relayed since a report of an age. */
    private double ofRegion(double ageMillis, Instant now) {
      return sinceReport + otherSenders * rate(now) * ageMillis;
    }
  }

  /**
   * A region that can run a request.
   *
   * @param region the region
   * @param waitMillis the estimated wait there
   * @param tokenMillis the estimated time per output token there
   * @param occupiedShare the estimated share of the slots there that are occupied, more than 1 if
   *     requests are queued; empty if the region does not report it
   */
  public record Candidate(
      String region, double waitMillis, double tokenMillis, OptionalDouble occupiedShare) {
    private double responseMillis(PlacementRequest request) {
      return waitMillis + request.expectedOutputTokens() * tokenMillis;
    }
  }

  /** Replaces a region's last report for a service. */
  public void update(String region, ServiceLoad load, Instant now) {
    ServiceKey key = new ServiceKey(region, load.service());
    reports.put(key, new Report(load, now));
    Optional.ofNullable(relayedRequests.get(key)).ifPresent(RelayedRequests::reported);
  }

  /**
   * Records a request relayed to a region. All entries of this region decide on the same reports,
   * so the others relay about as many as this one: if each counted only its own relays, each would
   * fill the whole reported capacity. Their relays are spread over time, so that they are estimated
   * from this entry's average rate, not from its last relay.
   *
   * @param senders the number of entries of this region
   */
  public void recordRelayed(String region, PlacementRequest request, int senders, Instant now) {
    RelayedRequests relayed =
        relayedRequests.computeIfAbsent(
            new ServiceKey(region, request.service()), key -> new RelayedRequests());
    relayed.tokens.add(request.promptTokens(), senders, now);
    relayed.requests.add(1, senders, now);
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
        double wait = waitMillis(e.getKey(), e.getValue(), request.priority(), now);
        Candidate candidate =
            new Candidate(
                region, wait, load.tokenMillis(), occupiedShare(e.getKey(), e.getValue(), now));
        if (best.isEmpty()
            || candidate.responseMillis(request) < best.get().responseMillis(request)) {
          best = Optional.of(candidate);
        }
      }
    }
    return best;
  }

  private OptionalDouble occupiedShare(ServiceKey key, Report report, Instant now) {
    ServiceCapacity capacity = report.capacity();
    if (capacity.slots() == 0) {
      return OptionalDouble.empty();
    }
    double relayed =
        Optional.ofNullable(relayedRequests.get(key))
            .map(r -> r.requests.ofRegion(report.ageMillis(now), now))
            .orElse(0.0);
    return OptionalDouble.of((capacity.occupiedSlots() + relayed) / capacity.slots());
  }

  /**
   * Returns the reported wait plus the time to prefill what has been relayed since the report and
   * exceeds the capacity that the region had to spare.
   */
  private double waitMillis(ServiceKey key, Report report, int priority, Instant now) {
    long[] waits = report.load.waitMillis();
    double reportedMillis = waits.length == 0 ? 0 : waits[Math.min(priority, waits.length - 1)];
    RelayedRequests relayed = relayedRequests.get(key);
    if (relayed == null) {
      return reportedMillis;
    }
    ServiceCapacity capacity = report.capacity();
    double ageMillis = report.ageMillis(now);
    double queuedTokens =
        relayed.tokens.ofRegion(ageMillis, now) - capacity.spareTokensPerMilli() * ageMillis;
    return reportedMillis
        + Math.max(0, queuedTokens) / Math.max(1, capacity.prefillTokensPerMilli());
  }
}
