package org.lacewingcroft.consensus;

/**
 * Determines from the messages of a leader whether its group works without the instance that
 * receives them and does not respond.
 *
 * <p>A leader to which no quorum of voters responds steps down within twice the election timeout.
 * If one leader has sent messages in one term without interruption for longer than that, a quorum
 * has responded to it. One more timeout allows for responses that an earlier process of the
 * instance sent before it ended. An interruption of an election timeout ends the observation,
 * because a message may have been delayed since the leader stepped down.
 *
 * <p>Not thread-safe.
 */
public final class QuorumObservation {
  private static final int ELECTION_TIMEOUTS = 3;

  private final ConsensusTiming timing;
  private long term = -1;
  private long firstMessageMillis;
  private long lastMessageMillis = Long.MIN_VALUE / 2;

  /**
   * Creates an observation without messages.
   *
   * @param timing the group's intervals and timeouts
   */
  public QuorumObservation(ConsensusTiming timing) {
    this.timing = timing;
  }

  /**
   * Records a message of another member.
   *
   * @param message the message
   * @param nowMillis the current reading of the monotonic clock, in milliseconds
   * @return whether the messages so far show a quorum without this instance
   */
  public boolean onMessage(ConsensusMessage message, long nowMillis) {
    boolean fromLeader =
        message instanceof ConsensusMessage.AppendRequest
            || message instanceof ConsensusMessage.SnapshotRequest;
    if (!fromLeader || message.term() < term) {
      return false;
    }
    boolean interrupted = nowMillis - lastMessageMillis > timing.electionTimeoutMillis();
    if (message.term() > term || interrupted) {
      term = message.term();
      firstMessageMillis = nowMillis;
    }
    lastMessageMillis = nowMillis;
    return nowMillis - firstMessageMillis > ELECTION_TIMEOUTS * timing.electionTimeoutMillis();
  }
}
