package org.lacewingcroft.lifecycle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Optional;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.logging.LogContext;

/** Guards against a process that ends before the cause of its end is written. */
class LastLinesTest {
  private static final int LINES = 2_000;

  @TempDir private Path dataDir;

  /** The process that ends. */
  static final class EndingProcess {
    private static final System.Logger LOG = System.getLogger(EndingProcess.class.getName());

    public static void main(String[] args) throws Exception {
      LogContext.logToStandardOutput();
      EndMarker marker = new EndMarker(Optional.of(Path.of(args[1])), InstantSource.system());
      marker.begin(true);
      ErrorReporter errors = new ErrorReporter(marker, InstantSource.system());
      errors.reportThreadEnds();
      for (int i = 0; i < LINES; i++) {
        LOG.log(System.Logger.Level.INFO, "before.end");
      }
      switch (args[0]) {
        case "halt":
          Thread.currentThread().interrupt();
          errors.reportAndHalt(new IOException("no space"), 3);
          break;
        case "thread":
          throw new IOException("no space");
        default:
          LOG.log(System.Logger.Level.INFO, "no space");
          System.exit(4);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "halt, 3, process.fatal, failed: java.io.IOException: no space",
    "thread, 1, process.fatal, failed: java.io.IOException: no space",
    "exit, 4, before.end, not_recorded"
  })
  void causeIsWrittenBeforeTheProcessEnds(String end, int status, String event, String cause)
      throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                EndingProcess.class.getName(),
                end,
                dataDir.toString())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor(), equalTo(status));
    assertThat(log, containsString("\"event\":\"" + event + "\""));
    assertThat(log, containsString("no space"));
    assertThat(log.lines().filter(l -> l.contains("before.end")).count(), equalTo((long) LINES));
    EndMarker next = new EndMarker(Optional.of(dataDir), InstantSource.system());
    assertThat(next.begin(false).cause(), equalTo(cause));
  }
}
