package org.lacewingcroft.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;

/**
 * One line of an instance's log.
 *
 * @param stamp the hybrid logical clock's reading: milliseconds since 1970, a point, a counter
 * @param node the instance that wrote it
 * @param event what happened, such as {@code request.placed}
 * @param fields the whole line
 */
public record LogLine(String stamp, String node, String event, JsonNode fields) {
  /** Causal order: by stamp, then by instance. */
  public static final Comparator<LogLine> CAUSAL_ORDER =
      Comparator.comparing(LogLine::stamp).thenComparing(LogLine::node);

  /** Returns the physical part of the stamp, in milliseconds since 1970. */
  public long millis() {
    return Long.parseLong(stamp.substring(0, stamp.indexOf('.')));
  }

  /** Returns a field as text, empty if the line has none of this name. */
  public String text(String name) {
    return fields.path(name).asText("");
  }

  /**
   * Returns a field as a whole number; fields are written as text.
   *
   * @param otherwise what is returned if the field is missing or no number
   */
  public long number(String name, long otherwise) {
    return fields.path(name).asLong(otherwise);
  }

  @Override
  public String toString() {
    return fields.toString();
  }
}
