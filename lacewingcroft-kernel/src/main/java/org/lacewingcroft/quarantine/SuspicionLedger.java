package org.lacewingcroft.quarantine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;
import org.lacewingcroft.request.RequestFingerprint;

/**
 * The contents under which endpoints broke off, by which endpoints. A content that several
 * incarnations broke off under is quarantined: it ends whatever runs it, and every endpoint that is
 * given it takes down the requests beside it.
 *
 * <p>Instances merge what they know. The result does not depend on the order in which they hear of
 * it, nor on how often: evidence is a set of endpoints, and only grows until it is forgotten.
 *
 * <p>Not thread-safe.
 */
public final class SuspicionLedger {
  /**
   * Incarnations that break off under a content until it is quarantined. One or two may have ended
   * for reasons of their own; a content is rarely under way at three such by chance.
   */
  public static final int QUARANTINED = 3;

  /** From so many on the instances make sure that they have heard of the same ones. */
  public static final int RECURRING = QUARANTINED - 1;

  /** How long a content is remembered after an endpoint last broke off under it. */
  static final Duration MEMORY = Duration.ofHours(1);

  /** Contents remembered at most. */
  static final int MOST_CONTENTS = 2_048;

  private final Map<RequestFingerprint, Entry> entries = new LinkedHashMap<>();
  private int recurringDigest;
  private int quarantinedDigest;

  /** The endpoints that broke off under a content, and when the last one did. */
  private record Entry(Set<String> endpoints, Instant at) {
    private Suspicion suspicion(RequestFingerprint content, Instant now) {
      return new Suspicion(content, endpoints, Duration.between(at, now));
    }

    private boolean isRemembered(Instant now) {
      return at.plus(MEMORY).isAfter(now);
    }

    /**
     * Returns a hash of the content and the evidence. Which three of many endpoints an instance
     * knows does not matter: the content is quarantined.
     */
    private int digest(RequestFingerprint content) {
      int evidence = endpoints.size() < QUARANTINED ? endpoints.hashCode() : 0;
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
  public Optional<Suspicion> add(Suspicion suspicion, Instant now) {
    RequestFingerprint content = suspicion.content();
    Instant at = now.minus(suspicion.age());
    Entry known = entries.get(content);
    Set<String> endpoints = new TreeSet<>(known == null ? Set.of() : known.endpoints());
    final int before = endpoints.size();
    for (String endpoint : new TreeSet<>(suspicion.endpoints())) {
      if (endpoints.size() < QUARANTINED) {
        endpoints.add(endpoint);
      }
    }
    Entry merged = new Entry(endpoints, known != null && known.at().isAfter(at) ? known.at() : at);
    if (endpoints.isEmpty() || !merged.isRemembered(now)) {
      return Optional.empty();
    }
    remove(content);
    put(content, merged);
    makeRoom();
    return endpoints.size() > before
        ? Optional.of(merged.suspicion(content, now))
        : Optional.empty();
  }

  private void put(RequestFingerprint content, Entry entry) {
    entries.put(content, entry);
    countDigests(content, entry, 1);
  }

  private void remove(RequestFingerprint content) {
    Entry removed = entries.remove(content);
    if (removed != null) {
      countDigests(content, removed, -1);
    }
  }

  private void countDigests(RequestFingerprint content, Entry entry, int sign) {
    if (entry.endpoints().size() >= RECURRING) {
      recurringDigest += sign * entry.digest(content);
    }
    if (entry.endpoints().size() >= QUARANTINED) {
      quarantinedDigest += sign * entry.digest(content);
    }
  }

  /** Forgets the content with the least evidence, of several the one heard of longest ago. */
  private void makeRoom() {
    if (entries.size() <= MOST_CONTENTS) {
      return;
    }
    RequestFingerprint least = null;
    int leastEndpoints = Integer.MAX_VALUE;
    for (Map.Entry<RequestFingerprint, Entry> entry : entries.entrySet()) {
      int count = entry.getValue().endpoints().size();
      if (count < leastEndpoints) {
        least = entry.getKey();
        leastEndpoints = count;
      }
      if (leastEndpoints == 1) {
        break;
      }
    }
    remove(least);
  }

  /** Forgets what is too old. */
  public void expire(Instant now) {
    Iterator<Map.Entry<RequestFingerprint, Entry>> all = entries.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<RequestFingerprint, Entry> entry = all.next();
      if (!entry.getValue().isRemembered(now)) {
        all.remove();
        countDigests(entry.getKey(), entry.getValue(), -1);
      }
    }
  }

  /** Returns how long a content is still quarantined, empty if it is not. */
  public Optional<Duration> quarantinedFor(RequestFingerprint content, Instant now) {
    return Optional.ofNullable(entries.get(content))
        .filter(e -> e.endpoints().size() >= QUARANTINED && e.isRemembered(now))
        .map(e -> Duration.between(now, e.at().plus(MEMORY)));
  }

  /**
   * Returns the contents under which at least so many endpoints broke off.
   *
   * @param endpoints {@link #RECURRING} or {@link #QUARANTINED}
   */
  public List<Suspicion> atLeast(int endpoints, Instant now) {
    return entries.entrySet().stream()
        .filter(e -> e.getValue().endpoints().size() >= endpoints)
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
