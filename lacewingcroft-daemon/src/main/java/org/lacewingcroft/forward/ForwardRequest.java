package org.lacewingcroft.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingcroft.placement.PlacementRequest;
import org.lacewingcroft.placement.PromptPart;
import org.lacewingcroft.request.RequestFingerprints;

/**
 * A caller's request with its complete body.
 *
 * @param id the request id
 * @param fingerprints identify the content and the shared parts of the prompt
 * @param sender the address of the peer: the caller or, if relayed, an entry
 * @param method the HTTP method
 * @param uri path and query, unchanged
 * @param headers the headers to forward
 * @param body the complete body
 * @param handling the rules that apply to the request
 * @param arrivedAt when the request head was received
 * @param callerDeadline when the caller stops waiting
 * @param lastEventId the last event the caller has received, if it resumes a stream
 * @param promptTokens the length of the prompt, 0 if not declared
 * @param maxOutputTokens the maximum number of output tokens, 0 if not declared
 * @param lengthHint the caller's estimate of the output tokens, often inaccurate, 0 if not declared
 * @param parts the parts of the prompt, which identify shared prefixes
 */
record ForwardRequest(
    String id,
    RequestFingerprints fingerprints,
    String sender,
    HttpMethod method,
    String uri,
    List<Map.Entry<String, String>> headers,
    Buffer body,
    Handling handling,
    Instant arrivedAt,
    Instant callerDeadline,
    OptionalLong lastEventId,
    long promptTokens,
    long maxOutputTokens,
    long lengthHint,
    List<PromptPart> parts) {
  /**
   * Ratio of the mean output length to the caller's estimate. The errors of estimates are
   * log-normal: an estimate that is right in the median is below the mean.
   */
  private static final double MEAN_LENGTH_TO_HINT_RATIO = 1.2;

  /**
   * Divides the maximum output tokens to get the assumed output of a request without an estimate.
   */
  private static final int DEFAULT_LENGTH_DIVISOR = 4;

  /** Hop-by-hop headers and headers that HTTP clients generate, in lower case. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  /**
   * Returns when the response is due: at the route's timeout or the caller's deadline if earlier.
   */
  Instant responseDue() {
    Instant timeout = arrivedAt.plus(handling.timeout());
    return timeout.isBefore(callerDeadline) ? timeout : callerDeadline;
  }

  /** Returns the declared tokens of the prompt and, at most, of the response. */
  long totalTokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * Returns the expected number of output tokens. Callers' estimates are right in the median but
   * often too low, and the declared maximum is rarely reached.
   */
  private long expectedOutputTokens() {
    if (lengthHint == 0) {
      return maxOutputTokens / DEFAULT_LENGTH_DIVISOR;
    }
    long expected = Math.round(MEAN_LENGTH_TO_HINT_RATIO * lengthHint);
    return maxOutputTokens == 0 ? expected : Math.min(maxOutputTokens, expected);
  }

  /**
   * Returns the placement request for an attempt made now.
   *
   * @param excludedEndpoints the endpoints that must not be chosen
   */
  PlacementRequest toPlacementRequest(Instant now, Set<String> excludedEndpoints) {
    return new PlacementRequest(
        handling.service(),
        handling.priority(),
        promptTokens,
        expectedOutputTokens(),
        parts,
        handling.firstByteObjective(),
        Duration.between(now, responseDue()),
        excludedEndpoints);
  }

  /**
   * Returns the end-to-end headers: all except the hop-by-hop headers, those listed in {@code
   * Connection}, and the given ones.
   *
   * @param droppedHeaders the names of further headers to omit, in lower case
   */
  static List<Map.Entry<String, String>> endToEndHeaders(
      MultiMap headers, Set<String> droppedHeaders) {
    Set<String> skipped = new HashSet<>(droppedHeaders);
    for (String value : headers.getAll("Connection")) {
      for (String name : value.split(",")) {
        skipped.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    List<Map.Entry<String, String>> endToEnd = new ArrayList<>();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP_HEADERS.contains(name) && !skipped.contains(name)) {
        endToEnd.add(Map.entry(header.getKey(), header.getValue()));
      }
    }
    return endToEnd;
  }
}
