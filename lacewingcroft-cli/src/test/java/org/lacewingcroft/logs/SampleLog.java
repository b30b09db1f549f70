package org.lacewingcroft.logs;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes log lines as instances do. */
public final class SampleLog {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long START_MILLIS = 1_778_100_000_000L;

  private SampleLog() {}

  /**
   * Returns a line.
   *
   * @param millis since the log's start
   * @param fields names and values, alternately
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

  /** Returns the line of a request's placement at an endpoint of the entry's region. */
  public static String placed(long millis, String node, String request, String endpoint) {
    return line(millis, node, "request.placed", "request", request, "target", endpoint);
  }

  /** Returns the line of a request's relay to an entry of another region. */
  public static String relayed(long millis, String node, String request, String entry) {
    return line(
        millis, node, "request.placed", "request", request, "target", entry, "region", "south");
  }

  /** Returns the line of a request's end. */
  public static String finished(
      long millis, String node, String request, String outcome, int status, boolean mayHaveRun) {
    return line(
        millis,
        node,
        "request.finished",
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
        100);
  }
}
