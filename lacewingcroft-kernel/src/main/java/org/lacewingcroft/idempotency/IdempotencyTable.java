package org.lacewingcroft.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One replica of the at-most-once records, which store for each idempotency key its claimant and
 * whether its request is running, done (with the response to replay) or of unknown outcome.
 *
 * <p>Each replica grants a key to one {@link Claimant} only; a claim of a key that is already
 * claimed returns the existing record. A claim is released only if its request was refused before
 * any endpoint received it, so that a retry may run it. Records expire after the retention period.
 */
public final class IdempotencyTable {
  /** The state of a key. In a merge, a later constant replaces an earlier one. */
  public enum State {
    /** The key is claimed; its request has been or will be dispatched and has no response yet. */
    RUNNING,
    /** The request was dispatched and failed in a way that leaves its outcome unknown. */
    UNKNOWN,
    /** The request is complete; the response is stored for replay. */
    DONE
  }

  /**
   * The record of a key.
   *
   * @param key the idempotency key, prefixed by the organisation
   * @param state the state of the key
   * @param claimant the claimant of the key
   * @param status the HTTP status of the response if done, else 0
   * @param contentType the content type of the response if done, else empty
   * @param body the body of the response if done, else empty
   * @param expiresAt the time at which the record expires
   */
  public record Entry(
      String key,
      State state,
      Claimant claimant,
      int status,
      String contentType,
      byte[] body,
      Instant expiresAt) {
    /** Copies the body so that the record does not change with the array that was passed in. */
    public Entry {
      body = body.clone();
    }

    /** Returns a copy of this record that expires at the given time. */
    public Entry withExpiry(Instant newExpiry) {
      return new Entry(key, state, claimant, status, contentType, body, newExpiry);
    }

    private boolean supersedes(Entry other) {
      return state.compareTo(other.state) >= 0;
    }
  }

  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private final Duration retention;

  /**
   * Creates an empty table.
   *
   * @param retention the time for which a record is retained after its last update
   */
  public IdempotencyTable(Duration retention) {
    this.retention = retention;
  }

  /**
   * Claims a key for a request that this daemon will run. An expired record does not prevent the
   * claim.
   *
   * @return empty if the claim succeeded, else the existing record of the key
   */
  public Optional<Entry> claim(String key, Claimant claimant, Instant now) {
    Entry newEntry = newRunningEntry(key, claimant, now);
    Entry existing = entries.putIfAbsent(key, newEntry);
    boolean claimed =
        existing == null
            || existing.expiresAt().isBefore(now) && entries.replace(key, existing, newEntry);
    return claimed ? Optional.empty() : Optional.of(existing);
  }

  /**
   * Claims a key for a claimant at another daemon. A claim that the same claimant repeats while its
   * request is running is granted again.
   *
   * @return empty if the claim is granted, else the existing record of the key
   */
  public Optional<Entry> grant(String key, Claimant claimant, Instant now) {
    return claim(key, claimant, now)
        .filter(
            existing -> existing.state() != State.RUNNING || !existing.claimant().equals(claimant));
  }

  private Entry newRunningEntry(String key, Claimant claimant, Instant now) {
    return new Entry(key, State.RUNNING, claimant, 0, "", new byte[0], now.plus(retention));
  }

  /** Records the response to the request of a key and returns the record to replicate. */
  public Entry complete(
      String key, Claimant claimant, int status, String contentType, byte[] body, Instant now) {
    Entry done =
        new Entry(key, State.DONE, claimant, status, contentType, body, now.plus(retention));
    entries.put(key, done);
    return done;
  }

  /**
   * Records that the outcome of a key's request is unknown, unless the key is done, and returns the
   * resulting record to replicate.
   */
  public Entry markUnknown(String key, Claimant claimant, Instant now) {
    Entry unknown =
        new Entry(key, State.UNKNOWN, claimant, 0, "", new byte[0], now.plus(retention));
    return entries.merge(
        key, unknown, (existing, incoming) -> incoming.supersedes(existing) ? incoming : existing);
  }

  /** Removes a claim whose request was refused before any endpoint received it. */
  public void release(String key, Claimant claimant) {
    entries.computeIfPresent(
        key, (k, e) -> e.state() == State.RUNNING && e.claimant().equals(claimant) ? null : e);
  }

  /** Merges a record of another replica; the record with the later {@link State} is stored. */
  public void merge(Entry replicated, Instant now) {
    entries.merge(
        replicated.key(),
        replicated.withExpiry(now.plus(retention)),
        (existing, incoming) -> incoming.supersedes(existing) ? incoming : existing);
  }

  /** Returns the record of a key; empty if there is none. */
  public Optional<Entry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Returns all records. */
  public Collection<Entry> all() {
    return List.copyOf(entries.values());
  }

  /** Removes the records that have expired. */
  public void expire(Instant now) {
    entries.values().removeIf(e -> e.expiresAt().isBefore(now));
  }

  /** Returns the number of records. */
  public int size() {
    return entries.size();
  }
}
