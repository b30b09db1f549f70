package org.lacewingcroft.fleet;

/**
 * An entry instance as it describes itself.
 *
 * @param name the instance's name
 * @param region its region
 * @param failureDomain its failure domain
 * @param publicAddress where callers reach it, {@code ip:port}
 * @param peerAddress its peer transport
 * @param relayAddress where other entries send it requests
 */
public record EntryInfo(
    String name,
    String region,
    String failureDomain,
    String publicAddress,
    String peerAddress,
    String relayAddress) {}
