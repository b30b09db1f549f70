package org.lacewingcroft.logs;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.stream.Stream;

/** Creates log lines in the format that instances write. */
public final class SampleLog {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long START_MILLIS = 1_778_100_000_000L;

  private SampleLog() {}

  /**
   * Returns a log line.
   *
   * @param millis the time since the start of the log, in milliseconds
   * @param fields alternating field names and values
   */
  public static String line(long millis, String node, String event, Object... fields) {
    ObjectNode line =
        JSON.createObjectNode()
            .put("hlc", START_MILLIS + millis + ".000000")
            .put("node", node)
            .put("event", event);
    for (int i = 0; i < fields.length; i += 2) {
      line.put((String) fields[i], String.valueOf(fields[i + 1]));
    }
    return line.toString();
  }

  /** Returns the log line of a request placed at an endpoint in the entry's region. */
  public static String placed(long millis, String node, String request, String endpoint) {
    return line(millis, node, "request.placed", "request", request, "target", endpoint);
  }

  /** Returns the log line of a request relayed to an entry in another region. */
  public static String relayed(long millis, String node, String request, String entry) {
    return line(
        millis, node, "request.placed", "request", request, "target", entry, "region", "south");
  }

  /**
   * Returns the log line of a finished request.
   *
   * @param moreFields alternating names and values of fields that are added or replaced
   */
  public static String finished(
      long millis,
      String node,
      String request,
      String outcome,
      int status,
      boolean mayHaveRun,
      Object... moreFields) {
    Object[] fields = {
      "request",
      request,
      "route",
      "chat",
      "outcome",
      outcome,
      "status",
      status,
      "mayHaveRun",
      mayHaveRun,
      "lastEvent",
      "none",
      "firstByteMillis",
      20,
      "millis",
      100
    };
    return line(
        millis,
        node,
        "request.finished",
        Stream.of(fields, moreFields).flatMap(Arrays::stream).toArray());
  }
}
