package org.lacewingcroft.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of a local deployment that can be started, signalled and restarted. */
final class DeploymentProcess {
  private static final int SIGTERM_STATUS = 143;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
  private static final List<String> JVM_ARGS =
      List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError", "-Xss512k");

  private final String name;
  private final String mainClass;
  private final Path log;
  private Process process;
  private boolean stopped;

  DeploymentProcess(String name, String mainClass, Path log) {
    this.name = name;
    this.mainClass = mainClass;
    this.log = log;
  }

  String name() {
    return name;
  }

  Path log() {
    return log;
  }

  /** Returns whether the process was killed or stopped deliberately and not restarted. */
  boolean stopped() {
    return stopped;
  }

  /** Starts the process and appends its output to the log. */
  void start(List<String> args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_ARGS);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
    command.addAll(args);
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    stopped = false;
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  void kill() throws InterruptedException {
    stopped = true;
    process.destroyForcibly();
    process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Requests a graceful shutdown with SIGTERM. */
  void terminate() {
    stopped = true;
    process.destroy();
  }

  /**
   * Waits for the process to exit and returns its status.
   *
   * @throws IllegalStateException if it did not exit in time and was killed
   */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      kill();
      throw new IllegalStateException(name + " did not stop within " + STOP_TIMEOUT);
    }
    return process.exitValue();
  }

  /** Waits for the process to exit and returns whether it shut down gracefully. */
  boolean exitsCleanly() throws InterruptedException {
    try {
      int status = awaitExit();
      return status == 0 || status == SIGTERM_STATUS;
    } catch (IllegalStateException e) {
      return false;
    }
  }

  /** Sends a signal such as STOP or CONT to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns the CPU time that the process has used so far, in nanoseconds. */
  long cpuNanos() {
    return process.toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }
}
