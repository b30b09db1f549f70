package org.lacewingcroft.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against the loss of the last lines of a process. */
class LogWriterTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** An output that accepts the first write only after it is released. */
  private static final class StalledOutput extends OutputStream {
    private final CountDownLatch writing = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<String> lines = new ArrayList<>();

    @Override
    public void write(int b) throws IOException {
      throw new IOException("lines are written in batches");
    }

    @Override
    public synchronized void write(byte[] bytes) throws IOException {
      writing.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      lines.addAll(new String(bytes, StandardCharsets.UTF_8).lines().toList());
      if (lines.contains("exhausts the heap")) {
        lines.remove("exhausts the heap");
        throw new OutOfMemoryError("thrown by a test");
      }
    }
  }

  @Test
  void fatalLineGoesBeforeFullQueue() throws InterruptedException {
    StalledOutput out = new StalledOutput();
    LogWriter writer = new LogWriter(out, 2);
    writer.start();
    writer.offer("first");
    out.writing.await();
    writer.offer("second");
    writer.offer("third");
    writer.offerFirst("fatal");
    out.released.countDown();
    writer.flush(TIMEOUT);
    assertThat(
        out.lines,
        contains(
            List.of(
                org.hamcrest.Matchers.equalTo("first"),
                org.hamcrest.Matchers.equalTo("fatal"),
                org.hamcrest.Matchers.equalTo("second"),
                containsString("\"count\":1"))));
  }

  @Test
  void flushEndsWhenTheOutputIsStalled() {
    LogWriter writer = new LogWriter(new StalledOutput(), 2);
    writer.start();
    writer.offer("first");
    long startNanos = System.nanoTime();
    writer.flush(Duration.ofMillis(50));
    assertThat(System.nanoTime() - startNanos, lessThan(TIMEOUT.toNanos()));
  }

  @Test
  void writesOnAfterAnExhaustedHeap() {
    StalledOutput out = new StalledOutput();
    out.released.countDown();
    LogWriter writer = new LogWriter(out, 9);
    writer.start();
    writer.offer("exhausts the heap");
    writer.flush(TIMEOUT);
    writer.offer("next");
    writer.flush(TIMEOUT);
    assertThat(out.lines.get(0), containsString("next"));
  }
}
