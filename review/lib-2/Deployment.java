import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own programs on loopback addresses: control instances and
 * entries, each a separate process with the command and the environment of the deploy file.
 */
final class Deployment implements AutoCloseable {
  static final int FRONT_PORT = 18_544;
  static final int READY_PORT = 18_540;
  static final int CONTROL_PORT = 18_546;
  static final int DIRECTORY_PORT = 18_547;
  static final int PEER_PORT = 17_960;
  static final int METRICS_PORT = 9_464;
  static final int RUNNER_PORT = 18_600;

  private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$");
  private static final Pattern VARIABLE = Pattern.compile("([A-Z0-9_]+) = \"([^\"]*)\"");

  /** Interval at which runners announce themselves. */
  static final int HEARTBEAT_MILLIS = 1_200;

  /** The bounds of the site shifted/puhdasseina-lacewing-now-grown.toml. */
  private static final String BOUNDS =
      "\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":6000,\"ackMs\":8000,\"catchUpS\":6,"
          + "\"drainMs\":4000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":4000,"
          + "\"downgradeMs\":250,\"maxSkewMs\":10000,\"strictRevoke\":true,\"revokeMs\":5000,"
          + "\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retryBudgetSlack\":216,"
          + "\"quotaWindowS\":8,\"quotaOvershoot\":0.1,\"quotaSlack\":140000,"
          + "\"warmupOvershoot\":1.5,\"warmupSlack\":3,\"evacuateMs\":5000,\"recoveryS\":15,"
          + "\"passMs\":600,\"reuseWindowS\":10,\"ttl_max_s\":5";

  /** One instance and its process. */
  final class Instance {
    final String name;
    final String ip;
    private final String role;
    private final Path settings;
    private final Path log;
    private Process process;

    private Instance(String name, String ip, String role, String settingsJson) throws IOException {
      this.name = name;
      this.ip = ip;
      this.role = role;
      this.settings = Files.writeString(directory.resolve(name + ".json"), settingsJson);
      this.log = directory.resolve(name + ".log");
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(commands.get(role));
      builder.directory(root.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.putAll(variables.get(role));
      environment.put("LACEWINGCROFT_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
    }

    /** Starts the process again, which is not the first start any more. */
    void restart() throws IOException {
      String text = Files.readString(settings);
      Files.writeString(settings, text.replace("\"firstStart\":true", "\"firstStart\":false"));
      start();
    }

    boolean isRunning() {
      return process != null && process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    /** Sends a signal by name to this process only. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }

    String logged() throws IOException {
      return Files.readString(log);
    }
  }

  private final Path root;
  private final Path directory;
  private final String network;
  private final Map<String, String> regionByZone;
  private final Map<String, List<String>> commands = new LinkedHashMap<>();
  private final Map<String, Map<String, String>> variables = new LinkedHashMap<>();
  private final List<Instance> controls = new ArrayList<>();
  private final List<Instance> entries = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  Deployment(Path root, Path directory, Map<String, String> regionByZone) throws IOException {
    this.root = root;
    this.directory = directory;
    this.regionByZone = regionByZone;
    this.network = freeNetwork();
    readDeployFile();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll, "end"));
  }

  /** Ends all processes also if this one is stopped. */
  private void endAll() {
    for (Instance instance : instances()) {
      if (instance.process != null) {
        instance.process.destroyForcibly();
      }
    }
  }

  /** Returns the first three bytes of a loopback network in which the ports used are free. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 50; attempt++) {
      String candidate =
          "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
      if (isFree(candidate)) {
        return candidate;
      }
    }
    throw new IOException("no loopback network with free ports");
  }

  private static boolean isFree(String network) {
    int[] ports = {
      FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, PEER_PORT, PEER_PORT + 1, METRICS_PORT
    };
    for (int port : ports) {
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getByName(network + ".11"))) {
        socket.setReuseAddress(true);
      } catch (IOException taken) {
        return false;
      }
    }
    return true;
  }

  private void readDeployFile() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      Matcher run = RUN.matcher(line);
      if (line.startsWith("[roles.")) {
        role = line.substring("[roles.".length(), line.length() - 1);
        variables.put(role, Map.of());
      } else if (run.matches()) {
        commands.put(role, Arrays.asList(run.group(1).split(" ")));
      } else if (line.startsWith("env = ")) {
        Map<String, String> found = new LinkedHashMap<>();
        Matcher variable = VARIABLE.matcher(line);
        while (variable.find()) {
          found.put(variable.group(1), variable.group(2));
        }
        variables.put(role, found);
      }
    }
  }

  String ip(int host) {
    return network + "." + host;
  }

  private List<String> seeds() {
    return List.of(ip(11), ip(12), ip(13));
  }

  Instance addControl(String zone) throws IOException {
    String ip = ip(11 + controls.size());
    String name = "core-" + controls.size();
    String listen =
        String.format(
            Locale.ROOT,
            "\"control\":\"%1$s:%2$d\",\"directory\":\"%1$s:%3$d\"",
            ip,
            CONTROL_PORT,
            DIRECTORY_PORT);
    Path data = directory.resolve(name + ".data");
    String json = settings(name, "control", "core", ip, zone, listen, "\"" + data + "\"");
    Instance instance = new Instance(name, ip, "control", json);
    controls.add(instance);
    return instance;
  }

  Instance addEntry(String zone) throws IOException {
    String ip = ip(31 + entries.size());
    String name = "front-" + entries.size();
    String listen =
        String.format(
            Locale.ROOT,
            "\"front\":\"%1$s:%2$d\",\"ready\":\"%1$s:%3$d\"",
            ip,
            FRONT_PORT,
            READY_PORT);
    Instance instance =
        new Instance(
            name, ip, "entry", settings(name, "entry", "front", ip, zone, listen, "null"));
    entries.add(instance);
    return instance;
  }

  private String settings(
      String name,
      String role,
      String machineClass,
      String ip,
      String zone,
      String listen,
      String dataDir) {
    List<String> zones = new ArrayList<>();
    regionByZone.forEach((z, r) -> zones.add("\"" + z + "\":\"" + r + "\""));
    List<String> seeds =
        seeds().stream().map(s -> "\"" + s + ":" + CONTROL_PORT + "\"").toList();
    boolean core = machineClass.equals("core");
    String limits =
        core
            ? "{\"cpuShare\":0.9,\"cpuCores\":2,\"memoryMb\":426,\"maxFds\":4096,"
                + "\"linkMbps\":1000.0,\"diskMb\":128}"
            : "{\"cpuShare\":0.75,\"cpuCores\":1,\"memoryMb\":430,\"maxFds\":4100,"
                + "\"linkMbps\":1000.0,\"diskMb\":0}";
    return String.format(
        Locale.ROOT,
        "{\"nodeName\":\"%s\",\"role\":\"%s\",\"machineClass\":\"%s\",\"serves\":[%s],"
            + "\"ip\":\"%s\",\"zone\":\"%s\",\"region\":\"%s\",\"zones\":{%s},"
            + "\"listen\":{%s},\"internalPorts\":[%d,%d],\"seeds\":[%s],\"firstStart\":true,"
            + "\"faultCounted\":%b,\"limits\":%s,\"dataDir\":%s,\"discovery\":\"registry\","
            + "\"entry\":\"directory\",\"heartbeatMs\":%d,"
            + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
            + "\"health\",\"pool\",\"engine\",\"stream\",\"places\",\"tenants\",\"quota\"],"
            + "\"faultTolerance\":{\"machines\":1,\"zones\":1,\"regions\":1},"
            + "\"bounds\":{%s},\"configMode\":\"highest\"}",
        name,
        role,
        machineClass,
        core ? "\"control\",\"directory\"" : "\"front\"",
        ip,
        zone,
        regionByZone.get(zone),
        String.join(",", zones),
        listen,
        PEER_PORT,
        PEER_PORT + 15,
        String.join(",", seeds),
        core,
        limits,
        dataDir,
        HEARTBEAT_MILLIS,
        BOUNDS);
  }

  void startAll() throws IOException {
    for (Instance instance : instances()) {
      instance.start();
    }
  }

  List<Instance> instances() {
    List<Instance> all = new ArrayList<>(controls);
    all.addAll(entries);
    return all;
  }

  List<Instance> controls() {
    return controls;
  }

  List<Instance> entries() {
    return entries;
  }

  List<String> controlAddresses() {
    return controls.stream().map(c -> c.ip + ":" + CONTROL_PORT).toList();
  }

  /** Sends an operator's order to one instance after another until one acknowledges it. */
  boolean order(String path, String body, Duration limit) throws InterruptedException {
    long end = System.nanoTime() + limit.toNanos();
    for (int i = 0; System.nanoTime() < end; i++) {
      String control = controlAddresses().get(i % controls.size());
      if (post(control, path, body) == 200) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return false;
  }

  /** Sends a call and returns the status, or 0 without a response within a second. */
  int post(String address, String path, String body) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .timeout(Duration.ofSeconds(1))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException noResponse) {
      return 0;
    }
  }

  /** Waits until all entries are ready. */
  boolean awaitReady(Duration limit) throws InterruptedException {
    long end = System.nanoTime() + limit.toNanos();
    while (System.nanoTime() < end) {
      if (entries.stream().allMatch(e -> isReady(e))) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(200);
    }
    return false;
  }

  boolean isReady(Instance entry) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + entry.ip + ":" + READY_PORT + "/ready"))
            .timeout(Duration.ofSeconds(1))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException notRunning) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() throws InterruptedException, IOException {
    for (Instance instance : instances()) {
      instance.kill();
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
