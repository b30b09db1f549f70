package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the control instance that collects a region's updates and distributes them to the region's entries. All entries rank the control instances in the same order, so that nearly always one instance receives the updates of all of them: first those of the entry's own region, then the others, whose digests are older by the latency between regions.
 *
 * <p>Designed for regions of many entries. If each entry sent its updates to every other one, the work of each would grow with their number; with one aggregator, an entry handles a few messages a second regardless of the size of the region.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class AggregatorChoice {
  /** Time without a heartbeat after which a control instance is not selected. A control instance replies to each report, one every 500 ms. */
  private static final Duration PULSE_VALID = Duration.ofMillis(1_200);

  /** Time without a digest after an update was sent, after which the selected instance is put in backoff. Digests are sent at least every 480 ms, and the first one may take a round trip between regions. */
  private static final Duration DIGEST_OVERDUE = Duration.ofMillis(800);

  /** How long a control instance that sent no digest in time is excluded. */
  private static final Duration PASSED_OVER = Duration.ofSeconds(3);

  private final String region;
  private final Map<String, Candidate> candidates = new HashMap<>();
  private Optional<String> chosen = Optional.empty();
  private Optional<Instant> unansweredSince = Optional.empty();

  private static final class Candidate {
    private String region;
    private Instant pulseAt;
    private Instant passedOverUntil = Instant.EPOCH;

    private boolean usable(Instant now) {
      return pulseAt.plus(PULSE_VALID).isAfter(now) && !passedOverUntil.isAfter(now);
    }
  }

  /**
   * Creates a selector with no candidates.
   *
   * @param region the entry's region
   */
  public AggregatorChoice(String region) {
    this.region = region;
  }

  /** Records a heartbeat of a control instance. */
  public void pulse(String address, String itsRegion, Instant now) {
    Candidate candidate = candidates.computeIfAbsent(address, a -> new Candidate());
    candidate.region = itsRegion;
    candidate.pulseAt = now;
  }

  /** Records the arrival of a digest. */
  public void digest(String address) {
    if (chosen.filter(address::equals).isPresent()) {
      unansweredSince = Optional.empty();
    }
  }

  /** Records that an update was sent to the selected instance, which is put in backoff if no digest follows within {@link #DIGEST_TIMEOUT}. */
  public void told(Instant now) {
    if (unansweredSince.isEmpty()) {
      unansweredSince = Optional.of(now);
    }
  }

  /** Returns the peer address of the aggregator to send updates to, or empty if none is reachable. */
  public Optional<String> current(Instant now) {
    chosen.ifPresent(c -> giveUpIfSilent(c, now));
    Optional<String> best =
        candidates.entrySet().stream()
            .filter(e -> e.getValue().usable(now))
            .min(
                Comparator.comparing(
                        (Map.Entry<String, Candidate> e) -> !e.getValue().region.equals(region))
                    .thenComparing(Map.Entry::getKey))
            .map(Map.Entry::getKey);
    if (!best.equals(chosen)) {
      chosen = best;
      unansweredSince = Optional.empty();
    }
    return chosen;
  }

  private void giveUpIfSilent(String address, Instant now) {
    boolean overdue =
        unansweredSince.filter(since -> !since.plus(DIGEST_OVERDUE).isAfter(now)).isPresent();
    if (overdue) {
      candidates.get(address).passedOverUntil = now.plus(PASSED_OVER);
    }
  }
}
