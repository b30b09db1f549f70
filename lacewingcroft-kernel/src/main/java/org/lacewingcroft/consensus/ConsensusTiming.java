package org.lacewingcroft.consensus;

/**
 * Timeouts of the control group, in milliseconds of a steady clock.
 *
 * @param heartbeatMillis how often a leader sends to each follower at least
 * @param electionMillis silence of the leader after which a follower campaigns; the actual timeout
 *     is drawn between this and twice this, so that two members rarely campaign at once
 * @param compactAfterEntries entries behind the snapshot at which the log is compacted
 */
public record ConsensusTiming(long heartbeatMillis, long electionMillis, int compactAfterEntries) {
  /** Fits regions tens of milliseconds apart: a lost leader is replaced within about 2 s. */
  public static final ConsensusTiming DEFAULT = new ConsensusTiming(150, 800, 256);
}
