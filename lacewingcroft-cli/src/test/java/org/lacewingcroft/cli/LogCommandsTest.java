package org.lacewingcroft.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.logs.SampleLog;
import picocli.CommandLine;

/** Tests the log commands by running them through the command line. */
class LogCommandsTest {
  private static final int USAGE_ERROR_STATUS = 2;

  @TempDir private Path directory;
  private Path log;

  @BeforeEach
  void writeLog() throws IOException {
    log = directory.resolve("entry.log");
    Files.writeString(
        log,
        String.join(
            "\n",
            SampleLog.line(0, "north-1", "endpoint.changed", "endpoint", "i-1"),
            SampleLog.placed(10, "north-1", "r-1", "i-1"),
            SampleLog.finished(20, "north-1", "r-1", "served", 200, true),
            SampleLog.line(30, "north-1", "routing.in_force", "version", 3)));
  }

  static Stream<Arguments> selections() {
    return Stream.of(
        Arguments.of("--request r-1", 0, 3),
        Arguments.of("--request r-2", 1, 0),
        Arguments.of("--endpoint i-1", 0, 1),
        Arguments.of("--config-version 3", 0, 1),
        Arguments.of("--grep r-1", 0, 2),
        Arguments.of("--request r-1 --endpoint i-1", USAGE_ERROR_STATUS, 0),
        Arguments.of("", 0, 4));
  }

  @ParameterizedTest
  @MethodSource("selections")
  void timelinePrintsSelectedLines(String options, int status, int lines) {
    StringWriter out = new StringWriter();
    assertThat(run(out, ("timeline " + options).trim() + " " + log), is(status));
    assertThat((int) out.toString().lines().count(), is(lines));
  }

  @Test
  void reportPrintsTablesAndWritesPlot() throws IOException {
    StringWriter out = new StringWriter();
    Path plot = directory.resolve("plot.png");
    assertThat(run(out, "report --weight chat=2 --plot " + plot + " " + log), is(0));
    assertThat(out.toString(), containsString("by second of arrival"));
    assertThat(ImageIO.read(plot.toFile()).getWidth(), greaterThan(800));
  }

  private static int run(StringWriter out, String arguments) {
    CommandLine command = new CommandLine(new Main());
    command.setOut(new PrintWriter(out)).setErr(new PrintWriter(new StringWriter()));
    return command.execute(arguments.split(" "));
  }
}
