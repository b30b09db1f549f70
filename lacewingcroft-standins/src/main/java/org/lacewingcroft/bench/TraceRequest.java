package org.lacewingcroft.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A request of a recorded trace. Its JSON line has the fields {@code atMillis}, {@code region},
 * {@code organisation}, {@code model}, {@code prompt}, {@code maxTokens}, {@code stream}, and
 * optionally {@code residency} (comma-separated regions) and {@code idempotencyKey}.
 *
 * @param atMillis the send time relative to the start of the replay, in milliseconds
 * @param region the region of the caller, which selects the entry
 * @param organisation the organisation of the caller
 * @param model the requested model
 * @param prompt the prompt text
 * @param maxTokens the number of tokens to generate
 * @param stream whether the response is streamed
 * @param residency the residency header, if any
 * @param idempotencyKey the idempotency key, if any
 */
public record TraceRequest(
    long atMillis,
    String region,
    String organisation,
    String model,
    String prompt,
    int maxTokens,
    boolean stream,
    Optional<String> residency,
    Optional<String> idempotencyKey) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Parses a trace of JSON lines and skips blank lines. */
  public static List<TraceRequest> parse(String text) {
    List<TraceRequest> requests = new ArrayList<>();
    for (String line : text.split("\n")) {
      if (line.isBlank()) {
        continue;
      }
      try {
        JsonNode n = JSON.readTree(line);
        requests.add(
            new TraceRequest(
                n.path("atMillis").asLong(),
                n.path("region").asText(),
                n.path("organisation").asText(),
                n.path("model").asText(),
                n.path("prompt").asText(),
                n.path("maxTokens").asInt(16),
                n.path("stream").asBoolean(true),
                Optional.ofNullable(n.get("residency")).map(JsonNode::asText),
                Optional.ofNullable(n.get("idempotencyKey")).map(JsonNode::asText)));
      } catch (IOException e) {
        throw new UncheckedIOException("invalid trace line: " + line, e);
      }
    }
    return requests;
  }

  /**
   * Returns the trace repeated {@code copies} times, with all send times divided by {@code
   * speedup}, so that the same workload arrives at a higher rate.
   */
  public static List<TraceRequest> scaled(List<TraceRequest> trace, int copies, double speedup) {
    List<TraceRequest> scaledTrace = new ArrayList<>();
    long spanMillis = trace.stream().mapToLong(TraceRequest::atMillis).max().orElse(0) + 1;
    for (int copy = 0; copy < copies; copy++) {
      for (TraceRequest r : trace) {
        long atMillis = (long) ((copy * spanMillis + r.atMillis()) / speedup);
        scaledTrace.add(
            new TraceRequest(
                atMillis,
                r.region,
                r.organisation,
                r.model,
                r.prompt,
                r.maxTokens,
                r.stream,
                r.residency,
                r.idempotencyKey));
      }
    }
    return scaledTrace;
  }

  /** Returns the OpenAI-compatible request body. */
  public String body() {
    var root = JSON.createObjectNode();
    root.put("model", model);
    root.put("stream", stream);
    root.put("max_tokens", maxTokens);
    root.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return root.toString();
  }
}
