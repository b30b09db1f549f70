package org.lacewingcroft.consensus;

import java.util.Optional;

/**
 * Determines from the messages of a leader whether its group has a quorum without the instance that
 * receives them and does not respond.
 *
 * <p>A leader to which no quorum responds steps down within twice the election timeout. If one
 * leader has sent messages in one term for longer than that, a quorum of the other members has
 * responded to it. One more timeout allows for responses that an earlier process of the instance
 * sent before it ended.
 *
 * <p>Not thread-safe.
 */
public final class QuorumObservation {
  private static final int ELECTION_TIMEOUTS = 3;

  private final ConsensusTiming timing;
  private Optional<String> leader = Optional.empty();
  private long term;
  private long firstMessageMillis;

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
   * @param from the member
   * @param message the message
   * @param nowMillis the current reading of the monotonic clock, in milliseconds
   * @return whether the messages so far show that the group has a quorum without this instance
   */
  public boolean onMessage(String from, ConsensusMessage message, long nowMillis) {
    boolean fromLeader =
        message instanceof ConsensusMessage.AppendRequest
            || message instanceof ConsensusMessage.SnapshotRequest;
    if (!fromLeader || message.term() < term) {
      return false;
    }
    if (message.term() > term || leader.isEmpty()) {
      term = message.term();
      leader = Optional.of(from);
      firstMessageMillis = nowMillis;
    }
    return nowMillis - firstMessageMillis > ELECTION_TIMEOUTS * timing.electionTimeoutMillis();
  }
}
