package org.lacewingcroft.forward;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.route.Route;
import org.lacewingcroft.route.RouteKind;

/**
 * The rules of the matched route as applied to one request, with the service selected. An entry
 * that relays a request to another region sends them along, so that both entries apply the same
 * version of the route.
 *
 * @param route the name of the route
 * @param service the service that runs the request
 * @param kind whether the request may run more than once, and whether the response is a stream
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @param priority the priority in the queues of the service, 0 is the most urgent
 * @param maxAttempts how many endpoints may run the request
 * @param firstByteObjective the target time to the first byte of the response
 * @param timeout the maximum time until the response is complete
 * @param allowedRegions the regions that may run the request, empty for any
 * @param organisation the caller's organisation, empty if the request has no valid API key
 */
record Handling(
    String route,
    String service,
    RouteKind kind,
    boolean resumable,
    int priority,
    int maxAttempts,
    Duration firstByteObjective,
    Duration timeout,
    Set<String> allowedRegions,
    Optional<String> organisation) {
  private static final String SEPARATOR = ";";
  private static final int FIELD_COUNT = 9;

  /** Applies a route to a request. */
  static Handling of(
      Route route,
      String service,
      int priority,
      Set<String> allowedRegions,
      Optional<String> organisation) {
    return new Handling(
        route.name(),
        service,
        route.kind(),
        route.resumable(),
        priority,
        route.maxAttempts(),
        route.latencyObjective(),
        route.timeout(),
        allowedRegions,
        organisation);
  }

  /** Returns whether the request may run more than once. */
  boolean isIdempotent() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /** Returns whether the response is an event stream. */
  boolean isStream() {
    return kind == RouteKind.STREAM;
  }

  /**
   * Encodes these rules for the relay to another entry. The regions are omitted: the receiving
   * entry places the request in its own region only, and runs it at most once.
   */
  String encodeForRelay() {
    return String.join(
        SEPARATOR,
        route,
        service,
        kind.name(),
        Boolean.toString(resumable),
        Integer.toString(priority),
        Integer.toString(maxAttempts),
        Long.toString(firstByteObjective.toMillis()),
        Long.toString(timeout.toMillis()),
        URLEncoder.encode(organisation.orElse(""), StandardCharsets.UTF_8));
  }

  /**
   * Decodes the form sent by another entry.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static Handling decodeFromRelay(String text) {
    String[] fields = text.split(SEPARATOR, -1);
    if (fields.length != FIELD_COUNT) {
      throw new IllegalArgumentException(
          "a relayed request needs " + FIELD_COUNT + " fields: " + text);
    }
    return new Handling(
        fields[0],
        fields[1],
        RouteKind.valueOf(fields[2]),
        Boolean.parseBoolean(fields[3]),
        Integer.parseInt(fields[4]),
        Integer.parseInt(fields[5]),
        Duration.ofMillis(Long.parseLong(fields[6])),
        Duration.ofMillis(Long.parseLong(fields[7])),
        Set.of(),
        Optional.of(URLDecoder.decode(fields[8], StandardCharsets.UTF_8))
            .filter(o -> !o.isEmpty()));
  }
}
