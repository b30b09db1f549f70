package org.lacewingcroft.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.endpoint.EndpointKind;
import org.lacewingcroft.lifecycle.EndMarker;
import org.lacewingcroft.lifecycle.ErrorReporter;
import org.lacewingcroft.lifecycle.ServiceRunner;
import org.lacewingcroft.logging.LogContext;
import org.lacewingcroft.misc.MonotonicInstantSource;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code lacewingcroft-standin}, which runs one or more stand-in runners in one
 * process. The runners are model engines or a plain service. Each one listens on its own free port
 * and announces itself to the given entries.
 */
@Command(
    name = "lacewingcroft-standin",
    mixinStandardHelpOptions = true,
    description = "Runs stand-in engines or a stand-in plain service that announce themselves.")
public final class Main implements Callable<Integer> {
  /** The cache of files, which nothing uses, cannot be opened once the process is stopping. */
  private static final FileSystemOptions FILES =
      new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);

  private static final System.Logger LOG = System.getLogger(Main.class.getName());

  @Option(names = "--kind", defaultValue = "engine", description = "engine or service")
  String kind;

  @Option(names = "--id-prefix", required = true, description = "runner ids are <prefix>-<n>")
  String idPrefix;

  @Option(names = "--runners", defaultValue = "1", description = "number of runners")
  int runners;

  @Option(names = "--region", required = true)
  String region;

  @Option(names = "--failure-domain", required = true)
  String failureDomain;

  @Option(names = "--announce", split = ",", required = true, description = "gateway base URLs")
  List<String> gateways;

  @Option(names = "--label", description = "key=value, repeatable")
  Map<String, String> labels = new HashMap<>();

  @Option(names = "--model", split = ",", required = true, description = "models or service name")
  List<String> models;

  @Option(names = "--capacity", defaultValue = "8", description = "concurrent sequences")
  int capacity;

  @Option(names = "--step-millis", defaultValue = "4", description = "engine step duration")
  long stepMillis;

  @Option(
      names = "--announce-millis",
      defaultValue = "1000",
      description = "lease renewal interval")
  long announceMillis;

  @Option(
      names = "--report-lag-millis",
      defaultValue = "2000",
      description = "age of the reported load and cache events")
  long reportLagMillis;

  @Option(
      names = "--checks-fencing",
      defaultValue = "false",
      description = "refuse orders with outdated fencing tokens")
  boolean checksFencing;

  @Option(
      names = "--prefix-cache",
      defaultValue = "64",
      description = "maximum number of cached prefixes")
  int prefixCache;

  @Option(names = "--port-file", description = "file for the runner URLs as a JSON array")
  Path portFile;

  /** Runs the stand-ins and exits with the status of the command. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  private static void stop(StandinRunner runner) {
    try {
      runner.close();
    } catch (Exception e) {
      LOG.log(System.Logger.Level.WARNING, "standin.stop_failed", e);
    }
  }

  @Override
  public Integer call() throws Exception {
    LogContext.setNodeId(idPrefix);
    EndMarker marker = new EndMarker(Optional.empty(), InstantSource.system());
    ErrorReporter errors = new ErrorReporter(marker, new MonotonicInstantSource());
    return new ServiceRunner(marker, errors).run(this::startRunners);
  }

  private AutoCloseable startRunners() throws Exception {
    EndpointKind endpointKind = EndpointKind.valueOf(kind.toUpperCase(java.util.Locale.ROOT));
    Vertx vertx = Vertx.vertx(new VertxOptions().setFileSystemOptions(FILES));
    List<StandinRunner> started = new ArrayList<>();
    ArrayNode urls = new ObjectMapper().createArrayNode();
    for (int i = 1; i <= runners; i++) {
      RunnerSpec spec =
          new RunnerSpec(
              idPrefix + "-" + i,
              endpointKind,
              region,
              failureDomain,
              labels,
              models,
              capacity,
              gateways,
              Duration.ofMillis(announceMillis),
              Duration.ofMillis(reportLagMillis),
              checksFencing,
              EngineTiming.DEFAULT.withBaseStep(Duration.ofMillis(stepMillis)),
              prefixCache);
      StandinRunner runner = new StandinRunner(vertx, spec);
      runner.start("127.0.0.1").toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
      started.add(runner);
      urls.add(runner.baseUrl());
    }
    if (portFile != null) {
      Path temporary = portFile.resolveSibling(portFile.getFileName() + ".tmp");
      Files.writeString(temporary, urls.toString());
      Files.move(temporary, portFile, StandardCopyOption.ATOMIC_MOVE);
    }
    LOG.log(System.Logger.Level.INFO, "standin.started", "runners", runners, "kind", kind);
    return () -> {
      started.parallelStream().forEach(Main::stop);
      LOG.log(System.Logger.Level.INFO, "standin.stopped", "runners", runners);
      vertx.close();
    };
  }
}
