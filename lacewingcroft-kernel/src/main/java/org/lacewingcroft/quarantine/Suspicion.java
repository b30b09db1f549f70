package org.lacewingcroft.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The evidence that a request content crashes the endpoints that run it.
 *
 * @param content the fingerprint of the content
 * @param crashes the crashes of endpoints that were running the content
 * @param clearedAge the time since the content was cleared of all earlier crashes, empty if it was
 *     not cleared
 */
public record Suspicion(
    RequestFingerprint content, Set<EndpointCrash> crashes, Optional<Duration> clearedAge) {
  /** Number of independent endpoint crashes at which a content is quarantined. */
  public static final int QUARANTINE_THRESHOLD = 3;

  /**
   * Maximum number of simultaneous crashes that count. A common cause, such as the loss of a
   * failure domain or an operator's restart of a service, takes down several endpoints together
   * whatever they run, and by chance several of them run the content that is requested most. Such a
   * cause alone must not reach the quarantine threshold, so it adds at most two crashes.
   */
  private static final int MAX_COUNTED_SIMULTANEOUS = 2;

  /** Crashes within this time, as observed by instances in several regions, are simultaneous. */
  private static final Duration SIMULTANEITY_WINDOW = Duration.ofMillis(100);

  /**
   * As {@link #SIMULTANEITY_WINDOW}, for crashes detected by timeout: their times are approximate,
   * because they are detected only when the next announcements are missed.
   */
  private static final Duration TIMEOUT_SIMULTANEITY_WINDOW = Duration.ofMillis(2_500);

  /** Copies the set so that the suspicion is immutable. */
  public Suspicion {
    crashes = Set.copyOf(crashes);
  }

  /** Returns the evidence of one crash of an endpoint that was running the content. */
  public static Suspicion of(RequestFingerprint content, EndpointCrash crash) {
    return new Suspicion(content, Set.of(crash), Optional.empty());
  }

  /** Returns a suspicion without crashes whose content has just been cleared. */
  public static Suspicion cleared(RequestFingerprint content) {
    return new Suspicion(content, Set.of(), Optional.of(Duration.ZERO));
  }

  /**
   * Returns the number of crashes that count as evidence against the content: at most two of each
   * group of simultaneous ones.
   */
  public int independentCrashes() {
    List<EndpointCrash> oldestFirst =
        crashes.stream()
            .sorted(
                Comparator.comparing(EndpointCrash::age)
                    .reversed()
                    .thenComparing(EndpointCrash::incarnation))
            .toList();
    int counted = 0;
    int groupSize = 0;
    Duration groupStartAge = Duration.ZERO;
    for (EndpointCrash crash : oldestFirst) {
      Duration window =
          crash.detectedByTimeout() ? TIMEOUT_SIMULTANEITY_WINDOW : SIMULTANEITY_WINDOW;
      boolean sameGroup = groupSize > 0 && groupStartAge.minus(crash.age()).compareTo(window) <= 0;
      if (!sameGroup) {
        groupSize = 0;
        groupStartAge = crash.age();
      }
      groupSize++;
      if (groupSize <= MAX_COUNTED_SIMULTANEOUS) {
        counted++;
      }
    }
    return counted;
  }

  /** Returns whether the content is quarantined. */
  public boolean isQuarantined() {
    return independentCrashes() >= QUARANTINE_THRESHOLD;
  }

  /** Returns the incarnations that crashed. */
  public Set<String> crashedIncarnations() {
    return crashes.stream().map(EndpointCrash::incarnation).collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the time since the last crash or since the content was cleared, whichever is shorter.
   */
  public Duration age() {
    return Stream.concat(crashes.stream().map(EndpointCrash::age), clearedAge.stream())
        .min(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  /** Returns the same suspicion with its ages increased by the given time. */
  public Suspicion agedBy(Duration time) {
    return new Suspicion(
        content,
        crashes.stream().map(c -> c.agedBy(time)).collect(Collectors.toUnmodifiableSet()),
        clearedAge.map(time::plus));
  }
}
