package org.lacewingcroft.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The at-most-once record of non-idempotent requests kept by a key's owner gateway: for each
 * idempotency key whether it is running, done (with the answer to replay) or of unknown outcome.
 *
 * <p>A key is admitted to run once; a resend while it runs is told it is in progress, a resend
 * after it is done gets the same answer, and a resend after an ambiguous failure is told the
 * outcome is unknown rather than run again. Only a request refused before any endpoint received it
 * is released, so that a retry may run it. Records expire after the retention period.
 */
public final class IdempotencyTable {
  /** The state of one key. */
  public enum State {
    /** Admitted and dispatched (or about to be); no answer yet. */
    RUNNING,
    /** Answered; the answer is kept for replay. */
    DONE,
    /** Dispatched and failed in a way that leaves the outcome unknown. */
    UNKNOWN
  }

  /**
   * One key's record.
   *
   * @param key the idempotency key, prefixed by the organisation
   * @param state its state
   * @param status the HTTP status of the answer, when done
   * @param contentType the answer's content type, when done
   * @param body the answer's bytes, when done
   * @param expiresAt when the record is forgotten
   */
  public record Entry(
      String key, State state, int status, String contentType, byte[] body, Instant expiresAt) {
    /** Copies the body so the record is immutable. */
    public Entry {
      body = body.clone();
    }

    /** Returns whether this record is at least as advanced as the other. */
    boolean supersedes(Entry other) {
      return state.ordinal() >= other.state.ordinal();
    }
  }

  /** What the owner should do with a request for a key. */
  public enum Admission {
    /** First time seen: run it. */
    RUN,
    /** Done before: replay the stored answer. */
    REPLAY,
    /** Running now: tell the caller to come back. */
    IN_PROGRESS,
    /** Failed ambiguously before: tell the caller the outcome is unknown. */
    UNKNOWN
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

  /** Admits a key at the given time; only one caller ever gets {@link Admission#RUN}. */
  public Admission admit(String key, Instant now) {
    Entry fresh = new Entry(key, State.RUNNING, 0, "", new byte[0], now.plus(retention));
    Entry seen = entries.putIfAbsent(key, fresh);
    if (seen == null || seen.expiresAt().isBefore(now) && entries.replace(key, seen, fresh)) {
      return Admission.RUN;
    }
    return switch (seen.state()) {
      case RUNNING -> Admission.IN_PROGRESS;
      case DONE -> Admission.REPLAY;
      case UNKNOWN -> Admission.UNKNOWN;
    };
  }

  /** Records the answer of a key that ran, and returns the record to replicate. */
  public Entry complete(String key, int status, String contentType, byte[] body, Instant now) {
    Entry done = new Entry(key, State.DONE, status, contentType, body, now.plus(retention));
    entries.put(key, done);
    return done;
  }

  /** Records that a key's outcome is unknown, and returns the record to replicate. */
  public Entry markUnknown(String key, Instant now) {
    Entry unknown = new Entry(key, State.UNKNOWN, 0, "", new byte[0], now.plus(retention));
    entries.put(key, unknown);
    return unknown;
  }

  /** Forgets a key that was refused before any endpoint received it, so a retry may run. */
  public void release(String key) {
    entries.computeIfPresent(key, (k, e) -> e.state() == State.RUNNING ? null : e);
  }

  /** Merges a record replicated from the key's owner, keeping the more advanced state. */
  public void merge(Entry replicated) {
    entries.merge(
        replicated.key(), replicated, (mine, theirs) -> theirs.supersedes(mine) ? theirs : mine);
  }

  /** Returns the record of a key, if any. */
  public Optional<Entry> get(String key) {
    return Optional.ofNullable(entries.get(key));
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
