package org.lacewingcroft.logging;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a separate thread, so that a slow or closed reader of the output never delays
 * a request: lines wait in a bounded queue, and while it is full, further lines are dropped and
 * counted. The count is logged with the next line that is written.
 */
public final class LogWriter {
  /** Capacity of the queue: the lines of several seconds of a busy entry, about 2 MB. */
  private static final int QUEUE_CAPACITY_LINES = 8_192;

  private static final int MAX_BATCH_LINES = 256;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream out;

  /** Creates and starts a writer to standard output. */
  static LogWriter toStandardOutput() {
    LogWriter writer = new LogWriter(new FileOutputStream(java.io.FileDescriptor.out));
    writer.start();
    return writer;
  }

  LogWriter(OutputStream out) {
    this.out = out;
  }

  private void start() {
    Thread thread = new Thread(this::run, "log-writer");
    thread.setDaemon(true);
    thread.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::flushAtExit, "log-flush"));
  }

  /** Queues a line, or drops and counts it if the queue is full; never blocks. */
  void offer(String line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
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
  void writeBatch(String first) {
    List<String> lines = new ArrayList<>();
    lines.add(first);
    queue.drainTo(lines, MAX_BATCH_LINES);
    long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      lines.add(
          "{\"level\":\"WARNING\",\"event\":\"log.lines_dropped\",\"count\":" + droppedLines + "}");
    }
    StringBuilder text = new StringBuilder(lines.size() * 256);
    lines.forEach(l -> text.append(l).append('\n'));
    try {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    } catch (IOException outputClosed) {
      dropped.addAndGet(lines.size());
    }
  }

  private void flushAtExit() {
    try {
      String line = queue.poll(50, TimeUnit.MILLISECONDS);
      while (line != null) {
        writeBatch(line);
        line = queue.poll();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
