package org.lacewingcroft.cli;

import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.PolicyBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares routing policies while a region loses capacity. Prints one JSON line per policy. */
@Command(name = "policy", description = "Cost, tail latency and cross-region share by policy.")
final class PolicyBenchCommand implements Callable<Integer> {
  @Option(
      names = "--policies",
      split = ",",
      defaultValue = "least-in-flight,prefix-affinity,cache-aware")
  List<String> policies;

  @Option(names = "--seconds", defaultValue = "24", description = "length of the trace")
  int seconds;

  @Option(names = "--rate", defaultValue = "60", description = "requests per second, all regions")
  double requestsPerSecond;

  @Option(names = "--seed", defaultValue = "1", description = "seed of the trace")
  long seed;

  @Override
  public Integer call() throws Exception {
    PolicyBench.Options options =
        new PolicyBench.Options(policies, seconds, requestsPerSecond, seed);
    boolean ok =
        new PolicyBench(options, System.out::println)
            .run(Files.createTempDirectory("lacewingcroft-policy"));
    return ok ? 0 : 1;
  }
}
