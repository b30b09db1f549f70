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

/**
 * Measures the latency that the gateway adds. Replays the demo trace through the gateway, then the
 * same trace directly against one stand-in engine in the region of the caller, and prints both
 * results and their ratio.
 */
@Command(
    name = "overhead",
    description = "Latency added by the gateway, compared with direct calls.")
final class OverheadBenchCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    Path dir = Files.createTempDirectory("lacewingcroft-bench");
    List<TraceRequest> trace = DemoDeployment.trace();
    try (LocalDeployment deployment = LocalDeployment.start(DemoDeployment.topology(), dir);
        TraceReplayer replayer = new TraceReplayer()) {
      Map<String, String> entries = deployment.entryUrls();
      Map<String, List<String>> standins = deployment.standinUrlsByGroup();
      ReplayResult warmUp = replayer.replay(trace, r -> entries.get(r.region() + "-entry-1"));
      ReplayResult viaGateway = replayer.replay(trace, r -> entries.get(r.region() + "-entry-1"));
      ReplayResult direct =
          replayer.replay(trace, r -> standins.get("writers-" + r.region()).get(0));
      System.out.print(warmUp.report("warm-up through the gateway"));
      System.out.print(viaGateway.report("through the gateway"));
      System.out.print(direct.report("directly to one engine per region"));
      double firstTokenRatio =
          viaGateway.firstTokenMicros.getValueAtPercentile(50)
              / (double) Math.max(1, direct.firstTokenMicros.getValueAtPercentile(50));
      System.out.printf("first token p50 ratio gateway/direct: %.2f%n", firstTokenRatio);
      double betweenTokensRatio =
          viaGateway.betweenTokensMicros.getValueAtPercentile(95)
              / (double) Math.max(1, direct.betweenTokensMicros.getValueAtPercentile(95));
      System.out.printf("between tokens p95 ratio gateway/direct: %.2f%n", betweenTokensRatio);
      return 0;
    }
  }
}
