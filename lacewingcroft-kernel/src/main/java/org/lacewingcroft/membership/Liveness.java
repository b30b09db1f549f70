package org.lacewingcroft.membership;

/**
 * A sign of life of a daemon, passed on by gossip.
 *
 * @param nodeId the daemon
 * @param incarnation the start of its process
 * @param counter raised by the daemon itself in every interval
 * @param leaving true while it shuts down gracefully and takes no new work
 */
public record Liveness(String nodeId, long incarnation, long counter, boolean leaving) {

  /** Returns whether this was given after the other. */
  boolean newerThan(Liveness other) {
    return incarnation > other.incarnation
        || incarnation == other.incarnation && counter > other.counter;
  }
}
