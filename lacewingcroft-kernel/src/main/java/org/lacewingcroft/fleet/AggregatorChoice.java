package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which control instance gathers a region's news and tells it to the region's entries. All entries
 * choose by the same order, so that nearly always one instance hears all of them: those of the own
 * region first, then the others, whose digests are older by a trip between regions.
 *
 * <p>The load this answers is a region of many entries. Each telling every other costs each of them
 * work that grows with their number; one that gathers and tells costs an entry a few messages a
 * second however many there are.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class AggregatorChoice {
  /** Silence after which a control instance is not chosen: it answers a report every 500 ms. */
  private static final Duration PULSE_VALID = Duration.ofMillis(1_200);

  /**
   * Time without a digest since news was told after which the chosen one is given up: digests come
   * every 480 ms at least, and the first may take a round trip between regions.
   */
  private static final Duration DIGEST_OVERDUE = Duration.ofMillis(800);

  /** How long one that was given up is passed over. */
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
   * Creates the choice.
   *
   * @param region the entry's region
   */
  public AggregatorChoice(String region) {
    this.region = region;
  }

  /** Notes a sign of life of a control instance. */
  public void pulse(String address, String itsRegion, Instant now) {
    Candidate candidate = candidates.computeIfAbsent(address, a -> new Candidate());
    candidate.region = itsRegion;
    candidate.pulseAt = now;
  }

  /** Notes a digest. */
  public void digest(String address) {
    if (chosen.filter(address::equals).isPresent()) {
      unansweredSince = Optional.empty();
    }
  }

  /** Notes that news was told to the chosen one, which is given up if no digest follows. */
  public void told(Instant now) {
    if (unansweredSince.isEmpty()) {
      unansweredSince = Optional.of(now);
    }
  }

  /** Returns the peer address of the aggregator to tell news to; empty if none is in reach. */
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
