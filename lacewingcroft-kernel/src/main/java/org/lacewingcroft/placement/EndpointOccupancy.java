package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Estimates how many requests an endpoint runs and queues: the load that it last reported, plus the
 * requests that this entry and the region's other entries have sent since, minus those that have
 * ended since. A request that the report already contains is not added again.
 *
 * <p>Without a recent report there is no estimate, and only the requests that the entries
 * themselves count are known.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
final class EndpointOccupancy {
  /** Age from which a report is not used: the load of a second ago says nothing about now. */
  static final Duration REPORT_TTL = Duration.ofMillis(1_500);

  /**
   * Time by which another entry's count of its requests is older than its receipt: half of the 120
   * ms for which the aggregator may hold it back.
   */
  private static final Duration PEER_COUNT_DELAY = Duration.ofMillis(60);

  /**
   * Requests sent this shortly before the report arrived were still on their way to the endpoint
   * when it wrote the report: one round trip between failure domains.
   */
  private static final Duration ROUND_TRIP = Duration.ofMillis(2);

  /**
   * Age up to which a report of a full queue is trusted. Reports of other entries are up to 300 ms
   * old; an endpoint with 6 slots of 73.5 ms has run 24 queued requests by then.
   */
  private static final Duration FULL_TTL = Duration.ofMillis(300);

  /**
   * Maximum time from the head of a rejection, which carries the report, to the end of its body,
   * when the rejection is recorded. On an event loop that is late it is some tens of ms.
   */
  private static final Duration MAX_REJECTION_DELAY = Duration.ofMillis(100);

  /**
   * Share of the queue's limit from which it counts as full. The rest is left for requests that
   * other entries have sent but not reported yet: six in 200 ms at 29 requests per second, of a
   * limit of 36.
   */
  private static final double USABLE_QUEUE_SHARE = 0.8;

  /** A request of this entry; it is forgotten when it ended before the current report. */
  private static final class OwnRequest {
    private final Instant sentAt;
    private Optional<Instant> endedAt = Optional.empty();

    private OwnRequest(Instant sentAt) {
      this.sentAt = sentAt;
    }
  }

  /** A peer's number of requests in flight from an instant on. */
  private record PeerCount(Instant receivedAt, int inFlight) {}

  /** Handle of one of this entry's requests. */
  final class Tracked {
    private final OwnRequest request;

    private Tracked(OwnRequest request) {
      this.request = request;
    }

    /** Records that the endpoint no longer runs the request. */
    void end(Instant now) {
      request.endedAt = Optional.of(now);
      if (report.isEmpty()) {
        ownRequests.remove(request);
      }
      changed();
    }

    /** Records that the endpoint rejected the request, so that no report ever contained it. */
    void withdraw() {
      ownRequests.remove(request);
      changed();
    }
  }

  private final List<OwnRequest> ownRequests = new ArrayList<>();
  private final Map<String, Deque<PeerCount>> peerCounts = new HashMap<>();
  private Optional<ReportedLoad> report = Optional.empty();
  private boolean ownReport;
  private final QueueLimit queueLimit;
  private Optional<Instant> estimatedAt = Optional.empty();
  private OptionalInt estimate = OptionalInt.empty();

  /**
   * Creates the estimate of an endpoint that has not reported its load.
   *
   * @param queueLimit the queue limit of the endpoint's service
   */
  EndpointOccupancy(QueueLimit queueLimit) {
    this.queueLimit = queueLimit;
  }

  private void changed() {
    estimatedAt = Optional.empty();
  }

  /** Records a request that this entry sends. */
  Tracked requestSent(Instant now) {
    OwnRequest request = new OwnRequest(now);
    ownRequests.removeIf(r -> r.endedAt.filter(at -> !isAfterReport(at, now)).isPresent());
    ownRequests.add(request);
    changed();
    return new Tracked(request);
  }

  private boolean isAfterReport(Instant at, Instant now) {
    return report.isPresent()
        ? !at.isBefore(report.get().reportedAt())
        : at.isAfter(now.minus(REPORT_TTL));
  }

  /** Replaces the number of another entry's requests in flight. */
  void updatePeer(String entry, int inFlight, Instant now) {
    Deque<PeerCount> counts = peerCounts.get(entry);
    if (counts == null) {
      if (inFlight == 0) {
        return;
      }
      counts = new ArrayDeque<>();
      peerCounts.put(entry, counts);
    }
    counts.addLast(new PeerCount(now, inFlight));
    removeOutdated(counts, now);
    if (counts.size() == 1 && inFlight == 0) {
      peerCounts.remove(entry);
    }
    changed();
  }

  /** Removes the counts that are followed by one that was already valid at the time of a report. */
  private void removeOutdated(Deque<PeerCount> counts, Instant now) {
    Instant oldestNeeded =
        report
            .map(r -> r.reportedAt().plus(PEER_COUNT_DELAY))
            .filter(at -> at.isAfter(now.minus(REPORT_TTL)))
            .orElse(now.minus(REPORT_TTL));
    while (counts.size() > 1) {
      PeerCount first = counts.removeFirst();
      if (counts.getFirst().receivedAt().isAfter(oldestNeeded)) {
        counts.addFirst(first);
        return;
      }
    }
  }

  /** Returns the number of requests that other entries have in flight, as they last reported. */
  int peersInFlight(Instant now) {
    int total = 0;
    for (Deque<PeerCount> counts : peerCounts.values()) {
      total += inFlightAt(counts, now);
    }
    return total;
  }

  private static int inFlightAt(Deque<PeerCount> counts, Instant at) {
    PeerCount last = null;
    for (PeerCount count : counts) {
      if (count.receivedAt().isAfter(at)) {
        break;
      }
      last = count;
    }
    boolean known =
        last != null && last.receivedAt().plus(PrefillQueue.PEER_REPORT_TTL).isAfter(at);
    return known ? last.inFlight() : 0;
  }

  /** Records a report that this entry received from the endpoint. */
  void reportReceived(ReportedLoad load) {
    replace(load, true);
  }

  /** Records a report that another entry received from the endpoint. */
  void reportReceivedByPeer(ReportedLoad load) {
    replace(load, false);
  }

  private void replace(ReportedLoad load, boolean own) {
    if (report.isEmpty() || !load.reportedAt().isBefore(report.get().reportedAt())) {
      report = Optional.of(load);
      ownReport = own;
      changed();
    }
  }

  /** Returns the last report if it is recent enough to be used. */
  Optional<ReportedLoad> recentReport(Instant now) {
    return report.filter(r -> r.isRecent(now));
  }

  /** Returns the last report if it is recent and this entry received it from the endpoint. */
  Optional<ReportedLoad> recentOwnReport(Instant now) {
    return ownReport ? recentReport(now) : Optional.empty();
  }

  /** Returns the reported pace, 1 for the usual one. */
  OptionalDouble pace(Instant now) {
    Optional<ReportedLoad> recent = recentReport(now);
    return recent.isPresent() ? OptionalDouble.of(recent.get().pace()) : OptionalDouble.empty();
  }

  /** Returns the estimated number of requests that the endpoint runs and queues. */
  OptionalInt occupancy(Instant now) {
    if (!estimatedAt.equals(Optional.of(now))) {
      estimate =
          recentReport(now).map(r -> OptionalInt.of(estimate(r, now))).orElse(OptionalInt.empty());
      estimatedAt = Optional.of(now);
    }
    return estimate;
  }

  private int estimate(ReportedLoad load, Instant now) {
    int occupancy = load.running() + load.waiting();
    int inFlight = 0;
    Instant unreportedFrom = load.reportedAt().minus(ROUND_TRIP);
    for (OwnRequest request : ownRequests) {
      boolean open = request.endedAt.isEmpty();
      boolean reported = !request.sentAt.isAfter(unreportedFrom);
      inFlight += open ? 1 : 0;
      if (open && !reported) {
        occupancy++;
      } else if (!open && reported && !request.endedAt.get().isBefore(load.reportedAt())) {
        occupancy--;
      }
    }
    Instant countedAt = load.reportedAt().plus(PEER_COUNT_DELAY);
    for (Deque<PeerCount> counts : peerCounts.values()) {
      occupancy += inFlightAt(counts, now) - inFlightAt(counts, countedAt);
    }
    return Math.max(inFlight, occupancy);
  }

  /**
   * Records that the endpoint rejected a request as full. The queue length that it reports with the
   * rejection is the limit of its queue.
   */
  void rejectedAsFull(Instant now) {
    recentOwnReport(now)
        .filter(r -> r.running() >= r.slots())
        .filter(r -> !r.reportedAt().plus(MAX_REJECTION_DELAY).isBefore(now))
        .ifPresent(r -> queueLimit.rejectedAt(r.waiting()));
  }

  /** Returns whether, by a recent report, the endpoint has no slot and no place in its queue. */
  boolean isFull(Instant now) {
    OptionalInt limit = queueLimit.limit();
    return limit.isPresent()
        && report.filter(r -> r.reportedAt().plus(FULL_TTL).isAfter(now)).isPresent()
        && occupancy(now).orElse(0) >= report.get().slots() + USABLE_QUEUE_SHARE * limit.getAsInt();
  }

  /** Returns how much room the endpoint has. */
  EndpointRoom room(Instant now) {
    OptionalInt occupancy = occupancy(now);
    if (occupancy.isEmpty()) {
      return EndpointRoom.UNKNOWN;
    }
    if (isFull(now)) {
      return EndpointRoom.FULL;
    }
    return occupancy.getAsInt() < report.orElseThrow().slots()
        ? EndpointRoom.FREE_SLOT
        : EndpointRoom.QUEUE;
  }
}
