package org.lacewingcroft.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.DemoDeployment;
import org.lacewingcroft.bench.LocalDeployment;
import org.lacewingcroft.bench.ReplayResult;
import org.lacewingcroft.bench.TraceReplayer;
import org.lacewingcroft.bench.TraceRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Starts the bundled demo deployment as separate processes on the loopback interface, replays the
 * bundled trace against its entries, prints a summary and shuts the processes down gracefully.
 */
@Command(name = "demo", description = "Start a local deployment, replay the demo trace, stop.")
final class DemoCommand implements Callable<Integer> {
  @Option(names = "--work-dir", description = "logs and data; default: a new temporary directory")
  Path workDir;

  @Override
  public Integer call() throws Exception {
    Path dir = workDir != null ? workDir : Files.createTempDirectory("lacewingcroft-demo");
    System.out.println("lacewingcroft demo: starting processes; logs in " + dir);
    List<TraceRequest> trace = DemoDeployment.trace();
    ReplayResult result;
    List<String> stopFailures;
    try (LocalDeployment deployment = LocalDeployment.start(DemoDeployment.topology(), dir)) {
      Map<String, String> entryByRegion = new java.util.HashMap<>();
      try (BlockingHttpClient http = new BlockingHttpClient()) {
        String anyDaemon = deployment.entryUrls().values().iterator().next();
        for (String region : DemoDeployment.REGIONS) {
          entryByRegion.put(
              region,
              TraceReplayer.firstEntry(
                  http.get(anyDaemon + "/v1/entries?region=" + region).body()));
        }
      }
      try (TraceReplayer replayer = new TraceReplayer()) {
        result = replayer.replay(trace, r -> entryByRegion.get(r.region()));
      }
      stopFailures = deployment.stop();
    }
    System.out.print(result.report("lacewingcroft demo: " + trace.size() + " requests"));
    System.out.println("  processes stopped with errors: " + stopFailures);
    boolean ok =
        result.corrupted == 0
            && result.outsideResidency == 0
            && result.outcome("served") > 0
            && stopFailures.isEmpty();
    System.out.println("  verdict: " + (ok ? "ok" : "FAILED"));
    return ok ? 0 : 1;
  }
}
