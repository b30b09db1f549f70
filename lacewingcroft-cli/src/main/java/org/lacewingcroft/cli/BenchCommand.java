package org.lacewingcroft.cli;

import picocli.CommandLine.Command;

/** The load and experiment tool's command group. */
@Command(
    name = "bench",
    description = "Load and experiment tool.",
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
