package org.lacewingcroft.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of a local deployment: started, signalled, and started again. */
final class DeploymentProcess {
  private static final int SIGTERM_STATUS = 143;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
  private static final List<String> JVM_ARGS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-Xss512k");

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

  /** Returns whether it was killed or stopped on purpose and not started again. */
  boolean stopped() {
    return stopped;
  }

  /** Starts it; its output is appended to the log. */
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

  /** Kills it at once (SIGKILL). */
  void kill() throws InterruptedException {
    stopped = true;
    process.destroyForcibly();
    process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Asks it to stop (SIGTERM). */
  void terminate() {
    stopped = true;
    process.destroy();
  }

  /** Waits until it has stopped and returns its status; kills it and throws if it does not. */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      kill();
      throw new IllegalStateException(name + " did not stop within " + STOP_TIMEOUT);
    }
    return process.exitValue();
  }

  /** Waits until it has stopped and returns whether it did so gracefully. */
  boolean exitsCleanly() throws InterruptedException {
    try {
      int status = awaitExit();
      return status == 0 || status == SIGTERM_STATUS;
    } catch (IllegalStateException e) {
      return false;
    }
  }

  /** Sends it a signal, such as STOP or CONT. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns the processor time it has used so far, in nanoseconds. */
  long cpuNanos() {
    return process.toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }
}
