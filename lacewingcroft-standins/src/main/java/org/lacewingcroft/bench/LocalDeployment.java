package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Starts a whole deployment on loopback as separate OS processes: control daemons, entry daemons
 * per region and stand-in runners, each on ports it chose itself and reported in a port file.
 * Closing it stops every process gracefully (SIGTERM), entries and stand-ins first.
 *
 * <p>This is the demo's and the end-to-end tests' launcher, not part of the system: in production
 * each daemon is started by the instance's own service manager.
 */
public final class LocalDeployment implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

  private final Topology topology;
  private final Path workDir;
  private final Path secretFile;
  private final List<ManagedProcess> processes = new ArrayList<>();
  private final Map<String, String> entryUrlByNode = new LinkedHashMap<>();
  private final Map<String, String> entryRegionByNode = new LinkedHashMap<>();
  private final List<String> controlUrls = new ArrayList<>();
  private final List<String> controlPeers = new ArrayList<>();
  private final Map<String, List<String>> standinUrls = new LinkedHashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /**
   * A group of stand-in runners in one process.
   *
   * @param idPrefix runner ids are {@code <idPrefix>-<n>}
   * @param kind {@code engine} or {@code service}
   * @param region the region
   * @param runners how many runners
   * @param model the model or service name
   * @param labels labels to announce
   * @param capacity concurrent requests per runner
   */
  public record StandinGroup(
      String idPrefix,
      String kind,
      String region,
      int runners,
      String model,
      Map<String, String> labels,
      int capacity) {}

  /**
   * What to start.
   *
   * @param regions region names
   * @param entriesPerRegion entry daemons per region
   * @param controls control daemons (in the first regions, round robin)
   * @param standins stand-in groups
   * @param configDocument the selectors document applied once the control role is up
   */
  public record Topology(
      List<String> regions,
      int entriesPerRegion,
      int controls,
      List<StandinGroup> standins,
      String configDocument) {}

  private record ManagedProcess(String name, Process process, Path log) {}

  private LocalDeployment(Topology topology, Path workDir) throws IOException {
    this.topology = topology;
    this.workDir = workDir;
    Files.createDirectories(workDir);
    this.secretFile = workDir.resolve("secret");
    Files.writeString(secretFile, UUID.randomUUID().toString().replace("-", ""));
  }

  /**
   * Starts the deployment and waits until every entry knows the configuration and its region's
   * endpoints.
   *
   * @param topology what to start
   * @param workDir folder for logs, port files and data folders
   * @return the running deployment
   * @throws Exception if a process does not come up within the start timeout
   */
  public static LocalDeployment start(Topology topology, Path workDir) throws Exception {
    LocalDeployment d = new LocalDeployment(topology, workDir);
    try {
      d.startAll();
    } catch (Exception e) {
      d.close();
      throw e;
    }
    return d;
  }

  private void startAll() throws Exception {
    for (int i = 1; i <= topology.controls(); i++) {
      String region = topology.regions().get((i - 1) % topology.regions().size());
      String node = "control-" + i;
      JsonNode ports =
          startDaemon(
              node,
              "control",
              region,
              region + "-c",
              List.of("--data-dir", workDir.resolve(node + "-data").toString()),
              List.of());
      controlUrls.add("http://127.0.0.1:" + ports.get("http").asInt());
      controlPeers.add("127.0.0.1:" + ports.get("peer").asInt());
    }
    for (String region : topology.regions()) {
      for (int i = 1; i <= topology.entriesPerRegion(); i++) {
        String node = region + "-entry-" + i;
        String fd = region + "-" + (char) ('a' + (i - 1) % 3);
        JsonNode ports = startDaemon(node, "entry", region, fd, List.of(), controlPeers);
        entryUrlByNode.put(node, "http://127.0.0.1:" + ports.get("http").asInt());
        entryRegionByNode.put(node, region);
      }
    }
    long version = applyConfig(topology.configDocument());
    awaitCondition(
        "every entry applies configuration version " + version,
        () -> entryUrlByNode.values().stream().allMatch(u -> configVersion(u) >= version));
    for (StandinGroup g : topology.standins()) {
      startStandins(g);
    }
    for (Map.Entry<String, String> entry : entryUrlByNode.entrySet()) {
      String region = entryRegionByNode.get(entry.getKey());
      int expected =
          topology.standins().stream()
              .filter(g -> g.region().equals(region))
              .mapToInt(StandinGroup::runners)
              .sum();
      awaitCondition(
          entry.getKey() + " knows " + expected + " endpoints",
          () -> endpointCount(entry.getValue()) >= expected);
    }
  }

  private JsonNode startDaemon(
      String node, String role, String region, String fd, List<String> extra, List<String> peers)
      throws Exception {
    Path portFile = workDir.resolve(node + ".ports");
    Files.deleteIfExists(portFile);
    List<String> args = new ArrayList<>();
    args.addAll(
        List.of(
            "--role",
            role,
            "--node-id",
            node,
            "--region",
            region,
            "--failure-domain",
            fd,
            "--secret-file",
            secretFile.toString(),
            "--port-file",
            portFile.toString(),
            "--heartbeat-millis",
            "250",
            "--drain-millis",
            "10000"));
    if (!peers.isEmpty()) {
      args.add("--peers");
      args.add(String.join(",", peers));
    }
    args.addAll(extra);
    launch(node, "org.lacewingcroft.daemon.Main", args);
    awaitCondition(node + " writes its port file", () -> Files.exists(portFile));
    return JSON.readTree(Files.readString(portFile));
  }

  private void startStandins(StandinGroup g) throws Exception {
    Path portFile = workDir.resolve(g.idPrefix() + ".ports");
    Files.deleteIfExists(portFile);
    List<String> gateways =
        entryUrlByNode.entrySet().stream()
            .filter(e -> entryRegionByNode.get(e.getKey()).equals(g.region()))
            .map(Map.Entry::getValue)
            .toList();
    List<String> args = new ArrayList<>();
    args.addAll(
        List.of(
            "--kind", g.kind(),
            "--id-prefix", g.idPrefix(),
            "--runners", Integer.toString(g.runners()),
            "--region", g.region(),
            "--failure-domain", g.region() + "-a",
            "--announce", String.join(",", gateways),
            "--model", g.model(),
            "--capacity", Integer.toString(g.capacity()),
            "--port-file", portFile.toString()));
    g.labels().forEach((k, v) -> args.addAll(List.of("--label", k + "=" + v)));
    launch(g.idPrefix(), "org.lacewingcroft.standin.Main", args);
    awaitCondition(g.idPrefix() + " writes its port file", () -> Files.exists(portFile));
    List<String> urls = new ArrayList<>();
    JSON.readTree(Files.readString(portFile)).forEach(n -> urls.add(n.asText()));
    standinUrls.put(g.idPrefix(), urls);
  }

  private void launch(String name, String mainClass, List<String> args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx256m", "-XX:+UseSerialGC", "-Xss512k"));
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(args);
    Path log = workDir.resolve(name + ".log");
    Process p =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    processes.add(new ManagedProcess(name, p, log));
  }

  /**
   * Applies a configuration document through the first control daemon.
   *
   * @return the version it got
   */
  public long applyConfig(String document) throws Exception {
    long current = configVersion(controlUrls.get(0));
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(controlUrls.get(0) + "/v1/config"))
            .header("X-Change-Id", UUID.randomUUID().toString())
            .header("X-Expected-Version", Long.toString(current))
            .PUT(HttpRequest.BodyPublishers.ofString(document))
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IllegalStateException("config not accepted: " + response.body());
    }
    return JSON.readTree(response.body()).get("version").asLong();
  }

  private long configVersion(String url) {
    try {
      HttpResponse<String> r =
          http.send(
              HttpRequest.newBuilder(URI.create(url + "/v1/config")).build(),
              HttpResponse.BodyHandlers.ofString());
      return Long.parseLong(r.headers().firstValue("X-Config-Version").orElse("0"));
    } catch (IOException | InterruptedException | RuntimeException e) {
      return -1;
    }
  }

  private int endpointCount(String url) {
    try {
      HttpResponse<String> r =
          http.send(
              HttpRequest.newBuilder(URI.create(url + "/v1/endpoints")).build(),
              HttpResponse.BodyHandlers.ofString());
      return JSON.readTree(r.body()).size();
    } catch (IOException | InterruptedException | RuntimeException e) {
      return -1;
    }
  }

  /** Polls a condition every 50 ms until it holds or the start timeout passes. */
  static void awaitCondition(String what, BooleanSupplier condition) throws Exception {
    long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException("timed out waiting until " + what);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Returns entry base URLs by node id. */
  public Map<String, String> entries() {
    return Map.copyOf(entryUrlByNode);
  }

  /** Returns the region of each entry node. */
  public Map<String, String> entryRegions() {
    return Map.copyOf(entryRegionByNode);
  }

  /** Returns the control daemons' base URLs. */
  public List<String> controls() {
    return List.copyOf(controlUrls);
  }

  /** Returns the stand-in runners' base URLs by group prefix. */
  public Map<String, List<String>> standins() {
    return Map.copyOf(standinUrls);
  }

  /**
   * Returns the processor time the named processes have used so far, in nanoseconds, as the
   * operating system reports it.
   */
  public long cpuNanos(java.util.function.Predicate<String> names) {
    return processes.stream()
        .filter(m -> names.test(m.name()))
        .mapToLong(
            m -> m.process().toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L))
        .sum();
  }

  /** Returns the log files of all processes. */
  public List<Path> logs() {
    return processes.stream().map(ManagedProcess::log).toList();
  }

  /**
   * Stops the stand-ins and entries, then the control daemons, each by SIGTERM (a graceful
   * shutdown), and waits for them to exit; returns how many exited with a non-zero status.
   */
  public int stop() throws InterruptedException {
    int failures = 0;
    List<ManagedProcess> order = new ArrayList<>(processes);
    order.sort(
        java.util.Comparator.comparing((ManagedProcess m) -> m.name().startsWith("control")));
    for (ManagedProcess m : order) {
      if (!m.name().startsWith("control")) {
        m.process().destroy();
      }
    }
    for (ManagedProcess m : order) {
      if (m.name().startsWith("control")) {
        continue;
      }
      failures += awaitExit(m);
    }
    for (ManagedProcess m : order) {
      if (m.name().startsWith("control")) {
        m.process().destroy();
        failures += awaitExit(m);
      }
    }
    processes.clear();
    return failures;
  }

  private static int awaitExit(ManagedProcess m) throws InterruptedException {
    if (!m.process().waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      m.process().destroyForcibly();
      m.process().waitFor(5, TimeUnit.SECONDS);
      return 1;
    }
    int code = m.process().exitValue();
    return code == 0 || code == 143 ? 0 : 1;
  }

  @Override
  public void close() throws InterruptedException {
    stop();
  }
}
