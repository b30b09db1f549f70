package org.lacewingcroft.quarantine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The contents under which endpoints ended, by which endpoints. A content under which several ended
 * one after the other is quarantined: it ends whatever runs it, and every endpoint that is given it
 * takes down the requests beside it.
 *
 * <p>Instances merge what they know. The result does not depend on the order in which they hear of
 * it, nor on how often: evidence is a set of ends, and only grows until the content is cleared or
 * forgotten, or an endpoint turns out to be still there.
 *
 * <p>Not thread-safe.
 */
public final class SuspicionLedger {
  /** From so many ends on the instances make sure that they have heard of the same ones. */
  public static final int RECURRING_THRESHOLD = Suspicion.QUARANTINE_THRESHOLD - 1;

  /** How long a content is remembered after an endpoint last ended under it. */
  static final Duration MEMORY = Duration.ofHours(1);

  /** Contents remembered at most. */
  static final int MOST_CONTENTS = 2_048;

  /** Ends remembered at most of a content. */
  static final int MOST_ENDS = 16;

  /** Endpoints remembered at most that were taken for ended and were still there. */
  private static final int MOST_DISPROVED = 1_024;

  private final Map<RequestFingerprint, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Instant> disproved = BoundedMap.evictingOldest(MOST_DISPROVED);
  private int recurringDigest;
  private int quarantinedDigest;

  private record End(Instant at, boolean silent) {
    /** Of two reports of the same end the earlier is nearer to it, and the one of a broken run. */
    private End mergedWith(End other) {
      return new End(at.isBefore(other.at) ? at : other.at, silent && other.silent);
    }
  }

  /** What is known of a content: the ends by incarnation, and when it was last cleared. */
  private record Entry(Map<String, End> ends, Instant clearedAt, int independentEnds) {
    private static Entry of(
        RequestFingerprint content, Map<String, End> ends, Instant clearedAt, Instant now) {
      Entry uncounted = new Entry(ends, clearedAt, 0);
      return new Entry(ends, clearedAt, uncounted.suspicion(content, now).independentCrashes());
    }

    private Suspicion suspicion(RequestFingerprint content, Instant now) {
      return new Suspicion(
          content,
          ends.entrySet().stream()
              .map(e -> endAt(e.getKey(), e.getValue(), now))
              .collect(Collectors.toUnmodifiableSet()),
          wasCleared() ? Optional.of(Duration.between(clearedAt, now)) : Optional.empty());
    }

    private static EndpointCrash endAt(String incarnation, End end, Instant now) {
      return new EndpointCrash(incarnation, Duration.between(end.at(), now), end.silent());
    }

    private boolean wasCleared() {
      return clearedAt.isAfter(Instant.MIN);
    }

    private boolean isEmpty() {
      return ends.isEmpty() && !wasCleared();
    }

    private Instant lastChange() {
      return ends.values().stream()
          .map(End::at)
          .reduce(clearedAt, (one, other) -> one.isAfter(other) ? one : other);
    }

    private boolean isRemembered(Instant now) {
      return lastChange().isAfter(now.minus(MEMORY));
    }

    /**
     * Returns a hash of the content and the evidence. Which of many endpoints an instance knows
     * does not matter once the content is quarantined or no more of them are remembered.
     */
    private int digest(RequestFingerprint content) {
      boolean many = independentEnds >= Suspicion.QUARANTINE_THRESHOLD || ends.size() >= MOST_ENDS;
      int evidence = many ? 0 : ends.keySet().hashCode();
      byte[] bytes =
          ByteBuffer.allocate(Long.BYTES + Integer.BYTES)
              .putLong(content.value())
              .putInt(evidence)
              .array();
      return MurmurHash3.hash32x86(bytes);
    }
  }

  /**
   * Takes evidence.
   *
   * @return what is known of the content, if more than before
   */
  public Optional<Suspicion> merge(Suspicion suspicion, Instant now) {
    RequestFingerprint content = suspicion.content();
    Optional<Entry> known = Optional.ofNullable(entries.get(content));
    Instant knownCleared = known.map(Entry::clearedAt).orElse(Instant.MIN);
    Instant heardCleared = suspicion.clearedAge().map(now::minus).orElse(Instant.MIN);
    Instant clearedAt = knownCleared.isAfter(heardCleared) ? knownCleared : heardCleared;
    Map<String, End> ends = new TreeMap<>(known.map(Entry::ends).orElse(Map.of()));
    for (EndpointCrash end : suspicion.crashes()) {
      ends.merge(
          end.incarnation(),
          new End(now.minus(end.age()), end.detectedByTimeout()),
          End::mergedWith);
    }
    ends.entrySet().removeIf(e -> isRefuted(e.getKey(), e.getValue(), clearedAt));
    keepLatest(ends);
    Entry merged = Entry.of(content, ends, clearedAt, now);
    if (merged.isEmpty() || !merged.isRemembered(now)) {
      return Optional.empty();
    }
    boolean learned =
        !known.map(e -> e.ends().keySet()).equals(Optional.of(ends.keySet()))
            || heardCleared.isAfter(knownCleared);
    replace(content, merged);
    makeRoom();
    return learned ? Optional.of(merged.suspicion(content, now)) : Optional.empty();
  }

  private boolean isRefuted(String incarnation, End end, Instant clearedAt) {
    Instant seenLater = disproved.getOrDefault(incarnation, Instant.MIN);
    return !end.at().isAfter(clearedAt) || !end.at().isAfter(seenLater);
  }

  private static void keepLatest(Map<String, End> ends) {
    while (ends.size() > MOST_ENDS) {
      ends.remove(
          Collections.min(ends.entrySet(), Comparator.comparing(e -> e.getValue().at())).getKey());
    }
  }

  /** Takes back that an incarnation ended, of all contents: it is still there. */
  public void retractCrash(String incarnation, Instant now) {
    disproved.remove(incarnation);
    disproved.put(incarnation, now);
    for (Map.Entry<RequestFingerprint, Entry> known : Map.copyOf(entries).entrySet()) {
      Entry entry = known.getValue();
      if (entry.ends().containsKey(incarnation)) {
        Map<String, End> ends = new TreeMap<>(entry.ends());
        ends.remove(incarnation);
        replace(known.getKey(), Entry.of(known.getKey(), ends, entry.clearedAt(), now));
      }
    }
  }

  private void replace(RequestFingerprint content, Entry entry) {
    remove(content);
    if (!entry.isEmpty()) {
      entries.put(content, entry);
      countDigests(content, entry, 1);
    }
  }

  private void remove(RequestFingerprint content) {
    Entry removed = entries.remove(content);
    if (removed != null) {
      countDigests(content, removed, -1);
    }
  }

  private void countDigests(RequestFingerprint content, Entry entry, int sign) {
    if (entry.independentEnds() >= RECURRING_THRESHOLD) {
      recurringDigest += sign * entry.digest(content);
    }
    if (entry.independentEnds() >= Suspicion.QUARANTINE_THRESHOLD) {
      quarantinedDigest += sign * entry.digest(content);
    }
  }

  /** Forgets the content with the least evidence, of several the one heard of longest ago. */
  private void makeRoom() {
    if (entries.size() <= MOST_CONTENTS) {
      return;
    }
    RequestFingerprint least = null;
    int leastEnds = Integer.MAX_VALUE;
    for (Map.Entry<RequestFingerprint, Entry> entry : entries.entrySet()) {
      int count = entry.getValue().independentEnds();
      if (count < leastEnds) {
        least = entry.getKey();
        leastEnds = count;
      }
      if (leastEnds <= 1) {
        break;
      }
    }
    remove(least);
  }

  /** Forgets what is too old. */
  public void expire(Instant now) {
    disproved.values().removeIf(at -> !at.isAfter(now.minus(MEMORY)));
    Iterator<Map.Entry<RequestFingerprint, Entry>> all = entries.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<RequestFingerprint, Entry> entry = all.next();
      if (!entry.getValue().isRemembered(now)) {
        all.remove();
        countDigests(entry.getKey(), entry.getValue(), -1);
      }
    }
  }

  /** Returns what is known of a content that is quarantined, empty if it is not. */
  public Optional<Suspicion> quarantined(RequestFingerprint content, Instant now) {
    return Optional.ofNullable(entries.get(content))
        .filter(e -> e.independentEnds() >= Suspicion.QUARANTINE_THRESHOLD && e.isRemembered(now))
        .map(e -> e.suspicion(content, now));
  }

  /** Returns the contents that are quarantined. */
  public List<Suspicion> quarantined(Instant now) {
    return suspicions(e -> e.independentEnds() >= Suspicion.QUARANTINE_THRESHOLD, now);
  }

  /** Returns how long a content is still quarantined, empty if it is not. */
  public Optional<Duration> remainingQuarantine(RequestFingerprint content, Instant now) {
    return quarantined(content, now).map(s -> MEMORY.minus(s.age()));
  }

  /**
   * Returns what another instance that reports another digest may have missed: the contents under
   * which at least so many endpoints ended, and those that were cleared.
   *
   * @param ends {@link #RECURRING_THRESHOLD} or {@link Suspicion#QUARANTINE_THRESHOLD}
   */
  public List<Suspicion> withCrashesOrCleared(int ends, Instant now) {
    return suspicions(e -> e.independentEnds() >= ends || e.wasCleared(), now);
  }

  private List<Suspicion> suspicions(Predicate<Entry> which, Instant now) {
    return entries.entrySet().stream()
        .filter(e -> which.test(e.getValue()))
        .map(e -> e.getValue().suspicion(e.getKey(), now))
        .toList();
  }

  /** Returns a number by which instances find out whether they know the same recurring contents. */
  public int recurringDigest() {
    return recurringDigest;
  }

  /** Returns the same number for the quarantined contents. */
  public int quarantinedDigest() {
    return quarantinedDigest;
  }

  /** Returns how many contents are remembered. */
  public int size() {
    return entries.size();
  }
}
