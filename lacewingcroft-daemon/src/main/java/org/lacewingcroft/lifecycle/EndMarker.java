package org.lacewingcroft.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A small file in the data folder by which the next process of an instance determines how this one
 * ended: {@code running} from the start on, replaced by {@code stopped} or {@code failed}.
 *
 * <p>The file has one line: the state, the start of the process and the time of writing in Unix
 * milliseconds, and for {@code failed} the error. No operation throws: a marker that cannot be read
 * or written never prevents a start or a stop.
 *
 * <p>The file is replaced without a sync, so that writing it never waits for the disk beside the
 * consensus log. After a power loss it may have its older content or none, and either only says
 * less about the end of the process.
 *
 * <p>The methods wait for the file system for a bounded time, so that a disk that does not respond
 * prevents neither a start nor a stop; they must not be called on an event loop.
 */
public final class EndMarker {
  /** Name of the file in the data folder. */
  public static final String FILE_NAME = "process-state";

  private static final System.Logger LOG = System.getLogger(EndMarker.class.getName());
  private static final String RUNNING = "running";
  private static final String STOPPED = "stopped";
  private static final String FAILED = "failed";
  private static final int MAX_FILE_BYTES = 2_048;
  private static final int MAX_ERROR_CHARS = 300;
  private static final int FIELD_COUNT = 4;

  /** Maximum wait for the file system. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private final Optional<Path> file;
  private final InstantSource wallClock;
  private volatile long startedAtMillis;

  /**
   * Creates a marker; nothing is read or written yet.
   *
   * @param dataDir the data folder; without one nothing is recorded
   * @param wallClock the wall clock, which advances while no process runs
   */
  public EndMarker(Optional<Path> dataDir, InstantSource wallClock) {
    this.file = dataDir.map(d -> d.resolve(FILE_NAME));
    this.wallClock = wallClock;
  }

  /**
   * Reads how the previous process ended and records that this one is running.
   *
   * @param firstStart whether this is the deployment's first start, when no file is expected
   */
  public PreviousEnd begin(boolean firstStart) {
    startedAtMillis = wallClock.millis();
    if (file.isEmpty()) {
      return PreviousEnd.UNKNOWN;
    }
    return callInTime(
            () -> {
              PreviousEnd previous = read(file.get(), firstStart);
              return write(RUNNING, "") ? previous : PreviousEnd.UNKNOWN;
            })
        .orElse(PreviousEnd.UNKNOWN);
  }

  /** Records an orderly stop. */
  public void markStopped() {
    callInTime(() -> write(STOPPED, ""));
  }

  /** Records that the process ends, or may end, because of an error. */
  public void markFailed(Throwable error) {
    callInTime(() -> write(FAILED, describe(error)));
  }

  /** Returns the result of an action on the file system, or nothing if it does not end in time. */
  private static <T> Optional<T> callInTime(Callable<T> action) {
    FutureTask<T> task = new FutureTask<>(action);
    Thread thread = new Thread(task, "end-marker");
    thread.setDaemon(true);
    thread.start();
    try {
      return Optional.of(task.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    } catch (TimeoutException | ExecutionException e) {
      LOG.log(System.Logger.Level.WARNING, "end_marker.failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Optional.empty();
  }

  private static String describe(Throwable error) {
    String text = error.toString().replaceAll("\\s+", " ");
    return text.substring(0, Math.min(text.length(), MAX_ERROR_CHARS));
  }

  private static PreviousEnd read(Path file, boolean firstStart) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new IOException("longer than " + MAX_FILE_BYTES + " bytes");
      }
      return parse(Files.readString(file));
    } catch (NoSuchFileException e) {
      return firstStart ? PreviousEnd.FIRST_START : PreviousEnd.NOT_RECORDED;
    } catch (IOException | RuntimeException e) {
      LOG.log(System.Logger.Level.WARNING, "end_marker.unreadable", e);
      return PreviousEnd.UNKNOWN;
    }
  }

  private static PreviousEnd parse(String line) throws IOException {
    String[] fields = line.split(" ", FIELD_COUNT);
    if (fields.length < FIELD_COUNT || !line.endsWith("\n")) {
      throw new IOException("incomplete");
    }
    Optional<Instant> startedAt = Optional.of(Instant.ofEpochMilli(Long.parseLong(fields[1])));
    Optional<Instant> writtenAt = Optional.of(Instant.ofEpochMilli(Long.parseLong(fields[2])));
    switch (fields[0]) {
      case RUNNING:
        return new PreviousEnd("not_recorded", startedAt, Optional.empty());
      case STOPPED:
        return new PreviousEnd(STOPPED, startedAt, writtenAt);
      case FAILED:
        return new PreviousEnd(FAILED + ": " + fields[3].strip(), startedAt, writtenAt);
      default:
        throw new IOException("unknown state");
    }
  }

  private synchronized boolean write(String state, String error) {
    if (file.isEmpty()) {
      return true;
    }
    Path target = file.get();
    Path temporary = target.resolveSibling(FILE_NAME + ".tmp");
    try {
      Files.createDirectories(target.getParent());
      Files.writeString(
          temporary, state + " " + startedAtMillis + " " + wallClock.millis() + " " + error + "\n");
      Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
      return true;
    } catch (IOException | RuntimeException e) {
      LOG.log(System.Logger.Level.WARNING, "end_marker.not_written", e);
      return false;
    }
  }
}
