package org.lacewingcroft.lifecycle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.daemon.Daemon;
import org.lacewingcroft.daemon.Role;
import org.lacewingcroft.daemon.Settings;
import org.lacewingcroft.logging.LogContext;
import org.lacewingcroft.routing.LeastInFlightPolicy;

/** Guards against a process that fails, or is not stopped, if the signal arrives as it starts. */
class StopDuringStartTest {
  private static final int EXIT_TERMINATED = 143;
  private static final String SIGNAL_EVENT = "start.awaits_signal";

  @TempDir private Path dataDir;

  /** The process that is stopped; its arguments are the data folder and the steps of its start. */
  static final class StartingProcess {
    private static final System.Logger LOG = System.getLogger(StartingProcess.class.getName());

    public static void main(String[] args) throws Exception {
      LogContext.logToStandardOutput();
      EndMarker marker = new EndMarker(Optional.of(Path.of(args[0])), InstantSource.system());
      ErrorReporter errors = new ErrorReporter(marker, InstantSource.system());
      System.exit(
          new ServiceRunner(marker, errors)
              .run(
                  () -> {
                    marker.begin(true);
                    for (int i = 1; i < args.length; i++) {
                      runStep(args[i], Path.of(args[0]));
                    }
                    return () -> {
                      LOG.log(System.Logger.Level.INFO, "service.closed");
                      marker.markStopped();
                    };
                  }));
    }

    private static void runStep(String step, Path dataDir) throws Exception {
      switch (step) {
        case "signal":
          LOG.log(System.Logger.Level.INFO, SIGNAL_EVENT);
          while (!isEnding()) {
            TimeUnit.MILLISECONDS.sleep(1);
          }
          break;
        case "fail":
          throw new IllegalStateException("no port");
        case "daemon":
          Daemon.start(settings(dataDir));
          break;
        default:
          TimeUnit.MILLISECONDS.sleep(Long.parseLong(step));
      }
    }

    private static Settings settings(Path dataDir) {
      return new Settings(
          Role.CONTROL,
          "control-1",
          "region-1",
          "region-1-a",
          "127.0.0.1",
          /* httpPort= */ 0,
          /* peerPort= */ 0,
          /* peers= */ List.of(),
          Optional.of(dataDir),
          /* controlGroup= */ List.of(),
          /* bootstrap= */ true,
          /* faultInjection= */ false,
          "a secret of the test".getBytes(StandardCharsets.UTF_8),
          LeastInFlightPolicy.NAME,
          /* maxBodyBytes= */ 1 << 20,
          /* maxInFlight= */ 100,
          /* hedgeAfter= */ Duration.ZERO,
          /* endpointLease= */ Duration.ofSeconds(3),
          /* heartbeatInterval= */ Duration.ofMillis(200),
          /* drainTimeout= */ Duration.ofSeconds(1),
          /* portFile= */ Optional.empty());
    }

    private static boolean isEnding() {
      Thread hook = new Thread(() -> {});
      try {
        Runtime.getRuntime().addShutdownHook(hook);
        return !Runtime.getRuntime().removeShutdownHook(hook);
      } catch (IllegalStateException e) {
        return true;
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "signal 0, service.closed, stopped",
    "signal 500, service.closed, stopped",
    "signal daemon, service.closed, stopped",
    "signal 60000, process.stop_failed, failed: java.util.concurrent.TimeoutException",
    "signal fail, process.fatal, failed: java.lang.IllegalStateException: no port"
  })
  void serviceIsClosedOnceItHasStarted(String steps, String event, String previousEnd)
      throws Exception {
    String log = run(steps);
    assertThat(log, containsString("\"event\":\"" + event + "\""));
    assertThat(log, not(containsString("Shutdown in progress")));
    EndMarker next = new EndMarker(Optional.of(dataDir), InstantSource.system());
    assertThat(next.begin(false).cause(), equalTo(previousEnd));
  }

  private String run(String steps) throws Exception {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classPath = System.getProperty("java.class.path");
    ProcessBuilder builder = new ProcessBuilder(java, "-Xmx64m", "-cp", classPath);
    builder.command().add(StartingProcess.class.getName());
    builder.command().add(dataDir.toString());
    builder.command().addAll(List.of(steps.split(" ")));
    Process process = builder.redirectErrorStream(true).start();
    StringBuilder log = new StringBuilder();
    try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        log.append(line).append('\n');
        if (line.contains(SIGNAL_EVENT)) {
          process.toHandle().destroy();
        }
      }
    }
    assertThat(log.toString(), process.waitFor(), equalTo(EXIT_TERMINATED));
    return log.toString();
  }
}
