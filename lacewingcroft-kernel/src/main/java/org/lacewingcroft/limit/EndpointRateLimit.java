package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The request rate that an endpoint accepts from all entries together, as advertised in its
 * responses, and this entry's share of it.
 *
 * <p>Designed for an overloaded endpoint that looks idle because it accepts one request per second
 * or less: many entries see free capacity there at the same moment. Load reports between entries
 * arrive too late to prevent that, so each sending entry has a fixed share of the rate. A share of
 * 1/32 of a low rate would be one request per half minute, and 32 entries that may each send one at
 * any time produce a burst. Therefore only a few of the entries send, more of them at a higher
 * rate, and the others receive the advertised limit from them.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class EndpointRateLimit {
  /** Number of senders at a rate near zero; each request per second of the rate adds one. */
  private static final int MIN_SENDERS = 2;

  private static final int MAX_SENDERS = 1_000;

  /**
   * Lower bound of the rate that is shared, so that requests continue to be sent: only their
   * responses advertise a raised limit.
   */
  private static final double MIN_REQUESTS_PER_SECOND = 0.2;

  /** Time for which an unused share accumulates if that amounts to more than one request. */
  private static final double BURST_SECONDS = 0.5;

  /** How long the removal of a limit is reported to the other entries. */
  private static final Duration LIMIT_REMOVAL_REPORT_TTL = Duration.ofSeconds(10);

  /**
   * How long a limit is valid after a response advertised it; afterwards any entry may send a trial
   * request.
   */
  private static final Duration LIMIT_TTL = Duration.ofSeconds(15);

  /** Retry delay returned by an entry that is not a sender. */
  private static final Duration NON_SENDER_RETRY_DELAY = Duration.ofSeconds(1);

  private static final double NANOS_PER_SECOND = 1e9;

  private OptionalDouble perSecond = OptionalDouble.empty();
  private Instant advertisedAt = Instant.EPOCH;
  private Instant confirmedAt = Instant.EPOCH;
  private Optional<Instant> receivedInResponseAt = Optional.empty();
  private Instant lastSentAt = Instant.EPOCH;
  private double availableRequests;
  private Instant lastRefillAt = Instant.EPOCH;

  /**
   * The limit advertised in the responses to one entry, as reported to the other entries.
   *
   * @param perSecond the limit in requests per second, empty if none was advertised
   * @param age the time since the entry received the last such response
   */
  public record Report(OptionalDouble perSecond, Duration age) {}

  /** Returns the limit in requests per second; empty if the endpoint advertises none. */
  public OptionalDouble perSecond() {
    return perSecond;
  }

  /**
   * Applies the limit advertised in a response. A response without a limit removes the limit only
   * if its request was sent after the limit was last advertised, because responses on different
   * connections can overtake each other.
   *
   * @param advertised the limit in requests per second, empty if the response advertises none
   * @param requestSentAt when the request of this response was sent
   * @return whether this changes the limit
   */
  public boolean updateFromResponse(OptionalDouble advertised, Instant requestSentAt, Instant now) {
    if (advertised.isEmpty() && (perSecond.isEmpty() || !requestSentAt.isAfter(advertisedAt))) {
      return false;
    }
    receivedInResponseAt = Optional.of(now);
    return setLimit(advertised, now, now);
  }

  /**
   * Applies another entry's report unless the recorded limit is newer.
   *
   * @return whether this changes the limit
   */
  public boolean updateFromPeer(Report report, Instant now) {
    Instant reportedAt = now.minus(report.age());
    if (!reportedAt.isAfter(advertisedAt)) {
      return false;
    }
    boolean changed = !report.perSecond().equals(perSecond);
    if (changed) {
      receivedInResponseAt = Optional.empty();
    }
    return setLimit(report.perSecond(), reportedAt, now);
  }

  private boolean setLimit(OptionalDouble newLimit, Instant at, Instant now) {
    final boolean changed = !newLimit.equals(perSecond);
    if (perSecond.isEmpty()) {
      availableRequests = 0;
      lastRefillAt = now;
    }
    perSecond = newLimit;
    advertisedAt = at;
    confirmedAt = at;
    return changed;
  }

  /**
   * Returns the limit, or its removal, to report to the other entries; empty if this entry has not
   * received it in a response recently.
   */
  public Optional<Report> report(Instant now) {
    Duration ttl = perSecond.isPresent() ? LIMIT_TTL : LIMIT_REMOVAL_REPORT_TTL;
    return receivedInResponseAt
        .filter(at -> at.plus(ttl).isAfter(now))
        .map(at -> new Report(perSecond, Duration.between(at, now)));
  }

  /** Returns the maximum number of entries that send to the endpoint under the advertised limit. */
  public int maxSenders() {
    double rate = perSecond.orElse(MAX_SENDERS);
    return (int) Math.min(MAX_SENDERS, MIN_SENDERS + rate);
  }

  /**
   * Returns whether the limit allows this entry to send one more request now.
   *
   * @param senders the number of entries that share the rate; 0 if this entry is not one of them
   */
  public boolean admits(int senders, Instant now) {
    if (perSecond.isEmpty() || isTrialDue(now)) {
      return true;
    }
    refill(senders, now);
    return availableRequests >= 1;
  }

  /**
   * Returns whether a trial request is due: for {@link #LIMIT_TTL}, no response has confirmed the
   * limit and this entry has not sent a request.
   */
  private boolean isTrialDue(Instant now) {
    Instant lastActivity = confirmedAt.isAfter(lastSentAt) ? confirmedAt : lastSentAt;
    return !lastActivity.plus(LIMIT_TTL).isAfter(now);
  }

  /**
   * Returns the delay until the limit allows one more request of this entry, or of the entries that
   * share the rate if this entry is not one of them.
   *
   * @param senders the number of entries that share the rate; 0 if this entry is not one of them
   */
  public Duration untilAdmitted(int senders, Instant now) {
    if (admits(senders, now)) {
      return Duration.ZERO;
    }
    if (senders == 0) {
      return NON_SENDER_RETRY_DELAY;
    }
    double seconds = (1 - availableRequests) / share(senders);
    return Duration.ofNanos((long) Math.ceil(seconds * NANOS_PER_SECOND));
  }

  private double share(int senders) {
    return Math.max(MIN_REQUESTS_PER_SECOND, perSecond.orElseThrow()) / senders;
  }

  /**
   * Adds this entry's share of the rate since the last refill. An entry that becomes a sender
   * starts at zero, because the entry that it replaces may have sent a request just before.
   */
  private void refill(int senders, Instant now) {
    double seconds = Math.max(0, Duration.between(lastRefillAt, now).toNanos() / NANOS_PER_SECOND);
    lastRefillAt = now;
    if (senders == 0) {
      availableRequests = 0;
      return;
    }
    double share = share(senders);
    availableRequests =
        Math.min(Math.max(1, share * BURST_SECONDS), availableRequests + seconds * share);
  }

  /** Records that this entry sends a request to the endpoint. */
  public void recordSend(Instant now) {
    lastSentAt = now;
    availableRequests = Math.max(0, availableRequests - 1);
  }
}
