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

/** Converts a received HTTP request into a {@link ForwardRequest}. */
final class RequestReader {
  /** Used for requests without a deadline header. */
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);

  private final HeaderNames names;
  private final Set<String> dropped;
  private final Set<String> droppedWithKeys;

  RequestReader(HeaderNames names) {
    this.names = names;
    this.dropped = new HashSet<>(names.reservedHeaders());
    this.dropped.addAll(ForwardContext.RELAY_HEADERS);
    this.droppedWithKeys = new HashSet<>(dropped);
    this.droppedWithKeys.add(HttpHeaders.AUTHORIZATION.toString().toLowerCase(Locale.ROOT));
  }

  /**
   * Creates the request to forward from the request head and the complete body.
   *
   * @param keysNeeded whether the {@code Authorization} header carries an API key of this gateway,
   *     which must not be forwarded
   */
  ForwardRequest read(
      HttpServerRequest request,
      Buffer body,
      Handling handling,
      Instant arrivedAt,
      boolean keysNeeded) {
    MultiMap headers = request.headers();
    Duration patience =
        numbers(headers.get(names.deadlineMillis())).stream()
            .findFirst()
            .map(Duration::ofMillis)
            .orElse(DEFAULT_DEADLINE);
    List<Long> usage = numbers(headers.get(names.tokenUsage()));
    List<Long> lastEvent = numbers(headers.get(names.lastEventId()));
    return new ForwardRequest(
        headers.get(names.requestId()),
        fingerprint(request, body),
        request.remoteAddress().hostAddress(),
        request.method(),
        request.uri(),
        ForwardRequest.endToEnd(headers, keysNeeded ? droppedWithKeys : dropped),
        body,
        handling,
        arrivedAt,
        arrivedAt.plus(patience),
        lastEvent.isEmpty() ? OptionalLong.empty() : OptionalLong.of(lastEvent.get(0)),
        usage.isEmpty() ? 0 : usage.get(0),
        usage.size() < 2 ? 0 : usage.get(1),
        numbers(headers.get(names.lengthHint())).stream().findFirst().orElse(0L),
        parts(headers.get(names.promptParts())));
  }

  private static RequestFingerprint fingerprint(HttpServerRequest request, Buffer body) {
    String host = Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse("");
    return RequestFingerprint.of(request.method().name(), host, request.uri(), body.getBytes());
  }

  /**
   * Parses comma-separated non-negative integers of at most 15 digits. Stops at the first field that
   * is not one and returns the numbers before it.
   */
  private static List<Long> numbers(String text) {
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
   * Parses prompt parts, {@code id:tokens} separated by commas. Returns an empty list if any part is
   * malformed.
   */
  private static List<PromptPart> parts(String text) {
    List<PromptPart> parts = new ArrayList<>();
    if (text != null) {
      for (String entry : text.split(",")) {
        int colon = entry.indexOf(':');
        List<Long> tokens = colon < 0 ? List.of() : numbers(entry.substring(colon + 1));
        if (tokens.isEmpty()) {
          return List.of();
        }
        parts.add(new PromptPart(entry.substring(0, colon).trim(), tokens.get(0)));
      }
    }
    return parts;
  }
}
