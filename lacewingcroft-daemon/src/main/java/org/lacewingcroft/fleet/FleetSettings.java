package org.lacewingcroft.fleet;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.placement.PlacementMechanism;

/**
 * The settings of one instance of a fleet, of either role.
 *
 * @param nodeName the instance's name
 * @param ip the address at which other instances reach it
 * @param region its region
 * @param failureDomain its failure domain
 * @param regionByDomain the region of each failure domain of the deployment
 * @param peerPort the port of the peer transport, the same on all instances
 * @param relayPort the port at which entries accept relayed requests from each other
 * @param seedPeers peer addresses of some control instances
 * @param dataDir the data folder, present for control instances
 * @param firstStart whether the deployment starts for the first time
 * @param toleratedFailures number of control instances that may fail at the same time
 * @param upstreamBindAddress the local address of an entry's connections to endpoints and other
 *     entries; empty for the one that the operating system selects
 * @param endpointHeartbeat interval at which endpoints announce themselves
 * @param bounds the bounds that the deployment guarantees
 * @param capacity the resources of the instance's machine; empty if the settings do not state them
 * @param activeEntriesMode whether the directory lists all entries of a large region
 * @param disabledMechanisms placement mechanisms that are disabled
 * @param secret the shared secret of the peer transport
 */
public record FleetSettings(
    String nodeName,
    String ip,
    String region,
    String failureDomain,
    Map<String, String> regionByDomain,
    int peerPort,
    int relayPort,
    List<String> seedPeers,
    Optional<Path> dataDir,
    boolean firstStart,
    int toleratedFailures,
    Optional<String> upstreamBindAddress,
    Duration endpointHeartbeat,
    FleetBounds bounds,
    Optional<EntryCapacity> capacity,
    ActiveEntriesMode activeEntriesMode,
    Set<PlacementMechanism> disabledMechanisms,
    byte[] secret) {

  /** Copies the collections and the secret so that the settings are immutable. */
  public FleetSettings {
    regionByDomain = Map.copyOf(regionByDomain);
    seedPeers = List.copyOf(seedPeers);
    disabledMechanisms = Set.copyOf(disabledMechanisms);
    secret = secret.clone();
  }

  /** Returns whether an entry with these settings reports its pressure. */
  public boolean reportsPressure() {
    return activeEntriesMode == ActiveEntriesMode.AUTO && capacity.isPresent();
  }

  /** Returns this instance's address on the peer transport. */
  public String peerAddress() {
    return ip + ":" + peerPort;
  }

  /** Returns this instance's address for requests relayed by other entries. */
  public String relayAddress() {
    return ip + ":" + relayPort;
  }

  /** Returns whether a failure domain belongs to this instance's region. */
  public boolean inOwnRegion(String domain) {
    return regionOf(domain).filter(region::equals).isPresent();
  }

  /** Returns the region of a failure domain, if the deployment lists it. */
  public Optional<String> regionOf(String domain) {
    return Optional.ofNullable(regionByDomain.get(domain));
  }
}
