package org.lacewingcroft.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * The replication progress of one follower, as tracked by the leader.
 *
 * <p>At most one message with entries or a snapshot is in flight to a follower, so that a slow link
 * does not carry the same data again and again. It is repeated only while the follower responds to
 * heartbeats, after a time that allows for its size. That time is doubled with each repetition and
 * halved with each message that arrives without one.
 *
 * <p>A follower counts as caught up if it stores what the leader had committed a short time ago. It
 * rarely stores all of it while changes follow one another, because each takes time to arrive.
 */
final class Progress {
  /** Lowest throughput that the first repetition allows for. */
  private static final long MIN_BYTES_PER_MILLI = 1_000;

  private static final int MAX_BACKOFF = 8;

  private static final int MAX_UNCONFIRMED_RESPONSES = 16;

  /**
   * A response of the follower.
   *
   * @param receivedMillis when it was received, by the leader's clock
   * @param sentAtMillis when it was sent, by the follower's clock
   */
  private record Response(long receivedMillis, long sentAtMillis) {}

  private final ConsensusTiming timing;
  long nextIndex;
  long matchIndex;
  long sentCommitIndex;
  long session;
  boolean voter;
  boolean awaitingResponse;
  long lastSentMillis;
  long lastResponseMillis;
  long lastVoterResponseMillis;

  /** When the newest request was sent that the follower has acknowledged as a voter. */
  long acknowledgedMillis = Long.MIN_VALUE;

  /** The responses received since leadership was last confirmed, oldest first. */
  private final Deque<Response> unconfirmed = new ArrayDeque<>();

  private OptionalLong currentAtMillis = OptionalLong.empty();
  private long inFlightIndex;
  private long inFlightSentMillis;
  private boolean repeated;
  private int backoff = 1;
  private long retryMillis;
  private long roundEndIndex;
  private long roundStartMillis;
  private long lastRoundMillis = Long.MAX_VALUE;

  Progress(long nextIndex, ConsensusTiming timing, long nowMillis) {
    this.nextIndex = nextIndex;
    this.timing = timing;
    this.lastResponseMillis = nowMillis;
    this.lastVoterResponseMillis = nowMillis;
    this.roundEndIndex = nextIndex - 1;
    this.roundStartMillis = nowMillis;
  }

  /** Returns whether entries or a snapshot may be sent now. */
  boolean canSendData(long nowMillis) {
    boolean responsive = nowMillis - lastResponseMillis < timing.electionTimeoutMillis();
    boolean due = nowMillis - inFlightSentMillis >= retryMillis;
    return inFlightIndex == 0 || responsive && due;
  }

  /**
   * Records that entries or a snapshot have been sent.
   *
   * @param lastIndex index of the last entry sent or covered by the snapshot
   * @param sizeBytes their encoded size
   */
  void dataSent(long lastIndex, long sizeBytes, long nowMillis) {
    repeated = inFlightIndex != 0;
    if (repeated) {
      backoff = Math.min(2 * backoff, MAX_BACKOFF);
    }
    inFlightIndex = lastIndex;
    inFlightSentMillis = nowMillis;
    retryMillis = backoff * (timing.heartbeatIntervalMillis() + sizeBytes / MIN_BYTES_PER_MILLI);
  }

  /**
   * Returns whether the follower has stored the entries that were committed when the last round of
   * replication began, and that round and the current one are shorter than an election timeout.
   */
  boolean isCaughtUp(long nowMillis) {
    return lastRoundMillis < timing.electionTimeoutMillis()
        && nowMillis - roundStartMillis < timing.electionTimeoutMillis();
  }

  /**
   * Returns a time by the follower's clock up to which the leader knows everything that the group
   * has committed: when the follower sent the newest of its responses that the leader received no
   * later than at the given time.
   *
   * @param leadershipConfirmedMillis a time by the leader's clock at which no other member led a
   *     later term
   */
  OptionalLong currentAtMillis(long leadershipConfirmedMillis) {
    while (!unconfirmed.isEmpty()
        && unconfirmed.getFirst().receivedMillis() <= leadershipConfirmedMillis) {
      currentAtMillis = OptionalLong.of(unconfirmed.removeFirst().sentAtMillis());
    }
    return currentAtMillis;
  }

  private void recordTimes(ConsensusMessage.AppendResponse response, long nowMillis) {
    if (response.session() != session) {
      unconfirmed.clear();
      currentAtMillis = OptionalLong.empty();
    }
    if (response.voter() && response.requestSentAtMillis().isPresent()) {
      acknowledgedMillis = Math.max(acknowledgedMillis, response.requestSentAtMillis().getAsLong());
    }
    if (response.sentAtMillis().isPresent() && unconfirmed.size() < MAX_UNCONFIRMED_RESPONSES) {
      unconfirmed.addLast(new Response(nowMillis, response.sentAtMillis().getAsLong()));
    }
  }

  /** Updates the progress with a follower's response to a leader with the given commit index. */
  void onResponse(
      ConsensusMessage.AppendResponse response, long leaderCommitIndex, long nowMillis) {
    boolean wasSilent = nowMillis - lastResponseMillis >= timing.electionTimeoutMillis();
    boolean restarted = response.session() != session;
    recordTimes(response, nowMillis);
    boolean arrived = response.matchIndex() >= inFlightIndex;
    if (arrived && inFlightIndex != 0 && !repeated) {
      backoff = Math.max(1, backoff / 2);
    }
    if (wasSilent || restarted || arrived || !response.accepted()) {
      inFlightIndex = 0;
    }
    lastResponseMillis = nowMillis;
    awaitingResponse = false;
    voter = response.voter();
    if (voter) {
      lastVoterResponseMillis = nowMillis;
    }
    session = response.session();
    if (response.accepted()) {
      matchIndex = Math.max(matchIndex, response.matchIndex());
      nextIndex = matchIndex + 1;
    } else {
      nextIndex = Math.max(1, Math.min(nextIndex - 1, response.matchIndex() + 1));
      matchIndex = Math.min(matchIndex, nextIndex - 1);
    }
    if (matchIndex >= roundEndIndex) {
      lastRoundMillis = nowMillis - roundStartMillis;
      roundStartMillis = nowMillis;
      roundEndIndex = leaderCommitIndex;
    }
  }
}
