package org.lacewingcroft.fleet;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.function.Consumer;
import org.lacewingcroft.http.RequestAccount;
import org.lacewingcroft.http.RequestMemory;
import org.lacewingcroft.http.RetryAfter;

/**
 * Reads the bodies of calls to a control instance within three limits: the size of one body, the
 * size of all bodies that are held for calls without a response, and the time that a body may take.
 * Bodies are also charged to the {@link RequestAccount} of their connection, which has to exist.
 *
 * <p>A call beyond a limit is answered at once. What still arrives of its body is discarded,
 * because the caller might not read the response if the connection were closed before it has sent
 * everything; the connection is closed when the time is up.
 *
 * <p>Not thread-safe: confined to the event loop thread.
 */
public final class CallBodyReader {
  /** Size up to which a body is read regardless of the others, such as an announcement. */
  private static final int SMALL_BODY_BYTES = 64 << 10;

  private final Vertx vertx;
  private final long maxBodyBytes;
  private final long maxTotalBytes;
  private final Duration timeout;
  private final Rejection rejection;
  private long heldBytes;

  /** Sends the response to a call whose body is not read. */
  public interface Rejection {
    /** Responds with a status and a reason. */
    void reject(HttpServerRequest request, int status, String reason);
  }

  /**
   * Creates a reader that holds no body.
   *
   * @param maxBodyBytes maximum size of a body; a larger one is answered with 413
   * @param maxTotalBytes maximum size of all bodies held; a call beyond it is answered with 503
   *     unless its body is small
   * @param timeout maximum duration until a body is complete; a slower one is answered with 408
   * @param rejection sends these responses
   */
  public CallBodyReader(
      Vertx vertx, long maxBodyBytes, long maxTotalBytes, Duration timeout, Rejection rejection) {
    this.vertx = vertx;
    this.maxBodyBytes = maxBodyBytes;
    this.maxTotalBytes = maxTotalBytes;
    this.timeout = timeout;
    this.rejection = rejection;
  }

  /** Reads the body of a call, and passes it on unless a limit is exceeded or the caller leaves. */
  public void read(HttpServerRequest request, Consumer<Buffer> onBody) {
    new Body(request, onBody).read();
  }

  private final class Body {
    private final HttpServerRequest request;
    private final Consumer<Buffer> onBody;
    private final RequestAccount account;
    private final long timer;
    private Buffer received = Buffer.buffer();
    private boolean released;

    private Body(HttpServerRequest request, Consumer<Buffer> onBody) {
      this.request = request;
      this.onBody = onBody;
      this.account = RequestAccount.of(request);
      this.timer = vertx.setTimer(timeout.toMillis(), id -> onTimeout());
    }

    private void read() {
      account.onRefusal(this::refuseForMemory);
      request.response().endHandler(v -> release());
      request.response().closeHandler(v -> release());
      request.exceptionHandler(
          e -> {
            vertx.cancelTimer(timer);
            release();
          });
      request.handler(this::onChunk);
      request.endHandler(v -> onEnd());
      if (statedLength() > maxBodyBytes) {
        rejectTooLarge();
      }
    }

    private long statedLength() {
      try {
        return Long.parseLong(request.getHeader("Content-Length"));
      } catch (NumberFormatException chunked) {
        return 0;
      }
    }

    private void onChunk(Buffer chunk) {
      if (released) {
        return;
      }
      int length = received.length() + chunk.length();
      if (length > maxBodyBytes) {
        rejectTooLarge();
      } else if (length > SMALL_BODY_BYTES && heldBytes + chunk.length() > maxTotalBytes) {
        reject(503, "too many calls with large bodies are in progress");
      } else {
        account.chargeBody(chunk.length());
        append(chunk);
      }
    }

    private void append(Buffer chunk) {
      // The charge of the chunk may have ended this call.
      if (!released) {
        heldBytes += chunk.length();
        received.appendBuffer(chunk);
      }
    }

    private void refuseForMemory() {
      // A complete call may have taken effect already.
      if (!released && !request.isEnded()) {
        String retryAfter = Long.toString(RequestMemory.RETRY_AFTER.toSeconds());
        request.response().putHeader(RetryAfter.HEADER, retryAfter);
        reject(503, "too many large requests are in progress");
      }
    }

    private void onEnd() {
      vertx.cancelTimer(timer);
      if (!released) {
        onBody.accept(received);
      }
    }

    private void onTimeout() {
      if (!released) {
        reject(408, "the body did not arrive within " + timeout.toMillis() + " ms");
      }
      request.connection().close();
    }

    private void rejectTooLarge() {
      reject(413, "the body exceeds " + maxBodyBytes + " bytes");
    }

    private void reject(int status, String reason) {
      release();
      rejection.reject(request, status, reason);
    }

    private void release() {
      if (!released) {
        released = true;
        heldBytes -= received.length();
        received = Buffer.buffer();
      }
    }
  }
}
