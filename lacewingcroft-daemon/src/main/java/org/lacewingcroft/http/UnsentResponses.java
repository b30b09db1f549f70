package org.lacewingcroft.http;

import io.vertx.core.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the responses that are complete but whose last byte is not yet written to the socket,
 * because their receiver reads slowly. They are lost if the process ends.
 */
public final class UnsentResponses {
  private final AtomicInteger count = new AtomicInteger();

  /**
   * Counts a response until it is written or its connection is closed.
   *
   * @param written completes when the end of the response is written, or fails
   */
  public void track(Future<Void> written) {
    count.incrementAndGet();
    written.onComplete(result -> count.decrementAndGet());
  }

  /** Returns the number of responses that are not written yet. */
  public int count() {
    return count.get();
  }
}
