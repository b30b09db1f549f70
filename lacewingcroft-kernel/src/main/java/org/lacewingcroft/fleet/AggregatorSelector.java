package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the control instance that collects a region's updates and distributes them to the
 * region's entries. All entries of a region rank the control instances in the same order, so that
 * nearly always one instance receives the updates of all of them: first those of the entries' own
 * region, then the others, whose batches are older by the latency between regions.
 *
 * <p>Designed for regions of many entries. If each entry sent its updates to every other one, the
 * work of each would grow with their number; with one aggregator, an entry handles a few messages a
 * second regardless of the size of the region.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class AggregatorSelector {
  /**
   * Time without a heartbeat after which a control instance is not selected. A control instance
   * replies to each report, one every 500 ms.
   */
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_200);

  /**
   * Time without a batch after an update was sent, after which the selected instance is put in
   * backoff. Batches are sent at least every 480 ms, and the first one may take a round trip
   * between regions.
   */
  private static final Duration BATCH_TIMEOUT = Duration.ofMillis(800);

  /** How long a control instance that sent no batch in time is excluded. */
  private static final Duration BACKOFF = Duration.ofSeconds(3);

  private final String region;
  private final Map<String, Candidate> candidates = new HashMap<>();
  private Optional<String> selected = Optional.empty();
  private Optional<Instant> awaitingBatchSince = Optional.empty();

  private static final class Candidate {
    private String region;
    private Instant lastHeartbeatAt;
    private Instant backoffUntil = Instant.EPOCH;

    private boolean isUsable(Instant now) {
      return lastHeartbeatAt.plus(HEARTBEAT_TIMEOUT).isAfter(now) && !backoffUntil.isAfter(now);
    }
  }

  /**
   * Creates a selector with no candidates.
   *
   * @param region the entry's region
   */
  public AggregatorSelector(String region) {
    this.region = region;
  }

  /** Records a heartbeat reply (ControlPulse) of a control instance. */
  public void onControlPulse(String address, String controlRegion, Instant now) {
    Candidate candidate = candidates.computeIfAbsent(address, a -> new Candidate());
    candidate.region = controlRegion;
    candidate.lastHeartbeatAt = now;
  }

  /** Records the arrival of a batch of updates ({@link FleetMessage.NewsDigest}). */
  public void onBatch(String address) {
    if (selected.filter(address::equals).isPresent()) {
      awaitingBatchSince = Optional.empty();
    }
  }

  /**
   * Records that an update was sent to the selected instance, which is put in backoff if no batch
   * follows within {@link #BATCH_TIMEOUT}.
   */
  public void onUpdateSent(Instant now) {
    if (awaitingBatchSince.isEmpty()) {
      awaitingBatchSince = Optional.of(now);
    }
  }

  /**
   * Returns the peer address of the aggregator to send updates to, or empty if none is reachable.
   */
  public Optional<String> select(Instant now) {
    selected.ifPresent(c -> backOffIfOverdue(c, now));
    Optional<String> best =
        candidates.entrySet().stream()
            .filter(e -> e.getValue().isUsable(now))
            .min(
                Comparator.comparing(
                        (Map.Entry<String, Candidate> e) -> !e.getValue().region.equals(region))
                    .thenComparing(Map.Entry::getKey))
            .map(Map.Entry::getKey);
    if (!best.equals(selected)) {
      selected = best;
      awaitingBatchSince = Optional.empty();
    }
    return selected;
  }

  private void backOffIfOverdue(String address, Instant now) {
    boolean overdue =
        awaitingBatchSince.filter(since -> !since.plus(BATCH_TIMEOUT).isAfter(now)).isPresent();
    if (overdue) {
      candidates.get(address).backoffUntil = now.plus(BACKOFF);
    }
  }
}
