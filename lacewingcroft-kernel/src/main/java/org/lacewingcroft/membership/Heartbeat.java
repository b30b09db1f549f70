package org.lacewingcroft.membership;

/**
 * A sign of life of a daemon, passed on by gossip.
 *
 * @param nodeId the daemon
 * @param incarnation the start of its process
 * @param counter raised by the daemon itself in every interval
 * @param draining true while it shuts down gracefully and takes no new work
 */
public record Heartbeat(String nodeId, long incarnation, long counter, boolean draining) {

  /** Returns whether this was given after the other. */
  boolean newerThan(Heartbeat other) {
    return incarnation > other.incarnation
        || incarnation == other.incarnation && counter > other.counter;
  }
}
