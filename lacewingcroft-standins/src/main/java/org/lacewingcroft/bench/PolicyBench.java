package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Compares routing policies on the same trace, each on a separate deployment, while a region loses
 * most of its engines and its traffic moves to engines with cold caches. Measures the cost (engine
 * step time per served request), the tail latency of long review prompts and of short questions
 * separately, and the share of requests sent to another region.
 */
public final class PolicyBench {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int RUNNER_CAPACITY = 8;
  private static final int CACHED_PREFIXES = 24;
  private static final int[] RUNNERS_BY_REGION = {4, 3, 2};
  private static final String LOST_GROUP_SUFFIX = "-lost";

  private final Options options;
  private final Consumer<String> out;

  /**
   * The parameters of a run.
   *
   * @param policies the names of the routing policies
   * @param seconds the length of the trace; the region loses its engines after a third of it
   * @param requestsPerSecond the mean rate of the trace over all regions
   * @param seed the seed of the trace
   */
  public record Options(List<String> policies, int seconds, double requestsPerSecond, long seed) {}

  /** Creates a benchmark that writes JSON lines to the given consumer. */
  public PolicyBench(Options options, Consumer<String> out) {
    this.options = options;
    this.out = out;
  }

  /**
   * Runs every policy and returns whether no request was served outside its residency and no
   * response was corrupted.
   */
  public boolean run(Path workDir) throws Exception {
    List<TraceRequest> trace =
        WorkloadTrace.generate(
            DemoDeployment.REGIONS, options.seconds(), options.requestsPerSecond(), options.seed());
    boolean ok = true;
    for (String policy : options.policies()) {
      ok &= runPolicy(policy, trace, workDir.resolve(policy));
    }
    return ok;
  }

  private static LocalDeployment.Topology topology(String policy) {
    List<LocalDeployment.StandinGroup> groups = new ArrayList<>();
    for (int i = 0; i < DemoDeployment.REGIONS.size(); i++) {
      String region = DemoDeployment.REGIONS.get(i);
      int lostRunners = i == 0 ? RUNNERS_BY_REGION[0] - 1 : 0;
      groups.add(engines("writers-" + region, region, RUNNERS_BY_REGION[i] - lostRunners));
      if (lostRunners > 0) {
        groups.add(engines("writers-" + region + LOST_GROUP_SUFFIX, region, lostRunners));
      }
    }
    return new LocalDeployment.Topology(
            DemoDeployment.REGIONS,
            2,
            1,
            groups,
            DemoDeployment.resource("demo/selectors.yaml"),
            List.of())
        .withDaemonArgs("--routing-policy", policy);
  }

  private static LocalDeployment.StandinGroup engines(String name, String region, int runners) {
    return new LocalDeployment.StandinGroup(
        name,
        "engine",
        region,
        runners,
        "writer",
        Map.of("service", "writers", "tier", "standard"),
        RUNNER_CAPACITY,
        List.of("--prefix-cache", Integer.toString(CACHED_PREFIXES)));
  }

  private boolean runPolicy(String policy, List<TraceRequest> trace, Path dir) throws Exception {
    Files.createDirectories(dir);
    try (LocalDeployment deployment = LocalDeployment.start(topology(policy), dir);
        TraceReplayer replayer = new TraceReplayer()) {
      List<TraceRequest> warmUp = trace.subList(0, trace.size() / 6);
      replayer.replay(warmUp, r -> entryFor(deployment, r));
      final Counters before = Counters.read(deployment);
      CompletableFuture<Counters> lostCounters =
          CompletableFuture.supplyAsync(() -> loseEngines(deployment));
      ReplayResult result = replayer.replay(trace, r -> entryFor(deployment, r));
      Counters countersOfTrace =
          Counters.read(deployment).plus(lostCounters.get(60, TimeUnit.SECONDS)).minus(before);
      out.accept(report(policy, trace, result, countersOfTrace).toString());
      return result.outsideResidency == 0 && result.corrupted == 0;
    }
  }

  private static String entryFor(LocalDeployment deployment, TraceRequest r) {
    return deployment.urlOf(r.region() + "-entry-" + (1 + r.atMillis() % 2));
  }

  /** Kills the engines that the first region loses and returns their counters before the kill. */
  private Counters loseEngines(LocalDeployment deployment) {
    try {
      TimeUnit.MILLISECONDS.sleep(options.seconds() * 1000L / 3);
      Counters all = Counters.read(deployment);
      deployment.kill("writers-" + DemoDeployment.REGIONS.get(0) + LOST_GROUP_SUFFIX);
      return all.minus(Counters.read(deployment));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** The counters summed over all running engines. */
  private record Counters(long busyMicros, long hits, long misses) {
    static Counters read(LocalDeployment deployment) throws Exception {
      return new Counters(
          deployment.engineCounter("busyMicros"),
          deployment.engineCounter("cacheHits"),
          deployment.engineCounter("cacheMisses"));
    }

    Counters plus(Counters o) {
      return new Counters(busyMicros + o.busyMicros, hits + o.hits, misses + o.misses);
    }

    Counters minus(Counters o) {
      return new Counters(busyMicros - o.busyMicros, hits - o.hits, misses - o.misses);
    }
  }

  private static ObjectNode report(
      String policy, List<TraceRequest> trace, ReplayResult result, Counters countersOfTrace) {
    ObjectNode line = JSON.createObjectNode();
    int served = result.outcome("served");
    line.put("bench", "policy");
    line.put("policy", policy);
    line.put("requests", trace.size());
    line.put("served", served);
    line.set("outcomes", JSON.valueToTree(result.outcomes));
    line.put("stepMillisPerServed", countersOfTrace.busyMicros() / 1000.0 / Math.max(1, served));
    line.put(
        "cacheHitShare",
        countersOfTrace.hits()
            / (double) Math.max(1, countersOfTrace.hits() + countersOfTrace.misses()));
    line.put("crossRegionShare", result.crossRegionShare());
    line.put("outsideResidency", result.outsideResidency);
    line.put("corrupted", result.corrupted);
    putFirstTokenPercentiles(line, "review", result.reviewFirstTokenMicros);
    putFirstTokenPercentiles(line, "question", result.questionFirstTokenMicros);
    line.put("betweenTokensP95Millis", millis(result.betweenTokensMicros, 95));
    line.put("betweenTokensP99Millis", millis(result.betweenTokensMicros, 99));
    return line;
  }

  private static void putFirstTokenPercentiles(ObjectNode line, String kind, Histogram firstToken) {
    line.put(kind + "FirstTokenP50Millis", millis(firstToken, 50));
    line.put(kind + "FirstTokenP95Millis", millis(firstToken, 95));
    line.put(kind + "FirstTokenP99Millis", millis(firstToken, 99));
  }

  private static double millis(Histogram h, double percentile) {
    return h.getValueAtPercentile(percentile) / 1000.0;
  }
}
