package org.lacewingcroft.quarantine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The request contents that endpoints were running when they crashed, with the crashed endpoints. A
 * content is quarantined once several endpoints that ran it have crashed one after the other: it is
 * assumed to crash every endpoint that runs it, and each crash also fails the other requests that
 * the endpoint is running. The shared parts of prompts are recorded in the same way as contents.
 *
 * <p>Instances merge their evidence. Merging is commutative and idempotent, so the result depends
 * neither on the order of updates nor on duplicates: evidence is a set of crashes and only grows
 * until the content is cleared or expires, or a crash is retracted because the endpoint is still
 * alive.
 *
 * <p>Not thread-safe.
 */
public final class SuspicionLedger {
  /**
   * Minimum number of independent crashes of a content for which instances compare digests, to make
   * sure that they have recorded the same crashes.
   */
  public static final int RECURRING_THRESHOLD = Suspicion.QUARANTINE_THRESHOLD - 1;

  /** How long a content is retained after its last crash or its clearing. */
  static final Duration RETENTION = Duration.ofHours(1);

  /** Maximum number of contents retained. */
  static final int MAX_CONTENTS = 2_048;

  /** Maximum number of crashes retained per content. */
  static final int MAX_CRASHES_PER_CONTENT = 16;

  /**
   * Maximum number of retractions retained, for incarnations that were presumed crashed and are
   * still alive.
   */
  private static final int MAX_RETRACTIONS = 1_024;

  private final Map<RequestFingerprint, StoredEvidence> evidenceByContent = new LinkedHashMap<>();
  private final Map<String, Instant> retractedAt = BoundedMap.evictingOldest(MAX_RETRACTIONS);
  private int recurringDigest;
  private int quarantinedDigest;

  private record CrashRecord(Instant at, boolean detectedByTimeout) {
    /**
     * Merges two reports of the same crash. The earlier time is closer to the crash, and a report
     * from a lost connection is more accurate than one from a timeout.
     */
    private CrashRecord mergedWith(CrashRecord other) {
      return new CrashRecord(
          at.isBefore(other.at) ? at : other.at, detectedByTimeout && other.detectedByTimeout);
    }
  }

  /**
   * The stored evidence against a content: its crashes by incarnation, and when it was last
   * cleared. In contrast to {@link Suspicion}, the form that instances exchange, it contains
   * instants of this instance's clock instead of ages, and the number of independent crashes.
   */
  private record StoredEvidence(
      Map<String, CrashRecord> crashes, Instant clearedAt, int independentCrashes) {
    private static StoredEvidence of(
        RequestFingerprint content,
        Map<String, CrashRecord> crashes,
        Instant clearedAt,
        Instant now) {
      StoredEvidence uncounted = new StoredEvidence(crashes, clearedAt, 0);
      return new StoredEvidence(
          crashes, clearedAt, uncounted.suspicion(content, now).independentCrashes());
    }

    private Suspicion suspicion(RequestFingerprint content, Instant now) {
      return new Suspicion(
          content,
          crashes.entrySet().stream()
              .map(e -> toEndpointCrash(e.getKey(), e.getValue(), now))
              .collect(Collectors.toUnmodifiableSet()),
          wasCleared() ? Optional.of(Duration.between(clearedAt, now)) : Optional.empty());
    }

    private static EndpointCrash toEndpointCrash(
        String incarnation, CrashRecord crash, Instant now) {
      return new EndpointCrash(
          incarnation, Duration.between(crash.at(), now), crash.detectedByTimeout());
    }

    private boolean wasCleared() {
      return clearedAt.isAfter(Instant.MIN);
    }

    private boolean isEmpty() {
      return crashes.isEmpty() && !wasCleared();
    }

    private Instant lastChangedAt() {
      return crashes.values().stream()
          .map(CrashRecord::at)
          .reduce(clearedAt, (one, other) -> one.isAfter(other) ? one : other);
    }

    private boolean isRetained(Instant now) {
      return lastChangedAt().isAfter(now.minus(RETENTION));
    }

    /**
     * Returns a hash of the content and its crashes. The incarnations are omitted once the content
     * is quarantined or has the maximum number of crashes: instances may then retain different
     * ones.
     */
    private int digest(RequestFingerprint content) {
      boolean ignoresIncarnations =
          independentCrashes >= Suspicion.QUARANTINE_THRESHOLD
              || crashes.size() >= MAX_CRASHES_PER_CONTENT;
      int crashesHash = ignoresIncarnations ? 0 : crashes.keySet().hashCode();
      byte[] bytes =
          ByteBuffer.allocate(Long.BYTES + Integer.BYTES)
              .putLong(content.value())
              .putInt(crashesHash)
              .array();
      return MurmurHash3.hash32x86(bytes);
    }
  }

  /**
   * Merges evidence that this instance received or observed.
   *
   * @return the merged evidence against the content, empty if this adds nothing
   */
  public Optional<Suspicion> merge(Suspicion suspicion, Instant now) {
    RequestFingerprint content = suspicion.content();
    Optional<StoredEvidence> existing = Optional.ofNullable(evidenceByContent.get(content));
    Instant existingClearedAt = existing.map(StoredEvidence::clearedAt).orElse(Instant.MIN);
    Instant receivedClearedAt = suspicion.clearedAge().map(now::minus).orElse(Instant.MIN);
    Instant clearedAt =
        existingClearedAt.isAfter(receivedClearedAt) ? existingClearedAt : receivedClearedAt;
    Map<String, CrashRecord> crashes =
        new TreeMap<>(existing.map(StoredEvidence::crashes).orElse(Map.of()));
    crashes.entrySet().removeIf(e -> isInvalidated(e.getKey(), e.getValue(), clearedAt));
    for (EndpointCrash crash : suspicion.crashes()) {
      CrashRecord received = new CrashRecord(now.minus(crash.age()), crash.detectedByTimeout());
      // Merged first, an outdated report would invalidate a later crash of the incarnation too.
      if (!isInvalidated(crash.incarnation(), received, clearedAt)) {
        crashes.merge(crash.incarnation(), received, CrashRecord::mergedWith);
      }
    }
    evictCrashes(content, crashes, now);
    StoredEvidence merged = StoredEvidence.of(content, crashes, clearedAt, now);
    if (merged.isEmpty() || !merged.isRetained(now)) {
      return Optional.empty();
    }
    boolean changed =
        !existing.map(e -> e.crashes().keySet()).equals(Optional.of(crashes.keySet()))
            || receivedClearedAt.isAfter(existingClearedAt);
    replace(content, merged);
    evictIfFull();
    return changed ? Optional.of(merged.suspicion(content, now)) : Optional.empty();
  }

  private boolean isInvalidated(String incarnation, CrashRecord crash, Instant clearedAt) {
    Instant aliveAt = retractedAt.getOrDefault(incarnation, Instant.MIN);
    return !crash.at().isAfter(clearedAt) || !crash.at().isAfter(aliveAt);
  }

  /**
   * Evicts crashes until the maximum is reached: the oldest one that does not count because others
   * were simultaneous, or the oldest one if all count.
   */
  private static void evictCrashes(
      RequestFingerprint content, Map<String, CrashRecord> crashes, Instant now) {
    while (crashes.size() > MAX_CRASHES_PER_CONTENT) {
      List<String> oldestFirst =
          crashes.entrySet().stream()
              .sorted(Comparator.comparing(e -> e.getValue().at()))
              .map(Map.Entry::getKey)
              .toList();
      int count = independentCrashes(content, crashes, now);
      String evicted =
          oldestFirst.stream()
              .filter(i -> independentCrashes(content, without(crashes, i), now) == count)
              .findFirst()
              .orElse(oldestFirst.get(0));
      crashes.remove(evicted);
    }
  }

  private static int independentCrashes(
      RequestFingerprint content, Map<String, CrashRecord> crashes, Instant now) {
    return StoredEvidence.of(content, crashes, Instant.MIN, now).independentCrashes();
  }

  private static Map<String, CrashRecord> without(
      Map<String, CrashRecord> crashes, String incarnation) {
    Map<String, CrashRecord> others = new TreeMap<>(crashes);
    others.remove(incarnation);
    return others;
  }

  /** Removes an incarnation's crash from all contents, because the incarnation is still alive. */
  public void retractCrash(String incarnation, Instant now) {
    retractedAt.remove(incarnation);
    retractedAt.put(incarnation, now);
    for (Map.Entry<RequestFingerprint, StoredEvidence> entry :
        Map.copyOf(evidenceByContent).entrySet()) {
      StoredEvidence evidence = entry.getValue();
      if (evidence.crashes().containsKey(incarnation)) {
        Map<String, CrashRecord> crashes = without(evidence.crashes(), incarnation);
        replace(
            entry.getKey(), StoredEvidence.of(entry.getKey(), crashes, evidence.clearedAt(), now));
      }
    }
  }

  private void replace(RequestFingerprint content, StoredEvidence evidence) {
    remove(content);
    if (!evidence.isEmpty()) {
      evidenceByContent.put(content, evidence);
      updateDigests(content, evidence, 1);
    }
  }

  private void remove(RequestFingerprint content) {
    StoredEvidence removed = evidenceByContent.remove(content);
    if (removed != null) {
      updateDigests(content, removed, -1);
    }
  }

  private void updateDigests(RequestFingerprint content, StoredEvidence evidence, int sign) {
    if (evidence.independentCrashes() >= RECURRING_THRESHOLD) {
      recurringDigest += sign * evidence.digest(content);
    }
    if (evidence.independentCrashes() >= Suspicion.QUARANTINE_THRESHOLD) {
      quarantinedDigest += sign * evidence.digest(content);
    }
  }

  /**
   * Evicts the content with the fewest crashes if there are too many contents; of several such
   * contents, the least recently updated one.
   */
  private void evictIfFull() {
    if (evidenceByContent.size() <= MAX_CONTENTS) {
      return;
    }
    RequestFingerprint candidate = null;
    int fewestCrashes = Integer.MAX_VALUE;
    for (Map.Entry<RequestFingerprint, StoredEvidence> entry : evidenceByContent.entrySet()) {
      int crashes = entry.getValue().independentCrashes();
      if (crashes < fewestCrashes) {
        candidate = entry.getKey();
        fewestCrashes = crashes;
      }
      if (fewestCrashes <= 1) {
        break;
      }
    }
    remove(candidate);
  }

  /** Removes contents and retractions that are older than the retention time. */
  public void expire(Instant now) {
    retractedAt.values().removeIf(at -> !at.isAfter(now.minus(RETENTION)));
    Iterator<Map.Entry<RequestFingerprint, StoredEvidence>> iterator =
        evidenceByContent.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<RequestFingerprint, StoredEvidence> entry = iterator.next();
      if (!entry.getValue().isRetained(now)) {
        iterator.remove();
        updateDigests(entry.getKey(), entry.getValue(), -1);
      }
    }
  }

  /** Returns the evidence against a content, empty if it is not quarantined. */
  public Optional<Suspicion> quarantineEvidence(RequestFingerprint content, Instant now) {
    return Optional.ofNullable(evidenceByContent.get(content))
        .filter(e -> e.independentCrashes() >= Suspicion.QUARANTINE_THRESHOLD && e.isRetained(now))
        .map(e -> e.suspicion(content, now));
  }

  /** Returns whether there is evidence against a content that was not cleared of it. */
  public boolean isSuspected(RequestFingerprint content) {
    return Optional.ofNullable(evidenceByContent.get(content))
        .filter(e -> !e.crashes().isEmpty())
        .isPresent();
  }

  /** Returns the evidence against all quarantined contents. */
  public List<Suspicion> allQuarantineEvidence(Instant now) {
    return suspicions(e -> e.independentCrashes() >= Suspicion.QUARANTINE_THRESHOLD, now);
  }

  /**
   * Returns whether each crash of a quarantined content or part is also evidence against another
   * quarantined one, so that it is open which of them is the cause.
   */
  public boolean isAmbiguous(RequestFingerprint content, Instant now) {
    Set<String> unexplained =
        quarantineEvidence(content, now)
            .map(s -> new HashSet<>(s.crashedIncarnations()))
            .orElseGet(HashSet::new);
    if (unexplained.isEmpty()) {
      return false;
    }
    allQuarantineEvidence(now).stream()
        .filter(s -> !s.content().equals(content))
        .forEach(s -> unexplained.removeAll(s.crashedIncarnations()));
    return unexplained.isEmpty();
  }

  /** Returns the remaining time of a content's quarantine, empty if it is not quarantined. */
  public Optional<Duration> remainingQuarantine(RequestFingerprint content, Instant now) {
    return quarantineEvidence(content, now).map(s -> RETENTION.minus(s.age()));
  }

  /**
   * Returns the evidence that an instance with a different digest may have missed: contents with at
   * least the given number of independent crashes, and cleared contents.
   *
   * @param minCrashes {@link #RECURRING_THRESHOLD} or {@link Suspicion#QUARANTINE_THRESHOLD}
   */
  public List<Suspicion> withCrashesOrCleared(int minCrashes, Instant now) {
    return suspicions(e -> e.independentCrashes() >= minCrashes || e.wasCleared(), now);
  }

  private List<Suspicion> suspicions(Predicate<StoredEvidence> filter, Instant now) {
    return evidenceByContent.entrySet().stream()
        .filter(e -> filter.test(e.getValue()))
        .map(e -> e.getValue().suspicion(e.getKey(), now))
        .toList();
  }

  /**
   * Returns a digest of the evidence against contents with at least {@link #RECURRING_THRESHOLD}
   * independent crashes. Instances with different digests have recorded different evidence.
   */
  public int recurringDigest() {
    return recurringDigest;
  }

  /** Returns the corresponding digest of the evidence against quarantined contents. */
  public int quarantinedDigest() {
    return quarantinedDigest;
  }

  /** Returns the number of contents retained. */
  public int size() {
    return evidenceByContent.size();
  }
}
