package org.lacewingcroft.forward;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Reads the bodies of admitted requests, and tracks the requests whose bodies are not complete.
 *
 * <p>Confined to the event loop thread, except for {@link #incomplete}.
 */
final class RequestBodies {
  private static final System.Logger LOG = System.getLogger(RequestBodies.class.getName());

  private final Vertx vertx;
  private final IntSupplier maxBodyBytes;
  private final Set<IncompleteRequest> incomplete = ConcurrentHashMap.newKeySet();

  /** A request of which the head has been read. */
  private final class IncompleteRequest {
    private final HttpServerRequest request;
    private final CallerResponse response;
    private final long timer;
    private final int maxBytes = maxBodyBytes.getAsInt();
    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    private IncompleteRequest(
        HttpServerRequest request, CallerResponse response, Duration timeout) {
      this.request = request;
      this.response = response;
      this.timer =
          vertx.setTimer(Math.max(1, timeout.toMillis()), id -> onTimeout(timeout.toMillis()));
    }

    private void onTimeout(long timeoutMillis) {
      if (remove() && response.isOpen()) {
        EntryServer.logRejected(
            LOG, request, "its body did not arrive within " + timeoutMillis + " ms");
        response.closeConnectionAfterResponse();
        response.sendError(408, "the body did not arrive in time", true, Optional.empty());
      }
    }

    private void append(Buffer chunk) {
      if (body.length() + chunk.length() > maxBytes) {
        tooLarge = true;
      } else {
        body.appendBuffer(chunk);
      }
    }

    private void onEnd(Consumer<Buffer> onBody) {
      if (!remove()) {
        return;
      }
      if (tooLarge) {
        String reason = "the body exceeds " + maxBytes + " bytes";
        response.sendError(413, reason, true, Optional.empty());
      } else {
        onBody.accept(body);
      }
    }

    /** Ends the tracking of this request; returns whether it was tracked. */
    private boolean remove() {
      vertx.cancelTimer(timer);
      return incomplete.remove(this);
    }
  }

  /**
   * Creates a reader.
   *
   * @param maxBodyBytes returns the maximum size of a body, read when a request arrives
   */
  RequestBodies(Vertx vertx, IntSupplier maxBodyBytes) {
    this.vertx = vertx;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Reads the body of a request. Responds with 408 if it is not complete in time and with 413 if it
   * exceeds the size limit.
   *
   * @param timeout the time limit, after which the response would be too late for the caller
   * @param onBody receives the complete body, unless the request has been responded to or its
   *     sender has disconnected
   */
  void read(
      HttpServerRequest request,
      CallerResponse response,
      Duration timeout,
      Consumer<Buffer> onBody) {
    IncompleteRequest reading = new IncompleteRequest(request, response, timeout);
    incomplete.add(reading);
    response.onDisconnect(reading::remove);
    request.handler(reading::append);
    request.endHandler(v -> reading.onEnd(onBody));
  }

  /** Returns the number of requests whose bodies are not complete; may be called by any thread. */
  int incomplete() {
    return incomplete.size();
  }

  /** Refuses the requests whose bodies are not complete, in the way that is passed. */
  void refuse(Consumer<CallerResponse> refusal) {
    for (IncompleteRequest reading : List.copyOf(incomplete)) {
      reading.remove();
      refusal.accept(reading.response);
    }
  }
}
