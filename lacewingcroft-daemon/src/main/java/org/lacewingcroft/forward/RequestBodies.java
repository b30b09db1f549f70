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
import org.lacewingcroft.http.RequestAccount;
import org.lacewingcroft.http.RequestMemory;

/**
 * Reads the bodies of admitted requests, and tracks the requests until they are started.
 *
 * <p>Confined to the event loop thread, except for {@link #unstarted}.
 */
final class RequestBodies {
  private final Vertx vertx;
  private final IntSupplier maxBodyBytes;
  private final OverloadGate overload;
  private final Set<AdmittedRequest> unstarted = ConcurrentHashMap.newKeySet();

  /** A request of which the head has been read. */
  private final class AdmittedRequest {
    private final HttpServerRequest request;
    private final CallerResponse response;
    private final RequestAccount account;
    private final long timer;
    private final int maxBytes = maxBodyBytes.getAsInt();
    private Buffer body = Buffer.buffer();
    private boolean tooLarge;

    private AdmittedRequest(HttpServerRequest request, CallerResponse response, Duration timeout) {
      this.request = request;
      this.response = response;
      this.account = RequestAccount.of(request);
      account.onRefusal(this::refuseForMemory);
      this.timer =
          vertx.setTimer(Math.max(1, timeout.toMillis()), id -> onTimeout(timeout.toMillis()));
    }

    private void onTimeout(long timeoutMillis) {
      if (remove() && response.isOpen()) {
        EntryServer.logRejected(request, "its body did not arrive within " + timeoutMillis + " ms");
        response.closeConnectionAfterResponse();
        response.sendError(408, "the body did not arrive in time", true, Optional.empty());
      }
    }

    private void refuseForMemory() {
      // The connection refers to this request until it has handled its end, in a later task.
      body = Buffer.buffer();
      if (remove() && response.isOpen()) {
        EntryServer.logRejected(request, "too much memory is held for requests");
        response.closeConnectionAfterResponse();
        response.sendError(
            503,
            "too many large requests are in progress",
            true,
            Optional.of(RequestMemory.RETRY_AFTER));
      }
    }

    private void append(Buffer chunk) {
      if (body.length() + chunk.length() > maxBytes) {
        tooLarge = true;
        return;
      }
      if (!unstarted.contains(this)) {
        return;
      }
      account.chargeBody(chunk.length());
      // The charge may have ended this request.
      if (unstarted.contains(this)) {
        body.appendBuffer(chunk);
      }
    }

    private void onEnd(String sender, Consumer<Buffer> onBody) {
      vertx.cancelTimer(timer);
      if (!unstarted.contains(this)) {
        return;
      }
      if (tooLarge) {
        remove();
        String reason = "the body exceeds " + maxBytes + " bytes";
        response.sendError(413, reason, true, Optional.empty());
        return;
      }
      overload.start(
          response,
          sender,
          () -> {
            if (remove()) {
              onBody.accept(body);
            }
          });
    }

    /** Ends the tracking of this request; returns whether it was tracked. */
    private boolean remove() {
      vertx.cancelTimer(timer);
      return unstarted.remove(this);
    }
  }

  /**
   * Creates a reader.
   *
   * @param maxBodyBytes returns the maximum size of a body, read when a request arrives
   * @param overload starts the requests whose bodies are complete
   */
  RequestBodies(Vertx vertx, IntSupplier maxBodyBytes, OverloadGate overload) {
    this.vertx = vertx;
    this.maxBodyBytes = maxBodyBytes;
    this.overload = overload;
  }

  /**
   * Reads the body of a request. Responds with 408 if it is not complete in time and with 413 if it
   * exceeds the size limit.
   *
   * @param timeout the time limit, after which the response would be too late for the caller
   * @param sender the kind of sender, for the metrics
   * @param onBody starts the request with its complete body, unless it has been responded to or its
   *     sender has disconnected
   */
  void read(
      HttpServerRequest request,
      CallerResponse response,
      Duration timeout,
      String sender,
      Consumer<Buffer> onBody) {
    AdmittedRequest admitted = new AdmittedRequest(request, response, timeout);
    unstarted.add(admitted);
    response.onDisconnect(admitted::remove);
    request.handler(admitted::append);
    request.endHandler(v -> admitted.onEnd(sender, onBody));
  }

  /** Returns the number of requests that are not started; may be called by any thread. */
  int unstarted() {
    return unstarted.size();
  }

  /** Refuses the requests that are not started, in the way that is passed. */
  void refuseUnstarted(Consumer<CallerResponse> refusal) {
    for (AdmittedRequest admitted : List.copyOf(unstarted)) {
      admitted.remove();
      refusal.accept(admitted.response);
    }
  }
}
