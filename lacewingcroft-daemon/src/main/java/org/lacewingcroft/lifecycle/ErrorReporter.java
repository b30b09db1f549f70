package org.lacewingcroft.lifecycle;

import io.vertx.core.Vertx;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lacewingcroft.limit.TokenBucket;
import org.lacewingcroft.logging.LogContext;

/**
 * Logs errors that nothing else handles: {@code process.fatal} for those that end a thread or the
 * process, and for an exhausted heap or stack; {@code handler.failed} for exceptions in Vert.x
 * handlers, which end only the handler's run.
 */
public final class ErrorReporter {
  private static final System.Logger LOG = System.getLogger(ErrorReporter.class.getName());
  private static final String FATAL = "process.fatal";
  private static final int MAX_FRAMES = 8;
  private static final int MAX_REASON_CHARS = 120;
  private static final double MAX_LINES_PER_SECOND = 5;
  private static final double MAX_LINES_BURST = 20;
  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(300);
  private static final long MARK_TIMEOUT_MILLIS = 300;

  private final EndMarker marker;
  private final InstantSource clock;
  private final TokenBucket handlerLines;
  private final AtomicBoolean handlerFailureMarked = new AtomicBoolean();
  private long unlogged;

  /**
   * Creates a reporter.
   *
   * @param marker records the last fatal error
   * @param clock the clock that limits the rate of {@code handler.failed}
   */
  public ErrorReporter(EndMarker marker, InstantSource clock) {
    this.marker = marker;
    this.clock = clock;
    this.handlerLines = new TokenBucket(MAX_LINES_PER_SECOND, MAX_LINES_BURST, clock.instant());
  }

  /** Reports the errors that end a thread of this process. */
  public void reportThreadEnds() {
    Thread.setDefaultUncaughtExceptionHandler(this::reportFatal);
  }

  /** Reports the exceptions that handlers of this Vert.x instance throw. */
  public void reportHandlersOf(Vertx vertx) {
    vertx.exceptionHandler(this::reportHandlerFailure);
  }

  /**
   * Reports an error that ends a thread or the process, and waits for a bounded time until it is
   * written. Must not be called on an event loop.
   */
  public void reportFatal(Thread thread, Throwable error) {
    log(System.Logger.Level.ERROR, FATAL, thread, error, 0);
    // An executor that is shut down interrupts the thread that reports why, and the waits would end
    // at once.
    boolean interrupted = Thread.interrupted();
    LogContext.flush(FLUSH_TIMEOUT);
    // The disk may be the cause, and must not hold up the end of the process.
    try {
      startMarking(error).join(MARK_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      interrupted = true;
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reports a fatal error of the current thread, then ends the process at once. */
  public void reportAndHalt(Throwable error, int status) {
    try {
      reportFatal(Thread.currentThread(), error);
    } finally {
      Runtime.getRuntime().halt(status);
    }
  }

  void reportHandlerFailure(Throwable error) {
    boolean fatal = error instanceof VirtualMachineError;
    boolean firstFatal = fatal && handlerFailureMarked.compareAndSet(false, true);
    if (firstFatal) {
      startMarking(error);
    }
    synchronized (handlerLines) {
      if (!handlerLines.tryTake(clock.instant()) && !firstFatal) {
        unlogged++;
        return;
      }
      if (fatal) {
        log(System.Logger.Level.ERROR, FATAL, Thread.currentThread(), error, unlogged);
      } else {
        log(System.Logger.Level.WARNING, "handler.failed", Thread.currentThread(), error, unlogged);
      }
      unlogged = 0;
    }
  }

  private static void log(
      System.Logger.Level level, String event, Thread thread, Throwable error, long unlogged) {
    LOG.log(
        level,
        event,
        "reason",
        reason(error),
        "thread",
        thread.getName(),
        "error",
        error,
        "at",
        firstFrames(error),
        "unlogged",
        unlogged);
  }

  /** Returns the short class name and the beginning of the message of what caused an error. */
  static String reason(Throwable error) {
    Throwable cause = error;
    while (isWrapper(cause) && cause.getCause() != null) {
      cause = cause.getCause();
    }
    String message = Optional.ofNullable(cause.getMessage()).orElse("");
    return cause.getClass().getSimpleName()
        + (message.isEmpty() ? "" : ": ")
        + message.substring(0, Math.min(message.length(), MAX_REASON_CHARS));
  }

  private static boolean isWrapper(Throwable error) {
    return error instanceof ExecutionException
        || error instanceof CompletionException
        || error instanceof UncheckedIOException;
  }

  private Thread startMarking(Throwable error) {
    Thread thread = new Thread(() -> marker.markFailed(error), "mark-failed");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Returns the innermost frames of an error and of its first cause. */
  static String firstFrames(Throwable error) {
    StringBuilder text = new StringBuilder(512);
    appendFrames(text, error);
    if (error.getCause() != null) {
      text.append(" | cause ").append(error.getCause()).append(" at ");
      appendFrames(text, error.getCause());
    }
    return text.toString();
  }

  private static void appendFrames(StringBuilder text, Throwable error) {
    StackTraceElement[] frames = error.getStackTrace();
    for (int i = 0; i < Math.min(frames.length, MAX_FRAMES); i++) {
      text.append(i == 0 ? "" : " < ").append(frames[i]);
    }
  }
}
