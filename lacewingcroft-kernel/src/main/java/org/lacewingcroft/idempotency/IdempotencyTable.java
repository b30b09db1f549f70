package org.lacewingcroft.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One replica of the at-most-once records: for each idempotency key who claimed it and whether its
 * request is running, done (with the answer to replay) or of unknown outcome.
 *
 * <p>A key is claimed by one {@link Claimant} only, at every replica of the key; whoever finds it
 * claimed is given the record instead. Only a request refused before any endpoint received it is
 * released, so that a retry may run it. Records expire after the retention period.
 */
public final class IdempotencyTable {
  /** The state of one key, in the order in which knowledge advances. */
  public enum State {
    /** Claimed, and dispatched or about to be; no answer yet. */
    RUNNING,
    /** Dispatched and failed in a way that leaves the outcome unknown. */
    UNKNOWN,
    /** Answered; the answer is kept for replay. */
    DONE
  }

  /**
   * One key's record.
   *
   * @param key the idempotency key, prefixed by the organisation
   * @param state its state
   * @param claimant who claimed it
   * @param status the HTTP status of the answer, when done
   * @param contentType the answer's content type, when done
   * @param body the answer's bytes, when done
   * @param expiresAt when the record is forgotten
   */
  public record Entry(
      String key,
      State state,
      Claimant claimant,
      int status,
      String contentType,
      byte[] body,
      Instant expiresAt) {
    /** Copies the body so the record is immutable. */
    public Entry {
      body = body.clone();
    }

    /** Returns the same record, expiring at another time. */
    public Entry withExpiry(Instant when) {
      return new Entry(key, state, claimant, status, contentType, body, when);
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
   * @param retention how long a key's record is kept
   */
  public IdempotencyTable(Duration retention) {
    this.retention = retention;
  }

  /**
   * Claims a key for a request that this daemon is about to run.
   *
   * @return empty if the key is now claimed, else the record that stands in the way
   */
  public Optional<Entry> claim(String key, Claimant claimant, Instant now) {
    Entry fresh = running(key, claimant, now);
    Entry seen = entries.putIfAbsent(key, fresh);
    boolean claimed =
        seen == null || seen.expiresAt().isBefore(now) && entries.replace(key, seen, fresh);
    return claimed ? Optional.empty() : Optional.of(seen);
  }

  /**
   * Grants a claim made at another replica. A claim repeated by the same claimant is granted again.
   *
   * @return empty if granted, else the record that stands in the way
   */
  public Optional<Entry> grant(String key, Claimant claimant, Instant now) {
    return claim(key, claimant, now)
        .filter(held -> held.state() != State.RUNNING || !held.claimant().equals(claimant));
  }

  private Entry running(String key, Claimant claimant, Instant now) {
    return new Entry(key, State.RUNNING, claimant, 0, "", new byte[0], now.plus(retention));
  }

  /** Records the answer of a key that ran, and returns the record to replicate. */
  public Entry complete(
      String key, Claimant claimant, int status, String contentType, byte[] body, Instant now) {
    Entry done =
        new Entry(key, State.DONE, claimant, status, contentType, body, now.plus(retention));
    entries.put(key, done);
    return done;
  }

  /** Records that a key's outcome is unknown, and returns the record to replicate. */
  public Entry markUnknown(String key, Claimant claimant, Instant now) {
    Entry unknown =
        new Entry(key, State.UNKNOWN, claimant, 0, "", new byte[0], now.plus(retention));
    return entries.merge(key, unknown, (held, theirs) -> theirs.supersedes(held) ? theirs : held);
  }

  /** Forgets a claim whose request was refused before any endpoint received it. */
  public void release(String key, Claimant claimant) {
    entries.computeIfPresent(
        key, (k, e) -> e.state() == State.RUNNING && e.claimant().equals(claimant) ? null : e);
  }

  /** Merges a record replicated from another replica, keeping the more advanced state. */
  public void merge(Entry replicated, Instant now) {
    entries.merge(
        replicated.key(),
        replicated.withExpiry(now.plus(retention)),
        (mine, theirs) -> theirs.supersedes(mine) ? theirs : mine);
  }

  /** Returns the record of a key, if any. */
  public Optional<Entry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Returns every record held. */
  public Collection<Entry> all() {
    return List.copyOf(entries.values());
  }

  /** Drops records past their retention. */
  public void expire(Instant now) {
    entries.values().removeIf(e -> e.expiresAt().isBefore(now));
  }

  /** Returns the number of records held. */
  public int size() {
    return entries.size();
  }
}
