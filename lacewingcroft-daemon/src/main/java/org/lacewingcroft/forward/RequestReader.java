package org.lacewingcroft.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingcroft.placement.PromptPart;
import org.lacewingcroft.request.RequestFingerprint;
import org.lacewingcroft.request.RequestFingerprints;

/** Converts a received HTTP request into a {@link ForwardRequest}. */
final class RequestReader {
  /** Time limit of requests without a deadline header. */
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

  private final HeaderNames headerNames;
  private final Set<String> droppedHeaders;
  private final Set<String> droppedHeadersAndApiKey;

  RequestReader(HeaderNames headerNames) {
    this.headerNames = headerNames;
    this.droppedHeaders = new HashSet<>(headerNames.reservedHeaders());
    this.droppedHeaders.addAll(ForwardContext.RELAY_HEADERS);
    this.droppedHeadersAndApiKey = new HashSet<>(droppedHeaders);
    this.droppedHeadersAndApiKey.add(HttpHeaders.AUTHORIZATION.toString().toLowerCase(Locale.ROOT));
  }

  /**
   * Creates the request to forward from the request head and the complete body.
   *
   * @param dropApiKey whether the {@code Authorization} header carries an API key that this entry
   *     checks, which must not be forwarded
   */
  ForwardRequest read(
      HttpServerRequest request,
      Buffer body,
      Handling handling,
      Instant arrivedAt,
      boolean dropApiKey) {
    MultiMap headers = request.headers();
    Duration timeout = timeoutOf(request).orElse(DEFAULT_TIMEOUT);
    List<Long> tokenUsage = parseNumbers(headers.get(headerNames.tokenUsage()));
    List<Long> lastEventId = parseNumbers(headers.get(headerNames.lastEventId()));
    List<PromptPart> parts = parsePromptParts(headers.get(headerNames.promptParts()));
    return new ForwardRequest(
        headers.get(headerNames.requestId()),
        fingerprints(request, body, parts),
        request.remoteAddress().hostAddress(),
        request.method(),
        request.uri(),
        ForwardRequest.endToEndHeaders(
            headers, dropApiKey ? droppedHeadersAndApiKey : droppedHeaders),
        body,
        handling,
        arrivedAt,
        arrivedAt.plus(timeout),
        lastEventId.isEmpty() ? OptionalLong.empty() : OptionalLong.of(lastEventId.get(0)),
        tokenUsage.isEmpty() ? 0 : tokenUsage.get(0),
        tokenUsage.size() < 2 ? 0 : tokenUsage.get(1),
        parseNumbers(headers.get(headerNames.lengthHint())).stream().findFirst().orElse(0L),
        parts);
  }

  /** Returns how long the sender of a request waits for the response, if the request states it. */
  Optional<Duration> timeoutOf(HttpServerRequest request) {
    return parseNumbers(request.getHeader(headerNames.deadlineMillis())).stream()
        .findFirst()
        .map(Duration::ofMillis);
  }

  private static RequestFingerprints fingerprints(
      HttpServerRequest request, Buffer body, List<PromptPart> parts) {
    String host = Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse("");
    return RequestFingerprints.of(
        RequestFingerprint.of(request.method().name(), host, request.uri(), body.getBytes()),
        parts.stream().map(PromptPart::id).toList());
  }

  /**
   * Parses comma-separated non-negative integers of at most 15 digits. Stops at the first field
   * that is not one and returns the numbers before it.
   */
  private static List<Long> parseNumbers(String text) {
    List<Long> numbers = new ArrayList<>();
    if (text != null) {
      for (String field : text.split(",")) {
        String digits = field.trim();
        if (!digits.matches("\\d{1,15}")) {
          break;
        }
        numbers.add(Long.parseLong(digits));
      }
    }
    return numbers;
  }

  /**
   * Parses prompt parts, {@code id:tokens} separated by commas. Returns an empty list if any part
   * is malformed.
   */
  private static List<PromptPart> parsePromptParts(String text) {
    List<PromptPart> parts = new ArrayList<>();
    if (text != null) {
      for (String field : text.split(",")) {
        int colon = field.indexOf(':');
        List<Long> tokens = colon < 0 ? List.of() : parseNumbers(field.substring(colon + 1));
        if (tokens.isEmpty()) {
          return List.of();
        }
        parts.add(new PromptPart(field.substring(0, colon).trim(), tokens.get(0)));
      }
    }
    return parts;
  }
}
