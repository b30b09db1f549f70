package org.lacewingcroft.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.lacewingcroft.lifecycle.EndMarker;
import org.lacewingcroft.lifecycle.ErrorReporter;
import org.lacewingcroft.lifecycle.ServiceRunner;
import org.lacewingcroft.logging.LogContext;
import org.lacewingcroft.misc.MonotonicInstantSource;
import org.lacewingcroft.routing.LeastInFlightPolicy;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command line of the daemon, {@code lacewingcroftd}. Every flag can also be set by the
 * environment variable named in its description; a flag takes precedence.
 */
@Command(
    name = "lacewingcroftd",
    mixinStandardHelpOptions = true,
    version = "lacewingcroftd 0.1.0",
    description =
        "Runs one lacewingcroft daemon: an entry (callers, endpoints) or control (config).")
public final class Main implements Callable<Integer> {
  @Option(
      names = "--role",
      defaultValue = "${env:LWC_ROLE:-entry}",
      description = "entry or control ($LWC_ROLE)")
  String role;

  @Option(names = "--node-id", defaultValue = "${env:LWC_NODE_ID}", description = "($LWC_NODE_ID)")
  String nodeId;

  @Option(names = "--region", defaultValue = "${env:LWC_REGION}", description = "($LWC_REGION)")
  String region;

  @Option(
      names = "--failure-domain",
      defaultValue = "${env:LWC_FAILURE_DOMAIN}",
      description = "($LWC_FAILURE_DOMAIN)")
  String failureDomain;

  @Option(
      names = "--host",
      defaultValue = "${env:LWC_HOST:-127.0.0.1}",
      description = "address to bind and advertise ($LWC_HOST)")
  String host;

  @Option(
      names = "--http-port",
      defaultValue = "${env:LWC_HTTP_PORT:-0}",
      description = "0 picks a free port ($LWC_HTTP_PORT)")
  int httpPort;

  @Option(
      names = "--peer-port",
      defaultValue = "${env:LWC_PEER_PORT:-0}",
      description = "0 picks a free port ($LWC_PEER_PORT)")
  int peerPort;

  @Option(
      names = "--peers",
      split = ",",
      defaultValue = "${env:LWC_PEERS:-}",
      description = "seed peers host:port, comma-separated ($LWC_PEERS)")
  List<String> peers;

  @Option(
      names = "--data-dir",
      defaultValue = "${env:LWC_DATA_DIR}",
      description = "data folder, control role ($LWC_DATA_DIR)")
  Path dataDir;

  @Option(
      names = "--control-group",
      split = ",",
      defaultValue = "${env:LWC_CONTROL_GROUP:-}",
      description = "node ids of all control daemons; default: this one ($LWC_CONTROL_GROUP)")
  List<String> controlGroup;

  @Option(
      names = "--bootstrap",
      arity = "0..1",
      fallbackValue = "true",
      defaultValue = "${env:LWC_BOOTSTRAP:-false}",
      description = "first start of the deployment: an empty data folder may vote ($LWC_BOOTSTRAP)")
  boolean bootstrap;

  @Option(
      names = "--fault-injection",
      arity = "0..1",
      fallbackValue = "true",
      defaultValue = "${env:LWC_FAULT_INJECTION:-false}",
      description = "allow POST /v1/faults, for experiments only ($LWC_FAULT_INJECTION)")
  boolean faultInjection;

  @Option(
      names = "--secret-file",
      defaultValue = "${env:LWC_SECRET_FILE}",
      description = "file that contains the shared peer secret ($LWC_SECRET_FILE)")
  Path secretFile;

  @Option(
      names = "--routing-policy",
      defaultValue = "${env:LWC_ROUTING_POLICY:-" + LeastInFlightPolicy.NAME + "}",
      description = "routing policy plug-in ($LWC_ROUTING_POLICY)")
  String routingPolicy;

  @Option(
      names = "--max-body-bytes",
      defaultValue = "${env:LWC_MAX_BODY_BYTES:-1048576}",
      description = "largest request body ($LWC_MAX_BODY_BYTES)")
  int maxBodyBytes;

  @Option(
      names = "--max-in-flight",
      defaultValue = "${env:LWC_MAX_IN_FLIGHT:-2000}",
      description = "requests in flight at which an entry refuses more ($LWC_MAX_IN_FLIGHT)")
  int maxInFlight;

  @Option(
      names = "--hedge-millis",
      defaultValue = "${env:LWC_HEDGE_MILLIS:-0}",
      description = "wait before an idempotent request is hedged; 0 disables ($LWC_HEDGE_MILLIS)")
  long hedgeMillis;

  @Option(
      names = "--endpoint-lease-millis",
      defaultValue = "${env:LWC_ENDPOINT_LEASE_MILLIS:-3000}",
      description = "endpoint lease, renewed by each announcement ($LWC_ENDPOINT_LEASE_MILLIS)")
  long endpointLeaseMillis;

  @Option(
      names = "--heartbeat-millis",
      defaultValue = "${env:LWC_HEARTBEAT_MILLIS:-500}",
      description = "daemon heartbeat interval ($LWC_HEARTBEAT_MILLIS)")
  long heartbeatMillis;

  @Option(
      names = "--drain-millis",
      defaultValue = "${env:LWC_DRAIN_MILLIS:-20000}",
      description = "graceful shutdown wait for requests in flight ($LWC_DRAIN_MILLIS)")
  long drainMillis;

  @Option(
      names = "--port-file",
      defaultValue = "${env:LWC_PORT_FILE}",
      description = "file to write the bound ports to, as JSON ($LWC_PORT_FILE)")
  Path portFile;

  /** Runs the daemon with the given arguments and exits with its status code. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    Settings settings;
    try {
      settings = settings().check();
    } catch (SettingsException e) {
      System.err.println("lacewingcroftd: " + e.getMessage());
      return 2;
    }
    LogContext.logToStandardOutput();
    LogContext.setNodeId(settings.nodeId());
    EndMarker marker = Daemon.createMarker(settings);
    ErrorReporter errors = new ErrorReporter(marker, new MonotonicInstantSource());
    errors.reportThreadEnds();
    return new ServiceRunner(marker, errors).run(() -> Daemon.start(settings, marker, errors));
  }

  Settings settings() {
    Role parsedRole;
    try {
      parsedRole = Role.valueOf(role.toUpperCase(java.util.Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new SettingsException(
          "--role", "LWC_ROLE", "unknown role '" + role + "'", "use entry or control");
    }
    return new Settings(
        parsedRole,
        nodeId,
        region,
        failureDomain,
        host,
        httpPort,
        peerPort,
        nonBlank(peers),
        Optional.ofNullable(dataDir),
        nonBlank(controlGroup),
        bootstrap,
        faultInjection,
        readSecret(secretFile),
        routingPolicy,
        maxBodyBytes,
        maxInFlight,
        Duration.ofMillis(hedgeMillis),
        Duration.ofMillis(endpointLeaseMillis),
        Duration.ofMillis(heartbeatMillis),
        Duration.ofMillis(drainMillis),
        Optional.ofNullable(portFile));
  }

  private static List<String> nonBlank(List<String> values) {
    return values == null ? List.of() : values.stream().filter(v -> !v.isBlank()).toList();
  }

  private static byte[] readSecret(Path file) {
    if (file == null) {
      throw new SettingsException(
          "--secret-file",
          "LWC_SECRET_FILE",
          "missing",
          "set a file that contains the deployment's shared secret (openssl rand -hex 32)");
    }
    try {
      return Files.readString(file).strip().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new SettingsException(
          "--secret-file",
          "LWC_SECRET_FILE",
          "cannot read " + file,
          "check the path and its permissions");
    }
  }
}
