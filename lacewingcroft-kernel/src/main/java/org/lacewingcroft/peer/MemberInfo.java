package org.lacewingcroft.peer;

/**
 * How a daemon describes itself to its peers.
 *
 * @param nodeId the daemon's unique id, from {@code --node-id}
 * @param role {@code entry} or {@code control}
 * @param region its region
 * @param failureDomain its failure domain
 * @param peerAddress where its peer transport listens, {@code host:port}
 * @param httpAddress where its HTTP API listens, {@code host:port}
 * @param incarnation start time of the process in milliseconds; a restart raises it
 */
public record MemberInfo(
    String nodeId,
    String role,
    String region,
    String failureDomain,
    String peerAddress,
    String httpAddress,
    long incarnation) {
  /** The role of entry daemons. */
  public static final String ENTRY = "entry";

  /** The role of control daemons. */
  public static final String CONTROL = "control";
}
