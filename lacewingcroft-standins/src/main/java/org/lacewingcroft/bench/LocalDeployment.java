package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Starts a complete deployment on the loopback interface as separate OS processes: control daemons,
 * entry daemons per region and stand-in runners. Each process chooses its own ports and reports
 * them in a port file. Closing the deployment stops every process gracefully (SIGTERM), entries and
 * stand-ins first.
 *
 * <p>This is the launcher of the demo, the benchmarks and the end-to-end tests. In production each
 * daemon is started by the service manager of its host.
 */
public final class LocalDeployment implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DAEMON_MAIN = "org.lacewingcroft.daemon.Main";
  private static final String STANDIN_MAIN = "org.lacewingcroft.standin.Main";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  private final Topology topology;
  private final Path workDir;
  private final Path secretFile;
  private final Map<String, DeploymentProcess> processes = new LinkedHashMap<>();
  private final Map<String, String> controlUrlByNode = new LinkedHashMap<>();
  private final Map<String, String> controlRegionByNode = new LinkedHashMap<>();
  private final Map<String, List<String>> restartArgs = new LinkedHashMap<>();
  private final Map<String, String> entryUrlByNode = new LinkedHashMap<>();
  private final Map<String, String> entryRegionByNode = new LinkedHashMap<>();
  private final List<String> controlPeerAddresses = new ArrayList<>();
  private final Map<String, List<String>> standinUrls = new LinkedHashMap<>();
  private final DaemonClient client = new DaemonClient();

  /**
   * A group of stand-in runners in one process.
   *
   * @param idPrefix the prefix of the runner ids, which are {@code <idPrefix>-<n>}
   * @param kind {@code engine} or {@code service}
   * @param region the region of the runners
   * @param runners the number of runners
   * @param model the model or service name
   * @param labels the announced labels
   * @param capacity the number of concurrent requests per runner
   * @param extraArgs additional command-line flags of the stand-in
   */
  public record StandinGroup(
      String idPrefix,
      String kind,
      String region,
      int runners,
      String model,
      Map<String, String> labels,
      int capacity,
      List<String> extraArgs) {

    /** Creates a group without additional flags. */
    public StandinGroup(
        String idPrefix,
        String kind,
        String region,
        int runners,
        String model,
        Map<String, String> labels,
        int capacity) {
      this(idPrefix, kind, region, runners, model, labels, capacity, List.of());
    }
  }

  /**
   * The processes of a deployment and its configuration.
   *
   * @param regions the names of the regions
   * @param entriesPerRegion the number of entry daemons per region
   * @param controls the number of control daemons, assigned to the regions round robin
   * @param standins the groups of stand-in runners
   * @param configDocument the selectors document that is applied after the start of the daemons
   * @param daemonArgs additional command-line flags of every daemon
   */
  public record Topology(
      List<String> regions,
      int entriesPerRegion,
      int controls,
      List<StandinGroup> standins,
      String configDocument,
      List<String> daemonArgs) {
    /** Copies the lists so that the topology is immutable. */
    public Topology {
      regions = List.copyOf(regions);
      standins = List.copyOf(standins);
      daemonArgs = List.copyOf(daemonArgs);
    }

    /** Returns this topology with additional flags for every daemon. */
    public Topology withDaemonArgs(String... more) {
      List<String> all = new ArrayList<>(daemonArgs);
      all.addAll(List.of(more));
      return new Topology(regions, entriesPerRegion, controls, standins, configDocument, all);
    }

    /** Returns this topology with another number of control daemons. */
    public Topology withControls(int count) {
      return new Topology(regions, entriesPerRegion, count, standins, configDocument, daemonArgs);
    }
  }

  private LocalDeployment(Topology topology, Path workDir) throws IOException {
    this.topology = topology;
    this.workDir = workDir;
    Files.createDirectories(workDir);
    this.secretFile = workDir.resolve("secret");
    Files.writeString(secretFile, UUID.randomUUID().toString().replace("-", ""));
  }

  /**
   * Starts a deployment and waits until every entry has applied the configuration and recorded the
   * endpoints of its region.
   *
   * @param topology the processes to start and their configuration
   * @param workDir the directory for logs, port files and data directories
   * @return the running deployment
   * @throws Exception if a process does not start within {@link #START_TIMEOUT}
   */
  public static LocalDeployment start(Topology topology, Path workDir) throws Exception {
    LocalDeployment deployment = new LocalDeployment(topology, workDir);
    try {
      deployment.startAll();
    } catch (Exception e) {
      deployment.close();
      throw e;
    }
    return deployment;
  }

  private void startAll() throws Exception {
    List<String> group = new ArrayList<>();
    for (int i = 1; i <= topology.controls(); i++) {
      group.add("control-" + i);
    }
    for (int i = 0; i < group.size(); i++) {
      startControl(group.get(i), group, topology.regions().get(i % topology.regions().size()));
    }
    for (String region : topology.regions()) {
      for (int i = 1; i <= topology.entriesPerRegion(); i++) {
        startEntry(region + "-entry-" + i, region, region + "-" + (char) ('a' + (i - 1) % 3));
      }
    }
    long version = applyConfig(topology.configDocument());
    awaitCondition(
        "every entry applies configuration version " + version,
        () -> entryUrlByNode.values().stream().allMatch(u -> client.configVersion(u) >= version));
    for (StandinGroup g : topology.standins()) {
      startStandins(g);
    }
    for (String node : entryUrlByNode.keySet()) {
      awaitEndpoints(node);
    }
  }

  /** Waits until an entry is ready and has recorded an endpoint for each runner of its region. */
  public void awaitEndpoints(String node) throws Exception {
    awaitCondition(node + " is ready", () -> client.isReady(urlOf(node)));
    String region = entryRegionByNode.get(node);
    int expected =
        topology.standins().stream()
            .filter(g -> g.region().equals(region))
            .mapToInt(StandinGroup::runners)
            .sum();
    awaitCondition(
        node + " has recorded " + expected + " endpoints",
        () -> endpoints(node).size() >= expected);
  }

  private void startControl(String node, List<String> group, String region) throws Exception {
    List<String> args = daemonArgs(node, "control", region, region + "-c");
    args.addAll(List.of("--data-dir", dataDir(node).toString()));
    args.addAll(List.of("--control-group", String.join(",", group)));
    JsonNode ports = startDaemon(node, args, List.of("--bootstrap"));
    controlUrlByNode.put(node, "http://127.0.0.1:" + ports.get("http").asInt());
    controlRegionByNode.put(node, region);
    controlPeerAddresses.add("127.0.0.1:" + ports.get("peer").asInt());
  }

  private void startEntry(String node, String region, String failureDomain) throws Exception {
    JsonNode ports = startDaemon(node, daemonArgs(node, "entry", region, failureDomain), List.of());
    entryUrlByNode.put(node, "http://127.0.0.1:" + ports.get("http").asInt());
    entryRegionByNode.put(node, region);
  }

  private List<String> daemonArgs(String node, String role, String region, String failureDomain) {
    List<String> args = new ArrayList<>();
    args.addAll(List.of("--role", role, "--node-id", node, "--region", region));
    args.addAll(List.of("--failure-domain", failureDomain));
    args.addAll(List.of("--secret-file", secretFile.toString()));
    args.addAll(List.of("--heartbeat-millis", "250", "--drain-millis", "10000"));
    args.addAll(topology.daemonArgs());
    return args;
  }

  /** Starts a daemon on free ports. A restart reuses the ports and omits the first-start flags. */
  private JsonNode startDaemon(String node, List<String> args, List<String> firstStartFlags)
      throws Exception {
    Path portFile = workDir.resolve(node + ".ports");
    List<String> argsOfFirstStart = new ArrayList<>(args);
    argsOfFirstStart.addAll(firstStartFlags);
    argsOfFirstStart.addAll(List.of("--port-file", portFile.toString()));
    if (!controlPeerAddresses.isEmpty()) {
      argsOfFirstStart.addAll(List.of("--peers", String.join(",", controlPeerAddresses)));
    }
    launch(node, DAEMON_MAIN, argsOfFirstStart);
    JsonNode ports = awaitPorts(node);
    List<String> argsOfRestart = new ArrayList<>(args);
    argsOfRestart.addAll(List.of("--port-file", portFile.toString()));
    argsOfRestart.addAll(List.of("--http-port", ports.get("http").asText()));
    argsOfRestart.addAll(List.of("--peer-port", ports.get("peer").asText()));
    restartArgs.put(node, argsOfRestart);
    return ports;
  }

  private JsonNode awaitPorts(String name) throws Exception {
    Path portFile = workDir.resolve(name + ".ports");
    awaitCondition(name + " writes its port file", () -> Files.exists(portFile));
    return JSON.readTree(Files.readString(portFile));
  }

  private Path dataDir(String node) {
    return workDir.resolve(node + "-data");
  }

  private void startStandins(StandinGroup group) throws Exception {
    List<String> entryUrls =
        entryUrlByNode.entrySet().stream()
            .filter(e -> entryRegionByNode.get(e.getKey()).equals(group.region()))
            .map(Map.Entry::getValue)
            .toList();
    List<String> args = new ArrayList<>();
    args.addAll(
        List.of(
            "--kind", group.kind(),
            "--id-prefix", group.idPrefix(),
            "--runners", Integer.toString(group.runners()),
            "--region", group.region(),
            "--failure-domain", group.region() + "-a",
            "--announce", String.join(",", entryUrls),
            "--model", group.model(),
            "--capacity", Integer.toString(group.capacity()),
            "--port-file", workDir.resolve(group.idPrefix() + ".ports").toString()));
    args.addAll(group.extraArgs());
    group.labels().forEach((k, v) -> args.addAll(List.of("--label", k + "=" + v)));
    launch(group.idPrefix(), STANDIN_MAIN, args);
    recordStandinUrls(group.idPrefix(), awaitPorts(group.idPrefix()));
  }

  private void recordStandinUrls(String group, JsonNode ports) {
    List<String> urls = new ArrayList<>();
    ports.forEach(n -> urls.add(n.asText()));
    standinUrls.put(group, urls);
  }

  private void launch(String name, String mainClass, List<String> args) throws IOException {
    DeploymentProcess process =
        new DeploymentProcess(name, mainClass, workDir.resolve(name + ".log"));
    processes.put(name, process);
    restartArgs.put(name, args);
    startProcess(process, args);
  }

  private void startProcess(DeploymentProcess process, List<String> args) throws IOException {
    Files.deleteIfExists(workDir.resolve(process.name() + ".ports"));
    process.start(args);
  }

  /** Kills a process with SIGKILL. */
  public void kill(String name) throws InterruptedException {
    processes.get(name).kill();
  }

  /** Stops a process gracefully (SIGTERM) and returns its exit status. */
  public int terminate(String name) throws InterruptedException {
    processes.get(name).terminate();
    return processes.get(name).awaitExit();
  }

  /** Restarts a killed or stopped process. A daemon keeps its previous addresses. */
  public void restart(String name) throws Exception {
    List<String> args = new ArrayList<>(restartArgs.get(name));
    if (!standinUrls.containsKey(name)) {
      args.addAll(List.of("--peers", String.join(",", controlPeerAddresses)));
    }
    startProcess(processes.get(name), args);
    JsonNode ports = awaitPorts(name);
    if (standinUrls.containsKey(name)) {
      recordStandinUrls(name, ports);
    }
  }

  /** Freezes a process (SIGSTOP) until {@link #resume}. */
  public void freeze(String name) throws Exception {
    processes.get(name).signal("STOP");
  }

  /** Resumes a frozen process (SIGCONT). */
  public void resume(String name) throws Exception {
    processes.get(name).signal("CONT");
  }

  /** Deletes the data files of a stopped control daemon, which simulates a lost disk. */
  public void loseDisk(String node) throws IOException {
    try (var files = Files.list(dataDir(node))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  /**
   * Returns the sum of a counter in {@code GET /v1/stats} over the engines of the running groups.
   */
  public long engineCounter(String counter) {
    return standinUrls.entrySet().stream()
        .filter(group -> !processes.get(group.getKey()).stopped())
        .flatMap(group -> group.getValue().stream())
        .flatMap(url -> client.getJson(url + "/v1/stats").stream())
        .mapToLong(stats -> stats.path(counter).asLong())
        .sum();
  }

  /** Returns the client that is used for the daemons of this deployment. */
  public DaemonClient client() {
    return client;
  }

  /** Injects link faults into a daemon started with {@code --fault-injection}. */
  public void injectFaults(String node, Set<String> cutRegions, long delayMillis) {
    client.injectFaults(urlOf(node), cutRegions, delayMillis);
  }

  /** Returns the base URL of a daemon. */
  public String urlOf(String node) {
    return entryUrlByNode.containsKey(node) ? entryUrlByNode.get(node) : controlUrlByNode.get(node);
  }

  /**
   * Applies a configuration document, resending the same change to each control daemon in turn
   * until one accepts it.
   *
   * @return the version of the accepted configuration
   */
  public long applyConfig(String document) throws Exception {
    String changeId = UUID.randomUUID().toString();
    long[] version = {-1};
    awaitCondition(
        "the control group accepts the configuration",
        () -> {
          for (String url : controlUrlByNode.values()) {
            long current = client.configVersion(url);
            if (current >= 0) {
              version[0] =
                  DaemonClient.acceptedVersion(
                      client.sendChange(
                          DaemonClient.ChangeKind.PUT, url, changeId, current, document));
            }
            if (version[0] > 0) {
              return true;
            }
          }
          return false;
        });
    return version[0];
  }

  /** Returns the endpoints that an entry has recorded, or an empty array if it does not respond. */
  public JsonNode endpoints(String node) {
    return client.getJson(urlOf(node) + "/v1/endpoints").orElseGet(JSON::createArrayNode);
  }

  /**
   * Polls a condition every 50 ms until it holds.
   *
   * @throws IllegalStateException if it does not hold within {@link #START_TIMEOUT}
   */
  public static void awaitCondition(String description, BooleanSupplier condition)
      throws Exception {
    long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException("timed out waiting until " + description);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Returns the base URLs of the entries by node id. */
  public Map<String, String> entryUrls() {
    return Map.copyOf(entryUrlByNode);
  }

  /** Returns the regions of the entries by node id. */
  public Map<String, String> entryRegions() {
    return Map.copyOf(entryRegionByNode);
  }

  /** Returns the regions of all daemons by node id. */
  public Map<String, String> regionsByNode() {
    Map<String, String> all = new LinkedHashMap<>(controlRegionByNode);
    all.putAll(entryRegionByNode);
    return all;
  }

  /** Returns the base URLs of the control daemons. */
  public List<String> controlUrls() {
    return List.copyOf(controlUrlByNode.values());
  }

  /** Returns the node ids of the control daemons. */
  public List<String> controlNodes() {
    return List.copyOf(controlUrlByNode.keySet());
  }

  /** Returns the base URLs of the stand-in runners by id prefix of their group. */
  public Map<String, List<String>> standinUrlsByGroup() {
    return Map.copyOf(standinUrls);
  }

  /**
   * Returns the total CPU time of the processes whose names match, in nanoseconds, as reported by
   * the operating system.
   */
  public long cpuNanos(java.util.function.Predicate<String> names) {
    return processes.values().stream()
        .filter(p -> names.test(p.name()))
        .mapToLong(DeploymentProcess::cpuNanos)
        .sum();
  }

  /** Returns the log files of all processes. */
  public List<Path> logs() {
    return processes.values().stream().map(DeploymentProcess::log).toList();
  }

  /**
   * Shuts down the stand-ins and entries, then the control daemons, gracefully with SIGTERM. Waits
   * for the processes to exit and returns the names of those that did not exit cleanly.
   */
  public List<String> stop() throws InterruptedException {
    List<DeploymentProcess> running =
        processes.values().stream().filter(p -> !p.stopped()).toList();
    List<DeploymentProcess> controls =
        running.stream().filter(p -> controlUrlByNode.containsKey(p.name())).toList();
    List<DeploymentProcess> others = running.stream().filter(p -> !controls.contains(p)).toList();
    List<String> failures = new ArrayList<>(stopAll(others));
    failures.addAll(stopAll(controls));
    processes.clear();
    return failures;
  }

  private static List<String> stopAll(List<DeploymentProcess> group) throws InterruptedException {
    group.forEach(DeploymentProcess::terminate);
    List<String> failures = new ArrayList<>();
    for (DeploymentProcess process : group) {
      if (!process.exitsCleanly()) {
        failures.add(process.name());
      }
    }
    return failures;
  }

  @Override
  public void close() throws InterruptedException {
    stop();
  }
}
