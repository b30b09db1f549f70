package org.lacewingcroft.logging;

import java.time.InstantSource;
import java.util.Optional;
import org.lacewingcroft.misc.HybridLogicalClock;

/**
 * Process-wide facts every log line carries: the node id and the hybrid logical clock.
 *
 * <p>Set once at start-up by the process's main; peers merge received stamps through {@link
 * #clock()} so the time line of many processes orders causally.
 */
public final class LogContext {
  private static volatile String nodeId = "unnamed";
  private static final HybridLogicalClock CLOCK = new HybridLogicalClock(InstantSource.system());

  private static volatile Optional<LogWriter> writer = Optional.empty();

  private LogContext() {}

  /** Sets the node id printed on every line. */
  public static void setNodeId(String id) {
    nodeId = id;
  }

  /** Returns the node id printed on every line. */
  public static String nodeId() {
    return nodeId;
  }

  /** Returns the process's hybrid logical clock. */
  public static HybridLogicalClock clock() {
    return CLOCK;
  }

  /**
   * Sends this process's log lines to standard output, through a bounded queue that never blocks
   * the logging thread. Until then they go to standard error as they are logged.
   */
  public static void logToStandardOutput() {
    writer = Optional.of(LogWriter.toStandardOutput());
  }

  static void write(String line) {
    Optional<LogWriter> current = writer;
    if (current.isPresent()) {
      current.get().offer(line);
    } else {
      System.err.println(line);
    }
  }
}
