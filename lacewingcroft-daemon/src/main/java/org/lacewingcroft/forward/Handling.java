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
 * How one request is to be handled: its route's rules with the service picked. An entry that passes
 * a request to another region sends this along, so that both go by the same version of the route.
 *
 * @param route the route's name
 * @param service the service that shall run it
 * @param kind what may be repeated
 * @param resumable whether a stream may go on elsewhere
 * @param priority how urgent it is in the queues of its service, 0 the most urgent
 * @param maxAttempts how many endpoints may run it
 * @param objective the time to the first byte that callers want
 * @param timeout the longest it may go without its final answer
 * @param regions regions that may run it; empty for any
 * @param organisation the organisation of its caller, empty if it showed no key
 */
record Handling(
    String route,
    String service,
    RouteKind kind,
    boolean resumable,
    int priority,
    int maxAttempts,
    Duration objective,
    Duration timeout,
    Set<String> regions,
    Optional<String> organisation) {
  private static final String SEPARATOR = ";";
  private static final int FIELDS = 9;

  static Handling of(
      Route route, String service, int priority, Set<String> regions, Optional<String> caller) {
    return new Handling(
        route.name(),
        service,
        route.kind(),
        route.resumable(),
        priority,
        route.maxAttempts(),
        route.latencyObjective(),
        route.timeout(),
        regions,
        caller);
  }

  boolean idempotent() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  boolean stream() {
    return kind == RouteKind.STREAM;
  }

  /** The form in which it is sent to another entry, which runs the request once at most. */
  String encodeForRelay() {
    return String.join(
        SEPARATOR,
        route,
        service,
        kind.name(),
        Boolean.toString(resumable),
        Integer.toString(priority),
        Integer.toString(maxAttempts),
        Long.toString(objective.toMillis()),
        Long.toString(timeout.toMillis()),
        URLEncoder.encode(organisation.orElse(""), StandardCharsets.UTF_8));
  }

  /**
   * Reads the form sent by another entry.
   *
   * @throws IllegalArgumentException if it is not one
   */
  static Handling decodeRelayed(String text) {
    String[] fields = text.split(SEPARATOR, -1);
    if (fields.length != FIELDS) {
      throw new IllegalArgumentException("a relayed request needs " + FIELDS + " fields: " + text);
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
