package org.lacewingcroft.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.lacewingcroft.bench.ConfigBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Applies configuration changes to a local deployment while faults are injected. Prints one JSON
 * line and exits with status 1 if an accepted change was lost, a daemon reverted to an older
 * version, a resend returned another version, or the daemons have different documents.
 */
@Command(
    name = "config",
    description = "Configuration changes under kills, partitions and lost disks.")
final class ConfigBenchCommand implements Callable<Integer> {
  @Option(names = "--changes", defaultValue = "100", description = "changes to apply")
  int changes;

  @Option(names = "--controls", defaultValue = "3", description = "control daemons: 3 or 5")
  int controls;

  @Option(
      names = "--delay-millis",
      defaultValue = "40",
      description = "one-way delay between regions")
  long delayMillis;

  @Option(names = "--interval-millis", defaultValue = "250", description = "wait after a change")
  long intervalMillis;

  @Option(names = "--no-faults", description = "inject no faults")
  boolean noFaults;

  @Option(names = "--seed", defaultValue = "1", description = "seed of faults and races")
  long seed;

  @Option(names = "--work-dir", description = "logs and data; default: a new temporary directory")
  Path workDir;

  @Override
  public Integer call() throws Exception {
    Path dir = workDir != null ? workDir : Files.createTempDirectory("lacewingcroft-config");
    ConfigBench.Options options =
        new ConfigBench.Options(changes, controls, delayMillis, intervalMillis, !noFaults, seed);
    System.err.println("lacewingcroft bench config: logs in " + dir);
    return new ConfigBench(options, System.out::println).run(dir) ? 0 : 1;
  }
}
