package org.lacewingcroft.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates an engine with continuous batching. Each step emits one token to every running sequence
 * whose prefill is complete. Sequences beyond the capacity wait in a queue. A bounded prefix cache
 * shortens the prefill of a prompt that shares its beginning with an earlier one.
 *
 * <p>Confined to one event loop thread. Every token contains the request id, so that a caller can
 * detect tokens that belong to the response of another request.
 */
final class BatchingEngine {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int PREFIX_CHARS = 256;
  private static final double CACHED_SHARE_ON_HIT = 0.9;

  private final Vertx vertx;
  private final RunnerSpec spec;
  private final AtomicInteger inFlight;
  private final PrefixCache cache;
  private final Deque<Sequence> waiting = new ArrayDeque<>();
  private final List<Sequence> running = new ArrayList<>();
  private final AtomicLong busyMicros = new AtomicLong();
  private final AtomicLong cacheHits = new AtomicLong();
  private final AtomicLong cacheMisses = new AtomicLong();
  private long stepDueNanos;
  private boolean stepScheduled;

  /** A request that is waiting or running. */
  private static final class Sequence {
    final HttpServerResponse response;
    final boolean stream;
    final String requestId;
    final String model;
    final int maxTokens;
    final StringBuilder text = new StringBuilder();
    long pendingPrefillMicros;
    int emittedTokens;

    Sequence(HttpServerRequest request, JsonNode body, long prefillMicros) {
      String id = request.getHeader("X-Request-Id");
      this.response = request.response();
      this.stream = body.path("stream").asBoolean(false);
      this.requestId = id == null ? "untagged" : id;
      this.model = body.path("model").asText("");
      this.maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
      this.pendingPrefillMicros = prefillMicros;
    }

    boolean finished() {
      return emittedTokens >= maxTokens;
    }
  }

  /**
   * Creates an idle engine.
   *
   * @param inFlight the counter of requests in flight, including waiting ones
   */
  BatchingEngine(Vertx vertx, RunnerSpec spec, AtomicInteger inFlight) {
    this.vertx = vertx;
    this.spec = spec;
    this.inFlight = inFlight;
    this.cache = new PrefixCache(spec.prefixCacheEntries(), spec.reportLag().toNanos());
  }

  /** Queues a chat completion request and responds to it. */
  void serve(HttpServerRequest request, Buffer body) {
    JsonNode root;
    try {
      root = JSON.readTree(body.getBytes());
    } catch (IOException e) {
      request.response().setStatusCode(400).end("{\"error\":\"body is not JSON\"}");
      return;
    }
    String prompt = root.path("messages").path(0).path("content").asText("");
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    boolean hit = cache.lookupAndAdd(prefix, System.nanoTime());
    (hit ? cacheHits : cacheMisses).incrementAndGet();
    int cachedChars = hit ? (int) (prompt.length() * CACHED_SHARE_ON_HIT) : 0;
    Sequence sequence =
        new Sequence(request, root, spec.timing().prefillMicros(prompt.length(), cachedChars));
    request.response().putHeader("X-Prefix-Cache", hit ? "hit" : "miss");
    if (sequence.stream) {
      request.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
    }
    inFlight.incrementAndGet();
    // Treats the sequence as finished once its connection closes, so that it emits no more tokens.
    request.connection().closeHandler(v -> sequence.emittedTokens = sequence.maxTokens);
    waiting.add(sequence);
    scheduleStep();
  }

  /** Returns the counters of busy time in microseconds, cache hits and cache misses. */
  ObjectNode stats() {
    ObjectNode stats = JSON.createObjectNode();
    stats.put("busyMicros", busyMicros.get());
    stats.put("cacheHits", cacheHits.get());
    stats.put("cacheMisses", cacheMisses.get());
    return stats;
  }

  /** Returns the hashes of the cached prefixes according to the cache events reported so far. */
  Set<String> reportedPrefixes() {
    return cache.reportedHashes(System.nanoTime());
  }

  private void scheduleStep() {
    if (stepScheduled) {
      return;
    }
    while (running.size() < spec.capacity() && !waiting.isEmpty()) {
      running.add(waiting.poll());
    }
    if (running.isEmpty()) {
      return;
    }
    stepScheduled = true;
    long stepMicros = spec.timing().stepMicros(running.size()) + prefillPendingPrompts();
    busyMicros.addAndGet(stepMicros);
    stepDueNanos = Math.max(stepDueNanos, System.nanoTime()) + stepMicros * 1000;
    long waitMillis = (stepDueNanos - System.nanoTime()) / 1_000_000;
    vertx.setTimer(Math.max(1, waitMillis), id -> runStep());
  }

  /** Prefills one chunk of the oldest pending prompts and returns its duration in microseconds. */
  private long prefillPendingPrompts() {
    long chunkMicros = spec.timing().maxChunk().toNanos() / 1000;
    long remainingMicros = chunkMicros;
    for (Sequence s : running) {
      long spentMicros = Math.min(remainingMicros, s.pendingPrefillMicros);
      s.pendingPrefillMicros -= spentMicros;
      remainingMicros -= spentMicros;
    }
    return chunkMicros - remainingMicros;
  }

  private void runStep() {
    stepScheduled = false;
    for (Iterator<Sequence> it = running.iterator(); it.hasNext(); ) {
      Sequence s = it.next();
      if (s.pendingPrefillMicros > 0) {
        continue;
      }
      if (s.finished()) {
        finish(s);
        it.remove();
      } else {
        emitToken(s);
      }
    }
    scheduleStep();
  }

  private static void emitToken(Sequence s) {
    String token = "t" + s.emittedTokens + ":" + s.requestId + " ";
    s.emittedTokens++;
    s.text.append(token);
    if (s.stream && !s.response.ended()) {
      s.response.write("data: " + chunkJson(s, token) + "\n\n");
    }
  }

  private void finish(Sequence s) {
    inFlight.decrementAndGet();
    if (s.response.ended()) {
      return;
    }
    if (s.stream) {
      s.response.end("data: [DONE]\n\n");
      return;
    }
    ObjectNode body = JSON.createObjectNode();
    body.put("id", "chatcmpl-" + s.requestId);
    body.put("object", "chat.completion");
    body.put("model", s.model);
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", s.text.toString());
    choice.put("finish_reason", "stop");
    body.putObject("usage").put("completion_tokens", s.emittedTokens);
    s.response.putHeader("Content-Type", "application/json").end(body.toString());
  }

  private static String chunkJson(Sequence s, String token) {
    ObjectNode body = JSON.createObjectNode();
    body.put("id", "chatcmpl-" + s.requestId);
    body.put("object", "chat.completion.chunk");
    body.put("model", s.model);
    body.putArray("choices").addObject().put("index", 0).putObject("delta").put("content", token);
    return body.toString();
  }
}
