package org.lacewingcroft.daemon;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.routing.RoutingPolicies;

/**
 * The daemon's checked settings. Built from flags and environment variables by {@link Main} and
 * checked by {@link #check()}, which throws a {@link SettingsException} naming the flag.
 *
 * @param role entry or control
 * @param nodeId unique id of this daemon, used in logs and membership
 * @param region the region it runs in
 * @param failureDomain the failure domain inside the region
 * @param host the loopback or private address to listen on and advertise
 * @param httpPort HTTP port; 0 picks a free one
 * @param peerPort peer transport port; 0 picks a free one
 * @param peers seed peer addresses {@code host:port}, at least one control daemon's for entries
 * @param dataDir the data folder (control role only): the configuration log lives here
 * @param controlGroup node ids of the control group (control role only); empty means this node
 *     alone
 * @param bootstrap true on the deployment's first start only: an empty data folder may then vote
 * @param faultInjection whether {@code POST /v1/faults} may cut and delay links, for experiments
 * @param secret the shared secret authenticating peer frames, at least 16 bytes
 * @param routingPolicy the routing policy's name
 * @param maxBodyBytes largest caller request body accepted
 * @param maxInFlight requests in flight at which an entry refuses further ones
 * @param hedgeAfter how long an idempotent request waits before it is sent to a second endpoint;
 *     zero for never
 * @param endpointLease how long an endpoint's announcement lasts without a heartbeat
 * @param heartbeatInterval how often daemons send heartbeats to each other
 * @param drainTimeout how long a graceful shutdown waits for requests in flight
 * @param portFile where to write the chosen ports as JSON once listening, if set
 */
public record Settings(
    Role role,
    String nodeId,
    String region,
    String failureDomain,
    String host,
    int httpPort,
    int peerPort,
    List<String> peers,
    Optional<Path> dataDir,
    List<String> controlGroup,
    boolean bootstrap,
    boolean faultInjection,
    byte[] secret,
    String routingPolicy,
    int maxBodyBytes,
    int maxInFlight,
    Duration hedgeAfter,
    Duration endpointLease,
    Duration heartbeatInterval,
    Duration drainTimeout,
    Optional<Path> portFile) {

  /** Copies the lists so the settings are immutable. */
  public Settings {
    peers = List.copyOf(peers);
    controlGroup = List.copyOf(controlGroup);
  }

  /**
   * Checks every setting and returns this.
   *
   * @throws SettingsException naming the first wrong flag and its remedy
   */
  public Settings check() {
    require(nodeId, "--node-id", "LWC_NODE_ID", "a unique name such as uusimaa-entry-1");
    require(region, "--region", "LWC_REGION", "the region this instance runs in");
    require(failureDomain, "--failure-domain", "LWC_FAILURE_DOMAIN", "a zone such as uusimaa-a");
    port(httpPort, "--http-port", "LWC_HTTP_PORT");
    port(peerPort, "--peer-port", "LWC_PEER_PORT");
    if (role == Role.CONTROL && dataDir.isEmpty()) {
      throw new SettingsException(
          "--data-dir", "LWC_DATA_DIR", "the control role needs a data folder", "set a path");
    }
    dataDir.ifPresent(
        d -> {
          if (Files.exists(d) && !Files.isDirectory(d)) {
            throw new SettingsException(
                "--data-dir", "LWC_DATA_DIR", d + " is not a folder", "name a folder");
          }
        });
    if (!controlGroup.isEmpty() && role == Role.CONTROL && !controlGroup.contains(nodeId)) {
      throw new SettingsException(
          "--control-group",
          "LWC_CONTROL_GROUP",
          controlGroup + " does not name this node '" + nodeId + "'",
          "list the node ids of all control daemons, the same on each");
    }
    if (!controlGroup.isEmpty() && controlGroup.size() % 2 == 0) {
      throw new SettingsException(
          "--control-group",
          "LWC_CONTROL_GROUP",
          controlGroup.size() + " members tolerate no more failures than one fewer",
          "list an odd number of node ids, 3 or 5");
    }
    if (role == Role.ENTRY && peers.isEmpty()) {
      throw new SettingsException(
          "--peers",
          "LWC_PEERS",
          "an entry daemon needs at least one seed peer",
          "list a control daemon's peer address host:port");
    }
    for (String peer : peers) {
      if (!peer.matches("[^:\\s]+:\\d{1,5}")) {
        throw new SettingsException(
            "--peers", "LWC_PEERS", "'" + peer + "' is not host:port", "write host:port");
      }
    }
    if (secret.length < 16) {
      throw new SettingsException(
          "--secret-file",
          "LWC_SECRET_FILE",
          "the secret has " + secret.length + " bytes",
          "write at least 16 random bytes, e.g. openssl rand -hex 32 > secret");
    }
    if (RoutingPolicies.named(routingPolicy).isEmpty()) {
      throw new SettingsException(
          "--routing-policy",
          "LWC_ROUTING_POLICY",
          "unknown policy '" + routingPolicy + "'",
          "use one of " + RoutingPolicies.names());
    }
    if (maxBodyBytes < 1024) {
      throw new SettingsException(
          "--max-body-bytes", "LWC_MAX_BODY_BYTES", "below 1024", "set at least 1024");
    }
    if (maxInFlight < 1) {
      throw new SettingsException(
          "--max-in-flight", "LWC_MAX_IN_FLIGHT", "below 1", "set at least 1");
    }
    if (hedgeAfter.isNegative()) {
      throw new SettingsException(
          "--hedge-millis", "LWC_HEDGE_MILLIS", "negative", "set 0 (never) or milliseconds");
    }
    positive(endpointLease, "--endpoint-lease-millis", "LWC_ENDPOINT_LEASE_MILLIS");
    positive(heartbeatInterval, "--heartbeat-millis", "LWC_HEARTBEAT_MILLIS");
    positive(drainTimeout, "--drain-millis", "LWC_DRAIN_MILLIS");
    return this;
  }

  private static void require(String value, String flag, String environment, String remedy) {
    if (value == null || value.isBlank()) {
      throw new SettingsException(flag, environment, "missing", "set " + remedy);
    }
  }

  private static void port(int port, String flag, String environment) {
    if (port < 0 || port > 65535) {
      throw new SettingsException(
          flag, environment, port + " is not a port", "use 0 (free) to 65535");
    }
  }

  private static void positive(Duration value, String flag, String environment) {
    if (value.isNegative() || value.isZero()) {
      throw new SettingsException(flag, environment, "must be positive", "set milliseconds > 0");
    }
  }
}
