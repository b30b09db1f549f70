package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Replays a recorded trace against a gateway, or directly against an engine, and checks every
 * response. Each content token must contain the request id, and a stream must end with {@code
 * [DONE]}. Otherwise the response counts as corrupted. A stream that ends with an error event
 * counts as {@code broken_off} instead, because the caller can detect that it is incomplete.
 */
public final class TraceReplayer implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long REPLAY_TIMEOUT_SECONDS = 120;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;
  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client =
      vertx.createHttpClient(
          new HttpClientOptions().setKeepAlive(true), new PoolOptions().setHttp1MaxSize(64));

  /**
   * Replays a trace and waits for all responses.
   *
   * @param trace the requests to send
   * @param targetFor returns the base URL that a request is sent to (an entry of its region, or an
   *     engine)
   * @return the measurements
   * @throws InterruptedException if interrupted while waiting for responses
   */
  public ReplayResult replay(List<TraceRequest> trace, Function<TraceRequest, String> targetFor)
      throws InterruptedException {
    ReplayResult result = new ReplayResult();
    CountDownLatch done = new CountDownLatch(trace.size());
    for (TraceRequest r : trace) {
      String target = targetFor.apply(r);
      vertx.setTimer(Math.max(1, r.atMillis()), id -> send(r, target, result, done));
    }
    if (!done.await(REPLAY_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      result.count("unanswered", (int) done.getCount());
    }
    return result;
  }

  private void send(TraceRequest request, String target, ReplayResult result, CountDownLatch done) {
    String requestId = UUID.randomUUID().toString();
    ReplayedResponse replayed = new ReplayedResponse(request, requestId, result);
    client
        .request(options(request, target, requestId))
        .onFailure(e -> countFailure("unreachable", result, done))
        .onSuccess(
            outgoing ->
                outgoing
                    .send(Buffer.buffer(request.body()))
                    .onFailure(e -> countFailure("cut", result, done))
                    .onSuccess(response -> readResponse(response, replayed, result, done)));
  }

  private static RequestOptions options(TraceRequest request, String target, String requestId) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI(target + "/v1/chat/completions")
            .setIdleTimeout(IDLE_TIMEOUT_MILLIS)
            .putHeader("Content-Type", "application/json")
            .putHeader("X-Request-Id", requestId)
            .putHeader("X-Organisation", request.organisation());
    request.residency().ifPresent(v -> options.putHeader("X-Residency", v));
    request.idempotencyKey().ifPresent(v -> options.putHeader("Idempotency-Key", v));
    return options;
  }

  private static void readResponse(
      HttpClientResponse response,
      ReplayedResponse replayed,
      ReplayResult result,
      CountDownLatch done) {
    response.handler(chunk -> replayed.onChunk(response.statusCode(), chunk.toString()));
    response.exceptionHandler(e -> countFailure("cut", result, done));
    response.endHandler(
        v -> {
          replayed.onEnd(
              response.statusCode(),
              Optional.ofNullable(response.getHeader("X-Lacewingcroft-Region")));
          done.countDown();
        });
  }

  private static void countFailure(String outcome, ReplayResult result, CountDownLatch done) {
    result.count(outcome);
    done.countDown();
  }

  /** Returns the URL of the highest-ranked entry in a response body of {@code GET /v1/entries}. */
  public static String firstEntry(String entriesJson) {
    try {
      JsonNode entries = JSON.readTree(entriesJson).path("entries");
      return entries.path(0).path("url").asText();
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException("invalid entries response: " + entriesJson, e);
    }
  }

  @Override
  public void close() {
    client.close();
    vertx.close();
  }
}
