package org.lacewingcroft.consensus;

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

  /** Updates the progress with a follower's response to a leader with the given commit index. */
  void onResponse(
      ConsensusMessage.AppendResponse response, long leaderCommitIndex, long nowMillis) {
    boolean wasSilent = nowMillis - lastResponseMillis >= timing.electionTimeoutMillis();
    boolean restarted = response.session() != session;
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
