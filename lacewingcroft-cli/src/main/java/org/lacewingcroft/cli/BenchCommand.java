package org.lacewingcroft.cli;

import picocli.CommandLine.Command;

/** Groups the benchmark commands. */
@Command(
    name = "bench",
    description = "Benchmarks and load tests.",
    subcommands = {
      OverheadBenchCommand.class,
      SlopesBenchCommand.class,
      LoadBenchCommand.class,
      ConfigBenchCommand.class,
      PolicyBenchCommand.class,
      OrdersBenchCommand.class
    })
final class BenchCommand implements Runnable {
  @Override
  public void run() {
    new picocli.CommandLine(this).usage(System.out);
  }
}
