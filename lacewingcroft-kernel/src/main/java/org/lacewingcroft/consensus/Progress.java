package org.lacewingcroft.consensus;

/** What a leader knows of one follower. */
final class Progress {
  long nextIndex;
  long matchIndex;
  long sentCommitIndex;
  long session;
  boolean voter;
  boolean awaitingResponse;
  long lastSentMillis;
  long lastHeardMillis;

  Progress(long nextIndex, long nowMillis) {
    this.nextIndex = nextIndex;
    this.lastHeardMillis = nowMillis;
  }
}
