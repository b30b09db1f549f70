package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Replays a recorded trace against a gateway (or straight against an engine) and checks every
 * answer: each content token must carry the request's own id, and a stream must end with {@code
 * [DONE]}; otherwise the answer counts as corrupted. A stream that ends with an error event counts
 * as broken off: its caller knows that it is not complete.
 */
public final class TraceReplayer implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long REPLAY_TIMEOUT_SECONDS = 120;
  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client =
      vertx.createHttpClient(
          new HttpClientOptions().setKeepAlive(true), new PoolOptions().setHttp1MaxSize(64));

  /**
   * Replays the trace.
   *
   * @param trace the requests
   * @param targetFor the base URL to send each request to (an entry of its region, or an engine)
   * @return the measurements
   * @throws InterruptedException if interrupted while waiting for answers
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
      synchronized (result) {
        result.outcomes.merge("unanswered", (int) done.getCount(), Integer::sum);
      }
    }
    return result;
  }

  private void send(TraceRequest r, String target, ReplayResult result, CountDownLatch done) {
    String requestId = UUID.randomUUID().toString();
    long start = System.nanoTime();
    long[] last = {0};
    boolean[] complete = {false};
    boolean[] corrupt = {false};
    boolean[] brokenOff = {false};
    StringBuilder pending = new StringBuilder();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI(target + "/v1/chat/completions")
            .setIdleTimeout(30_000)
            .putHeader("Content-Type", "application/json")
            .putHeader("X-Request-Id", requestId)
            .putHeader("X-Organisation", r.organisation());
    r.residency().ifPresent(v -> options.putHeader("X-Residency", v));
    r.idempotencyKey().ifPresent(v -> options.putHeader("Idempotency-Key", v));
    client
        .request(options)
        .onFailure(
            e -> {
              result.count("unreachable");
              done.countDown();
            })
        .compose(
            req ->
                req.send(Buffer.buffer(r.body()))
                    .onFailure(
                        e -> {
                          result.count("cut");
                          done.countDown();
                        }))
        .onSuccess(
            response -> {
              String servedIn = response.getHeader("X-Lacewingcroft-Region");
              response.handler(
                  chunk -> {
                    if (response.statusCode() != 200) {
                      pending.append(chunk.toString());
                      return;
                    }
                    if (!r.stream()) {
                      pending.append(chunk.toString());
                      return;
                    }
                    pending.append(chunk.toString());
                    int cut;
                    while ((cut = pending.indexOf("\n\n")) >= 0) {
                      String event = pending.substring(0, cut);
                      pending.delete(0, cut + 2);
                      if (event.equals("data: [DONE]")) {
                        complete[0] = true;
                      } else if (event.startsWith("data: ")) {
                        long now = System.nanoTime();
                        if (last[0] == 0) {
                          result.firstToken(r, (now - start) / 1000);
                        } else {
                          synchronized (result) {
                            result.betweenTokensMicros.recordValue((now - last[0]) / 1000);
                          }
                        }
                        last[0] = now;
                        if (!event.contains(requestId)) {
                          corrupt[0] = true;
                        }
                      } else if (event.startsWith("event: error")) {
                        brokenOff[0] = true;
                      } else {
                        corrupt[0] = true;
                      }
                    }
                  });
              response.exceptionHandler(e -> corrupt[0] = true);
              response.endHandler(
                  v -> {
                    finish(
                        r,
                        response.statusCode(),
                        servedIn,
                        pending,
                        complete,
                        corrupt,
                        brokenOff,
                        start,
                        requestId,
                        result);
                    done.countDown();
                  });
            });
  }

  private static void finish(
      TraceRequest r,
      int status,
      String servedIn,
      StringBuilder pending,
      boolean[] complete,
      boolean[] corrupt,
      boolean[] brokenOff,
      long start,
      String requestId,
      ReplayResult result) {
    synchronized (result) {
      if (status != 200) {
        String code = "http_" + status;
        try {
          code = JSON.readTree(pending.toString()).path("error").path("code").asText(code);
        } catch (java.io.IOException e) {
          // Not a JSON error body; the status names the outcome.
        }
        result.outcomes.merge(code, 1, Integer::sum);
        return;
      }
      if (!r.stream()) {
        result.firstToken(r, (System.nanoTime() - start) / 1000);
        complete[0] = pending.indexOf(requestId) >= 0 && pending.indexOf("\"finish_reason\"") >= 0;
      }
      if (brokenOff[0] && !complete[0] && !corrupt[0]) {
        result.outcomes.merge("broken_off", 1, Integer::sum);
        return;
      }
      if (corrupt[0] || !complete[0]) {
        result.corrupted++;
        result.outcomes.merge("corrupted", 1, Integer::sum);
        return;
      }
      result.outcomes.merge("served", 1, Integer::sum);
      result.callersByRegion.merge(r.region(), 1, Integer::sum);
      if (servedIn != null) {
        result.servedByRegion.merge(servedIn, 1, Integer::sum);
        if (!servedIn.equals(r.region())) {
          result.crossRegion++;
        }
        if (r.residency().isPresent()) {
          Set<String> allowed = Set.copyOf(Arrays.asList(r.residency().get().split(",")));
          if (!allowed.contains(servedIn)) {
            result.outsideResidency++;
          }
        }
      }
    }
  }

  /** Returns the first entry URL that a daemon ranks for the region, from GET /v1/entries. */
  public static String firstEntry(String entriesJson) {
    try {
      JsonNode n = JSON.readTree(entriesJson).path("entries");
      return n.path(0).path("url").asText();
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException("bad entries answer: " + entriesJson, e);
    }
  }

  @Override
  public void close() {
    client.close();
    vertx.close();
  }
}
