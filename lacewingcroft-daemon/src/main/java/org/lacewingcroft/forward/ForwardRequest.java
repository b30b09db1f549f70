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
import org.lacewingcroft.request.RequestFingerprint;

/**
 * A caller's request, read in full.
 *
 * @param id its id
 * @param fingerprint names what it asks for, the same whenever it is sent again
 * @param sender the address that it came from: its caller's or, if relayed, an entry's
 * @param method its method
 * @param uri path and query, unchanged
 * @param headers the headers to pass on
 * @param body its body
 * @param handling how it is to be handled
 * @param arrivedAt when its head was read
 * @param callerDeadline when the caller stops waiting
 * @param lastEventId the last event the caller has, if it resumes a stream
 * @param promptTokens the length of its prompt, 0 if it states none
 * @param outputTokens the most tokens of its answer, 0 if it states none
 * @param lengthHint the caller's estimate of the same, often far off, 0 if it states none
 * @param parts the prompt's parts
 */
record ForwardRequest(
    String id,
    RequestFingerprint fingerprint,
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
    long outputTokens,
    long lengthHint,
    List<PromptPart> parts) {
  /** The mean of an answer's length against its estimate, whose errors are log-normal. */
  private static final double HINT_FACTOR = 1.2;

  /** Share of the tokens allowed that an answer without an estimate is taken to use. */
  private static final int UNHINTED_DIVISOR = 4;

  private static final Set<String> CONNECTION_HEADERS =
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

  /** Returns when the final answer is due: the route's timeout or the caller's deadline. */
  Instant answerDue() {
    Instant timeout = arrivedAt.plus(handling.timeout());
    return timeout.isBefore(callerDeadline) ? timeout : callerDeadline;
  }

  /**
   * The tokens that the answer is expected to have. Callers' estimates are right in the median and
   * often too low, the most that they allow is rarely used.
   */
  private long answerTokens() {
    if (lengthHint == 0) {
      return outputTokens / UNHINTED_DIVISOR;
    }
    long expected = Math.round(HINT_FACTOR * lengthHint);
    return outputTokens == 0 ? expected : Math.min(outputTokens, expected);
  }

  /** Returns what placement needs to know of it now. */
  PlacementRequest placement(Instant now, Set<String> passedOver) {
    return new PlacementRequest(
        handling.service(),
        handling.priority(),
        promptTokens,
        answerTokens(),
        parts,
        handling.objective(),
        Duration.between(now, answerDue()),
        passedOver);
  }

  /** Returns the headers that concern more than one connection, less those named. */
  static List<Map.Entry<String, String>> endToEnd(MultiMap headers, Set<String> dropped) {
    Set<String> skipped = new HashSet<>(dropped);
    for (String value : headers.getAll("Connection")) {
      for (String name : value.split(",")) {
        skipped.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    List<Map.Entry<String, String>> kept = new ArrayList<>();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!CONNECTION_HEADERS.contains(name) && !skipped.contains(name)) {
        kept.add(Map.entry(header.getKey(), header.getValue()));
      }
    }
    return kept;
  }
}
