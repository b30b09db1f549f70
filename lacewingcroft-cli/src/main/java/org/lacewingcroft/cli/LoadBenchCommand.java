package org.lacewingcroft.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
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
 * Replays the demo trace against the demo deployment at increasing rates and measures the CPU time
 * of the entry daemons per request and per relayed token. Prints one JSON line per rate.
 */
@Command(name = "load", description = "Entry CPU time per request and per token, by rate.")
final class LoadBenchCommand implements Callable<Integer> {
  private static final ObjectMapper JSON = new ObjectMapper();

  @Option(names = "--speedups", split = ",", defaultValue = "1,2,4")
  List<Double> speedups;

  @Option(names = "--copies", defaultValue = "4", description = "trace copies per rate")
  int copies;

  @Option(
      names = "--warm-ups",
      defaultValue = "3",
      description = "warm-up replays at the highest rate")
  int warmUps;

  @Option(
      names = "--idle-seconds",
      defaultValue = "5",
      description = "duration of the idle measurement")
  int idleSeconds;

  @Override
  public Integer call() throws Exception {
    List<TraceRequest> base = DemoDeployment.trace();
    try (LocalDeployment deployment =
            LocalDeployment.start(
                DemoDeployment.topology(), Files.createTempDirectory("lacewingcroft-load"));
        TraceReplayer replayer = new TraceReplayer()) {
      Map<String, String> entries = deployment.entryUrls();
      for (int round = 0; round < warmUps; round++) {
        replayer.replay(
            TraceRequest.scaled(base, copies, speedups.get(speedups.size() - 1)),
            request -> entries.get(request.region() + "-entry-1"));
      }
      long idleStartCpuNanos = deployment.cpuNanos(n -> n.contains("-entry-"));
      long idleStartNanos = System.nanoTime();
      java.util.concurrent.TimeUnit.SECONDS.sleep(idleSeconds);
      double idleCoresPerEntry =
          (deployment.cpuNanos(n -> n.contains("-entry-")) - idleStartCpuNanos)
              / (double) (System.nanoTime() - idleStartNanos)
              / entries.size();
      for (double speedup : speedups) {
        List<TraceRequest> trace = TraceRequest.scaled(base, copies, speedup);
        long startCpuNanos = deployment.cpuNanos(n -> n.contains("-entry-"));
        long startNanos = System.nanoTime();
        ReplayResult result =
            replayer.replay(trace, request -> entries.get(request.region() + "-entry-1"));
        double wallSeconds = (System.nanoTime() - startNanos) / 1e9;
        long cpuNanos = deployment.cpuNanos(n -> n.contains("-entry-")) - startCpuNanos;
        long tokens = trace.stream().mapToLong(TraceRequest::maxTokens).sum();
        ObjectNode line = JSON.createObjectNode();
        line.put("bench", "entry-load");
        line.put("requests", trace.size());
        line.put("served", result.outcome("served"));
        line.put("requestsPerSecond", trace.size() / wallSeconds);
        double busyNanos = cpuNanos - idleCoresPerEntry * entries.size() * wallSeconds * 1e9;
        line.put("idleCoreSharePerEntry", idleCoresPerEntry);
        line.put("entryCpuMicrosPerRequest", cpuNanos / 1000.0 / trace.size());
        line.put("entryCpuMicrosPerRequestAboveIdle", busyNanos / 1000.0 / trace.size());
        line.put("entryCpuMicrosPerTokenAboveIdle", busyNanos / 1000.0 / tokens);
        line.put("firstTokenP95Millis", result.firstTokenMicros.getValueAtPercentile(95) / 1000.0);
        line.put(
            "betweenTokensP95Millis", result.betweenTokensMicros.getValueAtPercentile(95) / 1000.0);
        System.out.println(line);
      }
    }
    return 0;
  }
}
