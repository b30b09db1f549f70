package org.lacewingcroft.logging;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.lacewingcroft.misc.HybridLogicalClock;

/**
 * Process-wide values that are written in every log line: the node id and the time of the hybrid
 * logical clock.
 *
 * <p>The main class sets the node id once at start-up. The peer transport merges received
 * timestamps through {@link #clock()}, so that the log lines of many processes can be ordered
 * causally.
 */
public final class LogContext {
  private static volatile String nodeId = "unnamed";
  private static final HybridLogicalClock CLOCK = new HybridLogicalClock(InstantSource.system());

  private static volatile Optional<LogWriter> writer = Optional.empty();

  private LogContext() {}

  /** Sets the node id that is written in every line. */
  public static void setNodeId(String id) {
    nodeId = id;
  }

  /** Returns the node id that is written in every line. */
  public static String nodeId() {
    return nodeId;
  }

  /** Returns the hybrid logical clock of the process. */
  public static HybridLogicalClock clock() {
    return CLOCK;
  }

  /**
   * Redirects the log lines of this process to standard output, through a bounded queue that never
   * blocks the logging thread. Before this call, lines are written directly to standard error.
   */
  public static void logToStandardOutput() {
    writer = Optional.of(LogWriter.toStandardOutput());
  }

  /**
   * Waits until the queued lines are written, or until the timeout. Must not be called on an event
   * loop.
   */
  public static void flush(Duration timeout) {
    writer.ifPresent(w -> w.flush(timeout));
  }

  static void write(System.Logger.Level level, String line) {
    Optional<LogWriter> current = writer;
    if (current.isPresent() && level == System.Logger.Level.ERROR) {
      current.get().offerFirst(line);
    } else if (current.isPresent()) {
      current.get().offer(line);
    } else {
      System.err.println(line);
    }
  }
}
