package org.lacewingcroft.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command-line tool {@code lacewingcroft} for operators and callers. */
@Command(
    name = "lacewingcroft",
    mixinStandardHelpOptions = true,
    scope = CommandLine.ScopeType.INHERIT,
    version = "lacewingcroft 0.1.0",
    description = "Operate and call a lacewingcroft gateway.",
    subcommands = {
      EntriesCommand.class,
      ApplyCommand.class,
      GetCommand.class,
      EndpointsCommand.class,
      QuarantineCommand.class,
      TimelineCommand.class,
      ReportCommand.class,
      DemoCommand.class,
      BenchCommand.class
    })
public final class Main implements Runnable {
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  /** Runs the tool and exits with the status of the subcommand. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  @Override
  public void run() {
    spec.commandLine().usage(System.out);
  }
}
