package org.lacewingcroft.fleet;

/**
 * The name, location and addresses of an entry instance, as it reports them.
 *
 * @param name the instance's name
 * @param region its region
 * @param failureDomain its failure domain
 * @param publicAddress its address for callers, {@code ip:port}
 * @param peerAddress its address on the peer transport, {@code ip:port}
 * @param relayAddress its address for requests relayed by other entries, {@code ip:port}
 */
public record EntryInfo(
    String name,
    String region,
    String failureDomain,
    String publicAddress,
    String peerAddress,
    String relayAddress) {}
