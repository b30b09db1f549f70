package org.lacewingcroft.membership;

/**
 * A heartbeat of a daemon, relayed by gossip.
 *
 * @param nodeId the daemon's node id
 * @param incarnation the start time of its process in milliseconds
 * @param counter incremented by the daemon in every gossip interval
 * @param draining whether it is shutting down and accepts no new requests
 */
public record Heartbeat(String nodeId, long incarnation, long counter, boolean draining) {

  /** Returns whether this heartbeat is newer than the other. */
  boolean newerThan(Heartbeat other) {
    return incarnation > other.incarnation
        || incarnation == other.incarnation && counter > other.counter;
  }
}
