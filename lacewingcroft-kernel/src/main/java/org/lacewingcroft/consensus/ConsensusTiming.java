package org.lacewingcroft.consensus;

/**
 * Timing parameters of the control group; durations are in milliseconds of a monotonic clock.
 *
 * @param heartbeatIntervalMillis maximum time between two messages of a leader to the same follower
 * @param electionTimeoutMillis minimum time without a message from the leader before a follower
 *     starts an election; the actual timeout is drawn at random between this value and twice this
 *     value, so that two members rarely start elections at the same time
 */
public record ConsensusTiming(long heartbeatIntervalMillis, long electionTimeoutMillis) {
  /**
   * Suitable for regions with tens of milliseconds of delay between them: a lost leader is replaced
   * within about 2 s.
   */
  public static final ConsensusTiming DEFAULT = new ConsensusTiming(150, 800);
}
