package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The rate of requests that an endpoint takes from all entries together, as its answers state it,
 * and this entry's part of it.
 *
 * <p>The load that this answers is an endpoint in need that looks idle: it takes a request a second
 * or less, and many entries see room there at the same moment. News between entries are older than
 * that moment, so each keeps a fixed share. A share of 1 in 32 of a low rate would be one request
 * in half a minute, and 32 entries that each may send one at any time are a burst; so only a few of
 * the entries send, the more the higher the rate, and the others learn from them what the endpoint
 * states.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class EndpointRateLimit {
  /** Entries that send to an endpoint that takes hardly anything; one more for each a second. */
  private static final int LEAST_SENDERS = 2;

  private static final int MOST_SENDERS = 1_000;

  /** The rate kept at least: only answers tell that the endpoint takes more again. */
  private static final double LEAST_PER_SECOND = 0.2;

  /** Time for which an unused share is kept, at a rate at which that is more than a request. */
  private static final double BURST_SECONDS = 0.5;

  /** For how long the others are told that a limit has ended. */
  private static final Duration END_TOLD = Duration.ofSeconds(10);

  /** A limit that no answer has confirmed for this long is tried by a request of any entry. */
  private static final Duration CONFIRMED = Duration.ofSeconds(15);

  private static final Duration PAUSE_OF_OTHERS = Duration.ofSeconds(1);
  private static final double NANOS_PER_SECOND = 1e9;

  private OptionalDouble perSecond = OptionalDouble.empty();
  private Instant statedAt = Instant.EPOCH;
  private Instant confirmedAt = Instant.EPOCH;
  private Optional<Instant> readAt = Optional.empty();
  private Instant sentAt = Instant.EPOCH;
  private double requests;
  private Instant filledAt = Instant.EPOCH;

  /** What an endpoint has stated to one entry, as that entry tells the others. */
  public record Report(OptionalDouble perSecond, Duration age) {}

  /** Returns the requests a second that the endpoint takes; empty if it states no limit. */
  public OptionalDouble perSecond() {
    return perSecond;
  }

  /**
   * Takes what an answer states. One without a limit ends the limit only if its request was sent
   * after the limit was last stated: answers on different connections overtake each other.
   *
   * @param stated the limit in requests a second, empty if the answer states none
   * @param requestSentAt when the answer's request was sent
   * @return whether this changes the limit
   */
  public boolean updateFromResponse(OptionalDouble stated, Instant requestSentAt, Instant now) {
    if (stated.isEmpty() && (perSecond.isEmpty() || !requestSentAt.isAfter(statedAt))) {
      return false;
    }
    readAt = Optional.of(now);
    return take(stated, now, now);
  }

  /**
   * Takes what another entry tells of its answers.
   *
   * @return whether this changes the limit
   */
  public boolean updateFromPeer(Report statement, Instant now) {
    Instant at = now.minus(statement.age());
    if (!at.isAfter(statedAt)) {
      return false;
    }
    boolean changes = !statement.perSecond().equals(perSecond);
    if (changes) {
      readAt = Optional.empty();
    }
    return take(statement.perSecond(), at, now);
  }

  private boolean take(OptionalDouble newer, Instant at, Instant now) {
    final boolean changed = !newer.equals(perSecond);
    if (perSecond.isEmpty()) {
      requests = 0;
      filledAt = now;
    }
    perSecond = newer;
    statedAt = at;
    confirmedAt = at;
    return changed;
  }

  /** Returns what the other entries are to be told of this entry's answers. */
  public Optional<Report> report(Instant now) {
    Duration worth = perSecond.isPresent() ? CONFIRMED : END_TOLD;
    return readAt
        .filter(at -> at.plus(worth).isAfter(now))
        .map(at -> new Report(perSecond, Duration.between(at, now)));
  }

  /** Returns how many entries send to the endpoint while it states a limit. */
  public int maxSenders() {
    double rate = perSecond.orElse(MOST_SENDERS);
    return (int) Math.min(MOST_SENDERS, LEAST_SENDERS + rate);
  }

  /**
   * Returns whether the endpoint takes one more request of this entry now.
   *
   * @param senders how many entries share the rate; 0 if this entry is none of them
   */
  public boolean admits(int senders, Instant now) {
    if (perSecond.isEmpty() || isTrialDue(now)) {
      return true;
    }
    fill(senders, now);
    return requests >= 1;
  }

  /** Returns whether nobody has found out for long whether the limit still stands. */
  private boolean isTrialDue(Instant now) {
    Instant since = confirmedAt.isAfter(sentAt) ? confirmedAt : sentAt;
    return !since.plus(CONFIRMED).isAfter(now);
  }

  /**
   * Returns how long it takes until the endpoint takes one more request of this entry, or of the
   * entries that share its rate.
   *
   * @param senders as for {@link #admits}
   */
  public Duration untilAdmitted(int senders, Instant now) {
    if (admits(senders, now)) {
      return Duration.ZERO;
    }
    if (senders == 0) {
      return PAUSE_OF_OTHERS;
    }
    double seconds = (1 - requests) / share(senders);
    return Duration.ofNanos((long) Math.ceil(seconds * NANOS_PER_SECOND));
  }

  private double share(int senders) {
    return Math.max(LEAST_PER_SECOND, perSecond.orElseThrow()) / senders;
  }

  /** An entry that begins to send begins with nothing: another may just have sent in its place. */
  private void fill(int senders, Instant now) {
    double seconds = Math.max(0, Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND);
    filledAt = now;
    if (senders == 0) {
      requests = 0;
      return;
    }
    double share = share(senders);
    requests = Math.min(Math.max(1, share * BURST_SECONDS), requests + seconds * share);
  }

  /** Notes that this entry sends a request to the endpoint. */
  public void recordSend(Instant now) {
    sentAt = now;
    requests = Math.max(0, requests - 1);
  }
}
