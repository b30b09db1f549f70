package org.lacewingcroft.logging;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a separate thread, so that a slow or closed reader of the output never delays
 * a request: lines wait in a bounded queue, and while it is full, further lines are dropped and
 * counted. The count is logged with the next line that is written. Lines about errors are written
 * before those that wait, and take the place of the newest one if the queue is full.
 */
public final class LogWriter {
  /** Capacity of the queue: the lines of several seconds of a busy entry, about 2 MB. */
  private static final int QUEUE_CAPACITY_LINES = 8_192;

  private static final int MAX_BATCH_LINES = 256;

  private static final Duration EXIT_FLUSH_TIMEOUT = Duration.ofMillis(300);

  private final BlockingDeque<String> queue;

  /** The lines that are being written; confined to the writing thread. */
  private final List<String> batch = new ArrayList<>(MAX_BATCH_LINES + 1);

  /** Lines in the queue or taken from it and not written yet. */
  private final AtomicInteger pending = new AtomicInteger();

  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream out;

  /** Creates and starts a writer to standard output. */
  static LogWriter toStandardOutput() {
    LogWriter writer =
        new LogWriter(new FileOutputStream(java.io.FileDescriptor.out), QUEUE_CAPACITY_LINES);
    writer.start();
    return writer;
  }

  LogWriter(OutputStream out, int capacityLines) {
    this.out = out;
    this.queue = new LinkedBlockingDeque<>(capacityLines);
  }

  void start() {
    Thread thread = new Thread(this::run, "log-writer");
    thread.setDaemon(true);
    thread.start();
    try {
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> flush(EXIT_FLUSH_TIMEOUT), "log-flush"));
    } catch (IllegalStateException e) {
      // The process is ending already, and no line has been queued.
      return;
    }
  }

  /** Queues a line, or drops and counts it if the queue is full; never blocks. */
  void offer(String line) {
    pending.incrementAndGet();
    if (!queue.offer(line)) {
      drop();
    }
  }

  /** Queues a line before all others; never blocks. */
  void offerFirst(String line) {
    pending.incrementAndGet();
    while (!queue.offerFirst(line)) {
      if (queue.pollLast() != null) {
        drop();
      }
    }
  }

  private void drop() {
    pending.decrementAndGet();
    dropped.incrementAndGet();
  }

  private void run() {
    try {
      while (true) {
        writeBatch(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a line and the lines queued after it in one system call. */
  private void writeBatch(String first) {
    batch.add(first);
    queue.drainTo(batch, MAX_BATCH_LINES);
    try {
      writeLines();
    } catch (IOException | OutOfMemoryError e) {
      // The thread goes on: without it, the lines that report an exhausted heap would be lost.
      dropped.addAndGet(batch.size());
    } finally {
      pending.addAndGet(-batch.size());
      batch.clear();
    }
  }

  private void writeLines() throws IOException {
    StringBuilder text = new StringBuilder((batch.size() + 1) * 256);
    batch.forEach(l -> text.append(l).append('\n'));
    long droppedLines = dropped.get();
    if (droppedLines > 0) {
      text.append("{\"level\":\"WARNING\",\"event\":\"log.lines_dropped\",\"count\":")
          .append(droppedLines)
          .append("}\n");
    }
    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    dropped.addAndGet(-droppedLines);
  }

  /** Waits until no line waits to be written, or until the timeout. */
  void flush(Duration timeout) {
    long endNanos = System.nanoTime() + timeout.toNanos();
    try {
      while (pending.get() > 0 && System.nanoTime() < endNanos) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
