package org.lacewingcroft.lifecycle;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.lacewingcroft.logging.LogContext;

/**
 * Runs the service of a process from its start until the process receives a signal to stop.
 *
 * <p>The signal may arrive while the service starts. The shutdown hook is therefore registered
 * before the start, and waits until the start has ended; then it closes the service.
 */
public final class ServiceRunner {
  /** Starts a service. */
  @FunctionalInterface
  public interface Start {
    /**
     * Returns the service once it has started.
     *
     * @throws Exception if the service could not start
     */
    AutoCloseable run() throws Exception;
  }

  private static final System.Logger LOG = System.getLogger(ServiceRunner.class.getName());
  private static final int EXIT_STOPPED = 0;
  private static final int EXIT_START_FAILED = 1;
  private static final Duration LAST_LINES_TIMEOUT = Duration.ofMillis(300);

  /** Part of the time that a process has to end after a signal; the rest is for requests. */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(4);

  private final EndMarker marker;
  private final ErrorReporter errors;
  private final CompletableFuture<AutoCloseable> service = new CompletableFuture<>();
  private final CountDownLatch stopped = new CountDownLatch(1);

  /**
   * Creates a runner for one service.
   *
   * @param marker records a stop that failed
   * @param errors reports a start that failed
   */
  public ServiceRunner(EndMarker marker, ErrorReporter errors) {
    this.marker = marker;
    this.errors = errors;
  }

  /**
   * Starts the service and waits until it is stopped.
   *
   * @return the exit status of the process; without effect after a signal, which determines it
   */
  public int run(Start start) throws InterruptedException {
    try {
      Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
    } catch (IllegalStateException e) {
      // The process is ending already, and nothing has started.
      return EXIT_STOPPED;
    }
    try {
      service.complete(start.run());
    } catch (Exception | Error e) {
      errors.reportFatal(Thread.currentThread(), e);
      service.completeExceptionally(e);
      // Threads of a service that has not started would keep the process alive.
      return EXIT_START_FAILED;
    }
    stopped.await();
    return EXIT_STOPPED;
  }

  private void stop() {
    try {
      service.get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).close();
    } catch (ExecutionException e) {
      LOG.log(System.Logger.Level.DEBUG, "process.not_started", e.getCause());
    } catch (Exception e) {
      LOG.log(System.Logger.Level.ERROR, "process.stop_failed", e);
      marker.markFailed(e);
    } finally {
      LogContext.flush(LAST_LINES_TIMEOUT);
      stopped.countDown();
    }
  }
}
