package org.lacewingcroft.peer;

/**
 * The description of a daemon that its peers receive.
 *
 * @param nodeId the daemon's unique id, from {@code --node-id}
 * @param role {@code entry} or {@code control}
 * @param region its region
 * @param failureDomain its failure domain
 * @param peerAddress the address of its peer transport, {@code host:port}
 * @param httpAddress the address of its HTTP API, {@code host:port}
 * @param incarnation the start time of its process, in milliseconds, which increases with each
 *     restart
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
