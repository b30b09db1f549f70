package org.lacewingcroft.daemon;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.routing.RoutingPolicies;

/**
 * The settings of a daemon. {@link Main} creates them from flags and environment variables, and
 * {@link #check()} validates them and throws a {@link SettingsException} that names a wrong flag.
 *
 * @param role entry or control
 * @param nodeId the unique id of this daemon, used in log lines and in the membership
 * @param region the region in which the daemon runs
 * @param failureDomain the failure domain inside the region
 * @param host the loopback or private address to listen on and advertise
 * @param httpPort the HTTP port; 0 selects a free port
 * @param peerPort the port of the peer transport; 0 selects a free port
 * @param peers peer addresses {@code host:port} of the seeds; an entry needs at least that of one
 *     control daemon
 * @param dataDir the data folder, which holds the configuration log (control role only)
 * @param controlGroup node ids of the control group (control role only); if empty, this node is the
 *     only member
 * @param bootstrap true only on the deployment's first start: a member with an empty data folder
 *     may vote then
 * @param faultInjection whether {@code POST /v1/faults} may inject partitions and delays on links,
 *     for experiments
 * @param secret the shared secret that authenticates peer frames, at least 16 bytes
 * @param routingPolicy the name of the routing policy
 * @param maxBodyBytes maximum size of a caller's request body, in bytes
 * @param maxInFlight maximum number of requests in flight; an entry refuses further ones
 * @param hedgeAfter wait before an idempotent request is also sent to a second endpoint; zero
 *     disables hedging
 * @param endpointLease how long an endpoint stays registered after its last announcement
 * @param heartbeatInterval interval of the heartbeats between daemons
 * @param drainTimeout maximum wait of a graceful shutdown for requests in flight
 * @param portFile the file to which the bound ports are written as JSON once the daemon listens, if
 *     set
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

  /** Copies the lists so that the settings are immutable. */
  public Settings {
    peers = List.copyOf(peers);
    controlGroup = List.copyOf(controlGroup);
  }

  /**
   * Validates every setting and returns this object.
   *
   * @throws SettingsException if a setting is missing or wrong; names the first such flag and a
   *     remedy
   */
  public Settings check() {
    require(nodeId, "--node-id", "LWC_NODE_ID", "a unique name such as uusimaa-entry-1");
    require(region, "--region", "LWC_REGION", "the region this instance runs in");
    require(failureDomain, "--failure-domain", "LWC_FAILURE_DOMAIN", "a zone such as uusimaa-a");
    requirePort(httpPort, "--http-port", "LWC_HTTP_PORT");
    requirePort(peerPort, "--peer-port", "LWC_PEER_PORT");
    if (role == Role.CONTROL && dataDir.isEmpty()) {
      throw new SettingsException(
          "--data-dir", "LWC_DATA_DIR", "the control role needs a data folder", "set a path");
    }
    dataDir.ifPresent(
        d -> {
          if (Files.exists(d) && !Files.isDirectory(d)) {
            throw new SettingsException(
                "--data-dir", "LWC_DATA_DIR", d + " is not a folder", "set the path of a folder");
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
          controlGroup.size() + " members tolerate no more failures than one member fewer",
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
    requirePositive(endpointLease, "--endpoint-lease-millis", "LWC_ENDPOINT_LEASE_MILLIS");
    requirePositive(heartbeatInterval, "--heartbeat-millis", "LWC_HEARTBEAT_MILLIS");
    requirePositive(drainTimeout, "--drain-millis", "LWC_DRAIN_MILLIS");
    return this;
  }

  private static void require(String value, String flag, String environment, String remedy) {
    if (value == null || value.isBlank()) {
      throw new SettingsException(flag, environment, "missing", "set " + remedy);
    }
  }

  private static void requirePort(int port, String flag, String environment) {
    if (port < 0 || port > 65535) {
      throw new SettingsException(
          flag, environment, port + " is not a port", "use 0 (free) to 65535");
    }
  }

  private static void requirePositive(Duration value, String flag, String environment) {
    if (value.isNegative() || value.isZero()) {
      throw new SettingsException(flag, environment, "must be positive", "set milliseconds > 0");
    }
  }
}
