package org.lacewingcroft.consensus;

/** The replication progress of one follower, as tracked by the leader. */
final class Progress {
  long nextIndex;
  long matchIndex;
  long sentCommitIndex;
  long session;
  boolean voter;
  boolean awaitingResponse;
  long lastSentMillis;
  long lastResponseMillis;

  Progress(long nextIndex, long nowMillis) {
    this.nextIndex = nextIndex;
    this.lastResponseMillis = nowMillis;
  }
}
