package org.lacewingcroft.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

/** Reads the bodies of responses that are used as a whole, within bounds. */
public final class ResponseBodies {
  private ResponseBodies() {}

  /**
   * Reads the body of a response, and closes its connection if the body exceeds a bound.
   *
   * @param maxBytes the maximum size of the body
   * @param timeout the time until the body has to be complete
   * @return fails with an {@link InvalidResponseException} if the body is larger, or with a {@link
   *     TimeoutException}
   */
  public static Future<Buffer> read(
      Vertx vertx, HttpClientResponse response, int maxBytes, Duration timeout) {
    Promise<Buffer> complete = Promise.promise();
    Buffer body = Buffer.buffer();
    response.exceptionHandler(complete::tryFail);
    response.endHandler(v -> complete.tryComplete(body));
    response.handler(
        chunk -> {
          if (complete.future().isComplete()) {
            return;
          }
          if (body.length() + chunk.length() > maxBytes) {
            complete.tryFail(
                new InvalidResponseException("a body of more than " + maxBytes + " bytes"));
          } else {
            body.appendBuffer(chunk);
          }
        });
    long timer =
        vertx.setTimer(
            Math.max(1, timeout.toMillis()),
            id ->
                complete.tryFail(
                    new TimeoutException("no complete body within " + timeout.toMillis() + " ms")));
    return complete
        .future()
        .onComplete(result -> vertx.cancelTimer(timer))
        .onFailure(e -> response.request().connection().close());
  }
}
