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
 * What is known about a content under which endpoints ended.
 *
 * @param content the content
 * @param crashes the endpoints that ended while they had it to run
 * @param clearedAge how long ago it was cleared of all earlier ends, if it was
 */
public record Suspicion(
    RequestFingerprint content, Set<EndpointCrash> crashes, Optional<Duration> clearedAge) {
  /** Independent ends of endpoints by which a content is quarantined. */
  public static final int QUARANTINE_THRESHOLD = 3;

  /**
   * Ends of one moment that count. What takes several endpoints down together, a failure domain
   * that is lost or an operator who restarts a service, takes them down under whatever is asked for
   * most; two of them by chance are as many as a single cause may add.
   */
  private static final int COUNTED_TOGETHER = 2;

  /** Ends within this time are of one moment, seen from instances of several regions. */
  private static final Duration MOMENT = Duration.ofMillis(100);

  /** The same for ends by silence, noticed when the next announcements are missed. */
  private static final Duration SILENT_MOMENT = Duration.ofMillis(2_500);

  /** Copies the set so that the suspicion is immutable. */
  public Suspicion {
    crashes = Set.copyOf(crashes);
  }

  /** A content under which an endpoint has just ended. */
  public static Suspicion of(RequestFingerprint content, EndpointCrash end) {
    return new Suspicion(content, Set.of(end), Optional.empty());
  }

  /** A content that has just been cleared. */
  public static Suspicion cleared(RequestFingerprint content) {
    return new Suspicion(content, Set.of(), Optional.of(Duration.ZERO));
  }

  /** Returns how many ends speak against the content, those of one moment counted as few. */
  public int independentCrashes() {
    List<EndpointCrash> oldestFirst =
        crashes.stream()
            .sorted(
                Comparator.comparing(EndpointCrash::age)
                    .reversed()
                    .thenComparing(EndpointCrash::incarnation))
            .toList();
    int counted = 0;
    int together = 0;
    Duration momentBegan = Duration.ZERO;
    for (EndpointCrash end : oldestFirst) {
      Duration moment = end.detectedByTimeout() ? SILENT_MOMENT : MOMENT;
      boolean sameMoment = together > 0 && momentBegan.minus(end.age()).compareTo(moment) <= 0;
      if (!sameMoment) {
        together = 0;
        momentBegan = end.age();
      }
      together++;
      if (together <= COUNTED_TOGETHER) {
        counted++;
      }
    }
    return counted;
  }

  /** Returns whether the content is quarantined. */
  public boolean isQuarantined() {
    return independentCrashes() >= QUARANTINE_THRESHOLD;
  }

  /** Returns the incarnations that ended. */
  public Set<String> crashedIncarnations() {
    return crashes.stream().map(EndpointCrash::incarnation).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns how long ago the last endpoint ended or the content was cleared. */
  public Duration age() {
    return Stream.concat(crashes.stream().map(EndpointCrash::age), clearedAge.stream())
        .min(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  /** Returns the same suspicion some time later. */
  public Suspicion agedBy(Duration time) {
    return new Suspicion(
        content,
        crashes.stream().map(e -> e.agedBy(time)).collect(Collectors.toUnmodifiableSet()),
        clearedAge.map(time::plus));
  }
}
