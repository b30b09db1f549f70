package org.lacewingcroft.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

/** Tests that every command and nested subcommand supports --help and --version. */
class HelpTest {
  static Stream<String> commands() {
    List<String> paths = new ArrayList<>();
    collect(new CommandLine(new Main()), "", paths);
    return paths.stream();
  }

  private static void collect(CommandLine command, String path, List<String> paths) {
    paths.add(path);
    command
        .getSubcommands()
        .forEach((name, sub) -> collect(sub, (path + " " + name).trim(), paths));
  }

  @ParameterizedTest
  @MethodSource("commands")
  void supportsHelp(String path) {
    assertThat(run(path, "--help"), containsString("Usage: lacewingcroft"));
  }

  @ParameterizedTest
  @MethodSource("commands")
  void supportsVersion(String path) {
    assertThat(run(path, "--version"), containsString("lacewingcroft 0."));
  }

  private static String run(String path, String option) {
    StringWriter out = new StringWriter();
    CommandLine command = new CommandLine(new Main()).setOut(new PrintWriter(out));
    String[] args = (path + " " + option).trim().split(" ");
    assertThat(command.execute(args), is(0));
    return out.toString();
  }
}
