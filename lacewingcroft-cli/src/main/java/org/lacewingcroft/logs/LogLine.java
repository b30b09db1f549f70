package org.lacewingcroft.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;

/**
 * A line of the log of an instance.
 *
 * @param timestamp the timestamp of the hybrid logical clock: milliseconds since the epoch and a
 *     counter, separated by a dot
 * @param node the instance that wrote it
 * @param event the name of the event, such as {@code request.placed}
 * @param fields all fields of the line
 */
public record LogLine(String timestamp, String node, String event, JsonNode fields) {
  /** Orders lines causally: by timestamp, then by instance. */
  public static final Comparator<LogLine> CAUSAL_ORDER =
      Comparator.comparing(LogLine::timestamp).thenComparing(LogLine::node);

  /** Returns the physical part of the timestamp, in milliseconds since the epoch. */
  public long millis() {
    return Long.parseLong(timestamp.substring(0, timestamp.indexOf('.')));
  }

  /** Returns a field as text, or an empty string if the field is missing. */
  public String text(String name) {
    return fields.path(name).asText("");
  }

  /**
   * Returns a field as an integer. Numbers that are written as text are parsed.
   *
   * @param defaultValue the value to return if the field is missing or not a number
   */
  public long number(String name, long defaultValue) {
    return fields.path(name).asLong(defaultValue);
  }

  @Override
  public String toString() {
    return fields.toString();
  }
}
